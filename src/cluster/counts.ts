/** Figures derived from jobs and placements: waiting tasks, jobs that fail everywhere, and what each team uses. */
import type { JobId, TaskIndex, TeamName } from '../protocol/ids.js';
import type { Job, Machine, ResourceUsage } from './entities.js';

/** Returns waiting tasks in order, at most `limit`, and moves the job's cursor up to the first of them. */
export function waitingTasks(job: Job, limit: number): TaskIndex[] {
  const waiting: TaskIndex[] = [];
  for (let i = job.waitingCursor; i < job.spec.tasks && waiting.length < limit; i++) {
    if (job.done.has(i) || job.placements.has(i as TaskIndex)) continue;
    waiting.push(i as TaskIndex);
  }
  const [first] = waiting;
  if (first !== undefined) job.waitingCursor = first;
  else if (limit > 0) job.waitingCursor = Math.max(job.waitingCursor, job.spec.tasks);
  return waiting;
}

/** A job whose tasks failed on this many machines, with no completion since, is at fault itself. */
const MIN_FAILED_MACHINES = 2;

/**
 * Returns whether the job fails wherever it runs. A job submitted with a mistake fails on every machine until its user cancels
 * it. It is distinguished from a faulty machine by what else fails: one job on many machines, or many jobs on one machine.
 * Otherwise one array of ninety such tasks would quarantine a dozen machines at once and have them returned. A job most of whose
 * tasks still run may have met two faulty machines.
 */
export const failsEverywhere = (job: Job): boolean =>
  job.failedOn.size >= MIN_FAILED_MACHINES && job.placements.size <= 2 * job.failuresSinceCompletion;

/** Returns how many tasks of the job wait for a machine. A job that fails everywhere is tried one task at a time, except gangs. */
export function waitingTaskCount(job: Job): number {
  if (job.backedOff) return 0;
  const waiting = job.spec.tasks - job.done.count - job.placements.size;
  return failsEverywhere(job) && job.spec.kind !== 'gang'
    ? Math.min(waiting, Math.max(0, 1 - job.placements.size))
    : waiting;
}

/** What `teamUsageWithOrphans` reads. */
interface TeamUsageView {
  readonly teamUsage: ReadonlyMap<TeamName, ResourceUsage>;
  readonly machinesWithOrphans: ReadonlySet<Machine>;
  readonly jobs: ReadonlyMap<JobId, Job>;
}

/** Returns what each team's tasks use, for quotas: all that possibly runs on a machine counts, orphan tasks too. */
export function teamUsageWithOrphans(cluster: TeamUsageView): Map<TeamName, ResourceUsage> {
  const usageByTeam = new Map<TeamName, ResourceUsage>();
  for (const [team, usage] of cluster.teamUsage) usageByTeam.set(team, { ...usage });
  for (const machine of cluster.machinesWithOrphans) {
    for (const orphan of machine.orphanTasks) {
      const spec = cluster.jobs.get(orphan.job)?.spec;
      if (!spec) continue;
      const usage = usageByTeam.get(spec.team) ?? { cpus: 0, gpus: 0 };
      usage.cpus += spec.cpus;
      usage.gpus += spec.gpus;
      usageByTeam.set(spec.team, usage);
    }
  }
  return usageByTeam;
}
