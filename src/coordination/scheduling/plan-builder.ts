import type { Log } from '../../transport/log.js';
import type { Attempt, PlanId, Term } from '../../protocol/ids.js';
import {
  formatIndexRanges,
  planCapacityBytes,
  planJobBytes,
  type Plan,
  type PlanGroup,
  type PlanJob,
} from '../../storage/records.js';
import type { Job, Machine } from '../../cluster/cluster-state.js';
import type { PlannedTask } from './snapshot.js';

/** Turns planned tasks into the record of a plan, within the size of one stored value. */

export interface PlanRequest {
  readonly id: PlanId;
  readonly term: Term;
  readonly attempt: Attempt;
  readonly tasks: readonly PlannedTask[];
  /** The largest value that the store takes, in KiB. */
  readonly valueKb: number;
}

/** The record of a plan, and the tasks that fitted into it. */
export interface BuiltPlan {
  readonly plan: Plan;
  readonly taken: readonly PlannedTask[];
}

/** Builds a plan of as many of the tasks as one stored value holds; a gang is taken whole or not at all. */
export function buildPlan(request: PlanRequest, log: Log): BuiltPlan {
  const { id, term, attempt } = request;
  const jobs: PlanJob[] = [];
  const taken: PlannedTask[] = [];
  // Only sizes are computed until the end: sealing the whole plan again for each job would make the cost quadratic.
  let remainingBytes = planCapacityBytes({ id, term, jobs: [] }, request.valueKb);
  for (const [job, tasks] of groupByJob(request.tasks, log)) {
    const fitted = fitJob(job, attempt, tasks, remainingBytes);
    if (!fitted) continue;
    remainingBytes -= fitted.bytes;
    jobs.push(fitted.entry);
    taken.push(...fitted.tasks);
  }
  return { plan: { id, term, jobs }, taken };
}

/** Groups the tasks that may be planned by job, and leaves out gangs that are not whole. */
function groupByJob(tasks: readonly PlannedTask[], log: Log): Map<Job, PlannedTask[]> {
  const tasksByJob = new Map<Job, PlannedTask[]>();
  const names = new Set<string>();
  for (const task of tasks) {
    const { job, index, machine } = task;
    const name = `${job.id}/${index}`;
    // A second check, independent of the planner: a task that is possibly running or is in this plan already is
    // never planned again.
    if (names.has(name) || job.placements.has(index) || job.done.has(index)) {
      log.error('task-planned-twice', { task: name, machine: machine.id });
      continue;
    }
    names.add(name);
    const ofJob = tasksByJob.get(job);
    if (ofJob) ofJob.push(task);
    else tasksByJob.set(job, [task]);
  }
  for (const [job, ofJob] of tasksByJob) {
    if (job.spec.kind === 'gang' && ofJob.length < job.spec.tasks) tasksByJob.delete(job);
  }
  return tasksByJob;
}

interface FittedJob {
  readonly entry: PlanJob;
  readonly tasks: readonly PlannedTask[];
  readonly bytes: number;
}

/** Halves the tasks until their entry fits; undefined if not even one does, or a gang does not fit whole. */
function fitJob(
  job: Job,
  attempt: Attempt,
  allTasks: readonly PlannedTask[],
  remainingBytes: number,
): FittedJob | undefined {
  let tasks = allTasks;
  for (;;) {
    const entry = planEntry(job, attempt, tasks);
    const bytes = planJobBytes(entry);
    if (bytes <= remainingBytes) return { entry, tasks, bytes };
    if (job.spec.kind === 'gang' || tasks.length <= 1) return undefined;
    tasks = tasks.slice(0, Math.floor(tasks.length / 2));
  }
}

function planEntry(job: Job, attempt: Attempt, tasks: readonly PlannedTask[]): PlanJob {
  const indicesByMachine = new Map<Machine, number[]>();
  for (const { machine, index } of tasks) {
    const indices = indicesByMachine.get(machine);
    if (indices) indices.push(index);
    else indicesByMachine.set(machine, [index]);
  }
  return { job: job.id, attempt, on: [...indicesByMachine].map(planGroup) };
}

const planGroup = ([machine, indices]: readonly [Machine, readonly number[]]): PlanGroup => ({
  machine: machine.id,
  session: machine.agentEpoch,
  type: machine.type,
  zone: machine.zone,
  spot: machine.spot,
  tasks: formatIndexRanges(indices),
});
