import type { JobId } from '../../protocol/ids.js';
import { priorityRank } from '../../protocol/jobs.js';
import type { Job } from '../../cluster/cluster-state.js';
import type { SchedulingSnapshot } from './snapshot.js';

/** The order in which waiting jobs get their turn in a scheduling cycle. */

/** Work that can no longer meet any objective is due after so many times the longest one. */
const MISSED_OBJECTIVE_FACTOR = 3;

/** Work without an objective is due after so many times its expected runtime. */
const DEFAULT_DUE_RUNTIMES = 2;

/** Negative if the first job goes first. */
export type QueueOrder = (a: Job, b: Job) => number;

/** Whether the job is production work: a missing replica of it is an outage. */
export const isProduction = (job: Job): boolean => job.spec.priority === 'production';

/** Orders ids of equal rank, so that the order is total. */
export const compareIds = (a: JobId, b: JobId): number => (a < b ? -1 : 1);

/**
 * Creates the queue order: production work first, whatever its team is due, since a missing replica is an
 * outage and replicas are small beside the rest; then work within its guarantee, then by priority, then by
 * due time, then by age.
 */
export const createQueueOrder =
  (withinGuarantee: ReadonlySet<JobId>, dueTimeOf: (job: Job) => number): QueueOrder =>
  (a, b) =>
    Number(isProduction(b)) - Number(isProduction(a)) ||
    Number(withinGuarantee.has(b.id)) - Number(withinGuarantee.has(a.id)) ||
    priorityRank(a.spec.priority) - priorityRank(b.spec.priority) ||
    dueTimeOf(a) - dueTimeOf(b) ||
    a.record.acceptedAt - b.record.acceptedAt ||
    compareIds(a.id, b.id);

/**
 * When an array or gang is due, in milliseconds: at its own deadline, or at the first of its class's
 * objectives that it can still meet. Work that can meet none goes behind other work of its rank, since serving it
 * first would only make others late too. Its due time is still finite, so it ages: gangs that could no longer meet
 * their objective would otherwise wait until the end of the day while new ones arrive.
 */
export function dueAt(
  job: Job,
  snapshot: Pick<SchedulingSnapshot, 'now' | 'estimates' | 'objectives'>,
): number {
  const runtimeS = snapshot.estimates.expectedSeconds(job.spec);
  const objectivesS = finishObjectivesS(job, snapshot.objectives);
  if (job.spec.kind === 'service' || objectivesS.length === 0) {
    return job.acceptedAt + DEFAULT_DUE_RUNTIMES * runtimeS * 1000;
  }
  const ageS = (snapshot.now - job.acceptedAt) / 1000;
  const withinS =
    objectivesS.find((objectiveS) => ageS + runtimeS <= objectiveS) ??
    MISSED_OBJECTIVE_FACTOR * objectivesS[objectivesS.length - 1]!;
  return job.acceptedAt + withinS * 1000;
}

/**
 * Seconds by which the job should be finished, shortest first: its own deadline and the longer ones of its
 * class.
 */
function finishObjectivesS(
  { spec }: Job,
  { finishWithinSByClass }: SchedulingSnapshot['objectives'],
): readonly number[] {
  const ofClass = finishWithinSByClass.get(spec.class) ?? [];
  const { deadlineS } = spec;
  return deadlineS === null ? ofClass : [deadlineS, ...ofClass.filter((withinS) => withinS > deadlineS)];
}
