/**
 * What one job adds to a completion transaction: its own completion, or some of its ended tasks. Completed tasks go into the shared
 * completion record where possible, and into the job's own completion records otherwise.
 */
import { NO_REVISION, type PlanId } from '../../protocol/ids.js';
import {
  completionChunkOf,
  Keys,
  seal,
  TASKS_PER_COMPLETION_CHUNK,
  type FinishedJobRecord,
} from '../../storage/records.js';
import { mayWriteJob, type Job, type Placement } from '../../cluster/cluster-state.js';
import type { CompletionClusterState } from '../leader/cluster-state-views.js';
import type { CompletionBatch } from './completion-batch.js';
import type { CompletionLimits, TransactionPart } from './transaction-part.js';

/** Jobs with more tasks have their own completion records; a shared record would have to be kept as long as such a job runs. */
const MAX_TASKS_FOR_SHARED_RECORD = 2 * TASKS_PER_COMPLETION_CHUNK;

/** A job named in this many shared records gets its own records in their place. */
const MAX_SHARED_RECORDS_PER_JOB = 40;

/** The completion of a job takes one change that deletes its job record and one that writes its completion record. */
const JOB_COMPLETION_CHANGES = 2;

/** Ended tasks of one job that are to be persisted, grouped by the plan that placed them. */
export interface EndedTasks {
  readonly job: Job;
  readonly groups: readonly { readonly plan: PlanId; readonly placements: Placement[] }[];
}

interface JobCompletionRequest {
  readonly cluster: CompletionClusterState;
  readonly ended: EndedTasks;
  /** Changes still available in the transaction. */
  readonly maxChanges: number;
  readonly batch: CompletionBatch;
  readonly limits: CompletionLimits;
}

/** Whether the task ended by completing. */
export const isCompleted = (placement: Placement): boolean => placement.ended?.outcome === 'done';

/**
 * Whether the job is a gang that completed; `newlyCompleted` counts completions not persisted yet. The tasks of a gang complete
 * together: one known completion proves that of the others, even if a machine was lost before it could send a heartbeat. The
 * completion of a task on such a machine never becomes known.
 */
export const isGangCompleted = (job: Job, newlyCompleted: number): boolean =>
  job.spec.kind === 'gang' && job.done.count + newlyCompleted > 0;

/** Returns what the job adds to the transaction; undefined where nothing is due or nothing fits. */
export function completeJob(request: JobCompletionRequest): TransactionPart | undefined {
  const { cluster, ended, maxChanges, limits } = request;
  const { job } = ended;
  const placements = ended.groups.flatMap((group) => group.placements);
  const newlyCompleted = placements.filter(
    (placement) => isCompleted(placement) && !job.done.has(placement.index),
  ).length;
  const allCompleted =
    job.done.count + newlyCompleted >= job.spec.tasks || isGangCompleted(job, newlyCompleted);
  const isCancelled = job.cancelledAt !== undefined;
  if (job.placements.size === placements.length && (allCompleted || isCancelled)) {
    if (!mayWriteJob(job)) return undefined;
    if (maxChanges < JOB_COMPLETION_CHANGES + (limits.steps?.extraChangesFor(job) ?? 0)) return undefined;
    limits.steps?.recordJobCompletion(job, isCancelled ? 'cancelled' : 'done');
    return jobCompletionPart(cluster, job, placements, newlyCompleted);
  }
  return isCancelled ? undefined : completeTasks(request, placements);
}

function completeTasks(
  request: JobCompletionRequest,
  placements: readonly Placement[],
): TransactionPart | undefined {
  const { limits } = request;
  const completed = limits.batchDue ? placements.filter(isCompleted) : [];
  const requeued = limits.requeueDue ? requeueTasks(request) : undefined;
  const recorded = completed.length > 0 ? recordCompleted(request, completed) : undefined;
  if (!requeued || !recorded) return requeued ?? recorded;
  return {
    conditions: [...requeued.conditions, ...recorded.conditions],
    changes: [...requeued.changes, ...recorded.changes],
    placementCount: requeued.placementCount + recorded.placementCount,
    apply(modRevision) {
      requeued.apply(modRevision);
      recorded.apply(modRevision);
    },
  };
}

/** Replaces the job record by the completion record of the job, and releases the tasks from their plans. */
function jobCompletionPart(
  cluster: CompletionClusterState,
  job: Job,
  placements: readonly Placement[],
  newlyCompleted: number,
): TransactionPart {
  const isCancelled = job.cancelledAt !== undefined;
  const record: FinishedJobRecord = {
    state: isCancelled ? 'cancelled' : 'done',
    done: isCancelled ? job.done.count + newlyCompleted : job.spec.tasks,
  };
  return {
    conditions: [{ key: Keys.job(job.id), modRevision: job.modRevision }],
    changes: [
      { op: 'delete', key: Keys.job(job.id) },
      { op: 'put', key: Keys.finishedJob(job.id), value: seal(record) },
    ],
    placementCount: placements.length,
    completedJob: job,
    apply() {
      for (const placement of placements) closePlacement(cluster, placement);
      cluster.removeJob(job);
      cluster.recordEndedJob(job.id);
      for (const chunk of job.completionChunks.keys()) {
        cluster.garbage.add(Keys.completionChunk(job.id, chunk));
      }
    },
  };
}

