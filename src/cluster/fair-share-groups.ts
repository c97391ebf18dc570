/** Keys of fair-share groups, and the sums of what each group uses. */
import type { JobSpec } from '../protocol/jobs.js';
import type { ResourceUsage } from './entities.js';

/** Key of a fair-share group: a class of jobs, or a team. Every job belongs to one of each. */
export type FairShareGroupKey = `class ${string}` | `team ${string}`;

/** Returns the group of the job's class. */
export const classGroup = (spec: Pick<JobSpec, 'class'>): FairShareGroupKey => `class ${spec.class}`;

/** Returns the group of the job's team. */
export const teamGroup = (spec: Pick<JobSpec, 'team'>): FairShareGroupKey => `team ${spec.team}`;

/** Adds what this number of tasks of the spec uses; a negative number subtracts. */
export function addUsage<K>(
  usageByKey: Map<K, ResourceUsage>,
  key: K,
  spec: Pick<JobSpec, 'cpus' | 'gpus'>,
  tasks: number,
): void {
  const usage = usageByKey.get(key) ?? { cpus: 0, gpus: 0 };
  usage.cpus += tasks * spec.cpus;
  usage.gpus += tasks * spec.gpus;
  usageByKey.set(key, usage);
}
