import type { SteadyMs } from '../../transport/clock.js';
import { classGroup, teamGroup, type FairShareGroupKey } from '../../cluster/fair-share-groups.js';
import type { JobId } from '../../protocol/ids.js';
import type { ClusterState, Job } from '../../cluster/cluster-state.js';
import type { RuntimeEstimates } from '../../cluster/runtime-estimates.js';
import { DEFAULT_PATIENCE_S, type SchedulingObjectives } from '../scheduling/objectives.js';

/**
 * How well each class and team is served, counted in jobs. It covers live jobs and those completed in the leader's term;
 * cancelled jobs are not counted. The results are for operators and the log only; nothing is decided by them.
 */

/** The largest jobs of a class are one in this many, by number of tasks. */
const LARGEST_JOBS_DIVISOR = 10;
/** Without a deadline or an objective, a job is due after this many times its expected run time plus `DEFAULT_PATIENCE_S`. */
const DUE_ESTIMATES = 2;

/** How well one class or team is served. Operators read these fields at `/ops`. */
export interface FairShareStatus {
  accepted: number;
  started: number;
  done: number;
  /** Jobs that should be done by now and services that should be up; completed jobs are included. */
  due: number;
  /** Replicas of services that should be up by now (`wanted`), and that are (`up`). */
  wanted: number;
  up: number;
  /** Of what is due, the fraction served: jobs done, and the running fraction of each service. Undefined while nothing is due. */
  share: number | undefined;
}

type MeasuredClusterState = Pick<ClusterState, 'jobs' | 'completedJobs'>;

/** A job that has not started, and how long it has waited. */
export interface UnstartedJob {
  readonly job: JobId;
  readonly waitS: number;
}

/**
 * Among the largest live jobs of each class, returns the one that has waited longest for its first task. Large jobs are those
 * that a shortage of machines can starve.
 */
export function longestUnstarted(cluster: MeasuredClusterState, now: SteadyMs): UnstartedJob | undefined {
  let longest: UnstartedJob | undefined;
  for (const jobs of largestJobsByClass(cluster).values()) {
    for (const { id, acceptedAt, hasStarted } of jobs) {
      const waitS = Math.round((now - acceptedAt) / 1000);
      if (!hasStarted && (!longest || waitS > longest.waitS)) longest = { job: id, waitS };
    }
  }
  return longest;
}

/** The largest tenth of each class's live jobs, one at least. */
function largestJobsByClass(cluster: MeasuredClusterState): ReadonlyMap<string, readonly Job[]> {
  const byClass = new Map<string, Job[]>();
  for (const job of cluster.jobs.values()) {
    if (job.cancelledAt !== undefined) continue;
    const jobs = byClass.get(job.spec.class);
    if (jobs) jobs.push(job);
    else byClass.set(job.spec.class, [job]);
  }
  for (const [name, jobs] of byClass) {
    jobs.sort((a, b) => b.spec.tasks - a.spec.tasks);
    byClass.set(name, jobs.slice(0, Math.ceil(jobs.length / LARGEST_JOBS_DIVISOR)));
  }
  return byClass;
}

/** Measures all classes and teams. It iterates over all jobs, so it is only for operators' requests and the log every 10 s. */
export function fairShareStatuses(
  cluster: MeasuredClusterState,
  objectives: SchedulingObjectives,
  estimates: RuntimeEstimates,
  now: SteadyMs,
): Map<FairShareGroupKey, FairShareStatus> {
  const statuses = new Map<FairShareGroupKey, FairShareStatus>();
  /** Per group, the sum of its services' running fractions. */
  const upFractions = new Map<FairShareGroupKey, number>();
  for (const [key, jobs] of cluster.completedJobs) addCompleted(statusOf(statuses, key), jobs);
  for (const job of cluster.jobs.values()) {
    if (job.cancelledAt !== undefined) continue;
    const isDue = (now - job.acceptedAt) / 1000 > dueAfterS(job, objectives, estimates);
    const up = job.spec.kind === 'service' ? runningTasks(job) : undefined;
    for (const key of [classGroup(job.spec), teamGroup(job.spec)]) {
      addLive(statusOf(statuses, key), job, isDue, up);
      if (isDue && up !== undefined) upFractions.set(key, (upFractions.get(key) ?? 0) + up / job.spec.tasks);
    }
  }
  for (const [key, status] of statuses) {
    if (status.due > 0) status.share = (status.done + (upFractions.get(key) ?? 0)) / status.due;
  }
  return statuses;
}

function statusOf(
  statuses: Map<FairShareGroupKey, FairShareStatus>,
  key: FairShareGroupKey,
): FairShareStatus {
  let status = statuses.get(key);
  if (!status) {
    status = { accepted: 0, started: 0, done: 0, due: 0, wanted: 0, up: 0, share: undefined };
    statuses.set(key, status);
  }
  return status;
}

function addCompleted(status: FairShareStatus, jobs: number): void {
  status.accepted += jobs;
  status.started += jobs;
  status.done += jobs;
  status.due += jobs;
}

/** `up`: the running tasks of a service; undefined for any other job. */
function addLive(status: FairShareStatus, job: Job, isDue: boolean, up: number | undefined): void {
  status.accepted++;
  if (job.hasStarted) status.started++;
  if (!isDue) return;
  status.due++;
  if (up === undefined) return;
  status.wanted += job.spec.tasks;
  status.up += up;
}

/** Seconds from acceptance within which a job should be done, or a service be up. */
function dueAfterS({ spec }: Job, objectives: SchedulingObjectives, estimates: RuntimeEstimates): number {
  if (spec.kind === 'service') return objectives.startWithinSByClass.get(spec.class) ?? DEFAULT_PATIENCE_S;
  if (spec.deadlineS !== null) return spec.deadlineS;
  const finishS = objectives.finishWithinSByClass.get(spec.class);
  return finishS?.at(-1) ?? DUE_ESTIMATES * estimates.expectedSeconds(spec) + DEFAULT_PATIENCE_S;
}

function runningTasks({ placements }: Job): number {
  let count = 0;
  for (const { ended, state } of placements.values()) if (!ended && state === 'running') count++;
  return count;
}

/** The class and the team with the lowest share among those with due work, and these shares. */
export function mostUnderserved(
  statuses: ReadonlyMap<FairShareGroupKey, FairShareStatus>,
): Record<string, number> {
  const lowest: Record<string, number> = {};
  for (const kind of ['class', 'team']) {
    let worst: { readonly key: FairShareGroupKey; readonly share: number } | undefined;
    for (const [key, { share }] of statuses) {
      if (!key.startsWith(kind) || share === undefined) continue;
      if (!worst || share < worst.share) worst = { key, share };
    }
    if (worst) lowest[worst.key] = Math.round(worst.share * 100) / 100;
  }
  return lowest;
}