function closePlacement(cluster: CompletionClusterState, placement: Placement): void {
  cluster.completePlacement(placement);
  const plan = cluster.plans.get(placement.plan);
  if (plan) plan.openTasks--;
}

/**
 * Requeues tasks that ended without completing. Only this term's leader can write that, and the job record's generation rises with
 * the plan that places them again. The old plan itself is never modified.
 */
function requeueTasks({ cluster, ended, batch }: JobCompletionRequest): TransactionPart | undefined {
  const requeued: Placement[] = [];
  for (const group of ended.groups) {
    const unfinished = group.placements.filter((placement) => !isCompleted(placement));
    if (unfinished.length === 0) continue;
    const plan = cluster.plans.get(group.plan);
    if (plan && !batch.addRequeued(plan, ended.job, indicesOf(unfinished))) continue;
    requeued.push(...unfinished);
  }
  if (requeued.length === 0) return undefined;
  return {
    conditions: [],
    changes: [],
    placementCount: requeued.length,
    apply() {
      for (const placement of requeued) closePlacement(cluster, placement);
    },
  };
}

const indicesOf = (placements: readonly Placement[]): number[] =>
  placements.map((placement) => placement.index);

/**
 * Records completed tasks of a job that continues. There is no condition on the job record: the fence of the term keeps older
 * leaders out, and a completion holds whatever the user did to the job record meanwhile.
 */
function recordCompleted(
  request: JobCompletionRequest,
  completed: readonly Placement[],
): TransactionPart | undefined {
  const { cluster, batch } = request;
  const { job } = request.ended;
  const applyTo = (placements: readonly Placement[]): void => {
    for (const placement of placements) {
      job.done.add(placement.index);
      closePlacement(cluster, placement);
    }
  };
  const needsOwnRecords =
    job.spec.tasks > MAX_TASKS_FOR_SHARED_RECORD || job.completionBatches.size >= MAX_SHARED_RECORDS_PER_JOB;
  if (!needsOwnRecords) {
    if (batch.addCompleted(job, indicesOf(completed))) {
      return {
        conditions: [],
        changes: [],
        placementCount: completed.length,
        apply: () => applyTo(completed),
      };
    }
    // No space is left beside other jobs: the tasks wait for the next batch. Tasks too many for an empty batch go to the job's own
    // records.
    if (!batch.isEmpty) return undefined;
  }
  const indicesByChunk = fittingChunks(job, groupByChunk(job, completed), request.maxChanges);
  if (indicesByChunk.size === 0) return undefined;
  const written = completed.filter(({ index }) => indicesByChunk.has(completionChunkOf(index)));
  const part = chunkPart(cluster, job, indicesByChunk);
  return {
    ...part,
    placementCount: written.length,
    apply(modRevision) {
      applyTo(written);
      part.apply(modRevision);
    },
  };
}

/** Returns as many chunks as one transaction can write. If shared records name the job, only all of them together can replace these. */
function fittingChunks(
  job: Job,
  indicesByChunk: ReadonlyMap<number, readonly number[]>,
  maxChanges: number,
): ReadonlyMap<number, readonly number[]> {
  if (indicesByChunk.size <= maxChanges) return indicesByChunk;
  const isDivisible = job.completionBatches.size === 0 && maxChanges > 0;
  return new Map(isDivisible ? [...indicesByChunk].slice(0, maxChanges) : []);
}

/** Groups completed tasks by chunk record. If shared records name the job, all chunks are written, to take over their contents. */
function groupByChunk(job: Job, completed: readonly Placement[]): Map<number, number[]> {
  const indicesByChunk = new Map<number, number[]>();
  for (const { index } of completed) {
    const indices = indicesByChunk.get(completionChunkOf(index));
    if (indices) indices.push(index);
    else indicesByChunk.set(completionChunkOf(index), [index]);
  }
  if (job.completionBatches.size === 0) return indicesByChunk;
  const lastChunk = completionChunkOf(job.spec.tasks - 1);
  for (let chunk = 0; chunk <= lastChunk; chunk++) {
    if (!indicesByChunk.has(chunk)) indicesByChunk.set(chunk, []);
  }
  return indicesByChunk;
}

/** Writes the job's own completion records. They replace what shared records say about the job, and release these. */
function chunkPart(
  cluster: CompletionClusterState,
  job: Job,
  indicesByChunk: ReadonlyMap<number, readonly number[]>,
): TransactionPart {
  return {
    // Each record must be unchanged since this write was planned: a late write never replaces a newer one, whatever its fence.
    conditions: [...indicesByChunk.keys()].map((chunk) => ({
      key: Keys.completionChunk(job.id, chunk),
      modRevision: job.completionChunks.get(chunk) ?? NO_REVISION,
    })),
    changes: [...indicesByChunk].map(([chunk, indices]) => ({
      op: 'put',
      key: Keys.completionChunk(job.id, chunk),
      value: seal(job.done.chunkRecordWith(chunk, indices)),
    })),
    placementCount: 0,
    apply(modRevision) {
      for (const chunk of indicesByChunk.keys()) job.completionChunks.set(chunk, modRevision);
      for (const key of [...job.completionBatches]) cluster.unreferenceBatch(job, key);
    },
  };
}
