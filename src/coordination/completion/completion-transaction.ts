/**
 * Builds the next completion transaction: completions of jobs, ended tasks, and what pipelines add. Reads the cluster state and
 * changes it only in `apply`, once the transaction is committed.
 */
import type { JobId, PlanId } from '../../protocol/ids.js';
import type { Job, Placement } from '../../cluster/cluster-state.js';
import type { CompletionClusterState } from '../leader/cluster-state-views.js';
import { CompletionBatch } from './completion-batch.js';
import { completeJob, isCompleted, isGangCompleted, type EndedTasks } from './job-completion.js';
import type { CompletionLimits, CompletionTransaction, TransactionPart } from './transaction-part.js';

/** The condition that fences every write by the leader's term takes one operation. */
const FENCE_OPERATIONS = 1;

/** Returns the next completions to write, within the operations of one transaction; undefined if there are none. */
export function nextCompletionTransaction(
  cluster: CompletionClusterState,
  limits: CompletionLimits,
): CompletionTransaction | undefined {
  const { steps, batchKey } = limits;
  const parts: TransactionPart[] = [];
  const jobs: JobId[] = [];
  const batch = new CompletionBatch(limits.valueKb);
  let freeOperations = limits.txnOps - FENCE_OPERATIONS;
  for (const ended of endedTasksByJob(cluster, limits)) {
    const maxChanges = freeOperations - (steps?.reservedChanges ?? 0);
    const part = completeJob({ cluster, ended, maxChanges, batch, limits });
    if (!part) continue;
    parts.push(part);
    jobs.push(ended.job.id);
    freeOperations -= part.changes.length;
  }
  const placementCount = countPlacements(parts);
  if (steps) parts.push(...steps.transactionParts(freeOperations));
  const writesBatch = !batch.isEmpty;
  if (writesBatch) parts.push(batchPart(cluster, batch, batchKey));
  const changes = parts.flatMap((part) => part.changes);
  if (changes.length === 0) return undefined;
  return {
    conditions: parts.flatMap((part) => part.conditions),
    changes,
    jobs,
    completedJobs: parts.flatMap(({ completedJob }) => completedJob ?? []),
    placementCount,
    writesBatch,
    apply(modRevision) {
      for (const part of parts) part.apply(modRevision);
    },
  };
}

const countPlacements = (parts: readonly TransactionPart[]): number =>
  parts.reduce((count, part) => count + part.placementCount, 0);

const batchPart = (
  cluster: CompletionClusterState,
  batch: CompletionBatch,
  key: CompletionLimits['batchKey'],
): TransactionPart => ({
  conditions: [],
  changes: [batch.change(key)],
  placementCount: 0,
  apply: () => batch.apply(cluster, key),
});

/** Returns the ended tasks that are due to be persisted, by job; jobs that are over and have no placements come first. */
function endedTasksByJob(cluster: CompletionClusterState, limits: CompletionLimits): EndedTasks[] {
  const plansByJob = new Map<Job, Map<PlanId, Placement[]>>();
  for (const job of cluster.jobs.values()) {
    if (isOver(job) && job.placements.size === 0) plansByJob.set(job, new Map());
  }
  for (const placement of cluster.pendingCompletions) addPlacement(plansByJob, placement);
  const due: EndedTasks[] = [];
  for (const [job, plans] of plansByJob) {
    const placements = [...plans.values()].flat();
    if (!isDue(job, placements, limits)) continue;
    due.push({ job, groups: [...plans].map(([plan, ended]) => ({ plan, placements: ended })) });
  }
  return due;
}

const isOver = (job: Job): boolean =>
  job.cancelledAt !== undefined || job.done.count >= job.spec.tasks || isGangCompleted(job, 0);

function addPlacement(plansByJob: Map<Job, Map<PlanId, Placement[]>>, placement: Placement): void {
  const { job, plan } = placement;
  let plans = plansByJob.get(job);
  if (!plans) plansByJob.set(job, (plans = new Map<PlanId, Placement[]>()));
  const placements = plans.get(plan);
  if (placements) placements.push(placement);
  else plans.set(plan, [placement]);
}

function isDue(job: Job, ended: readonly Placement[], limits: CompletionLimits): boolean {
  const isEmpty = job.placements.size <= ended.length;
  // The tasks of a cancelled job are persisted together with its completion: nothing needs any of them earlier.
  if (job.cancelledAt !== undefined && !isEmpty) return false;
  return isEmpty || limits.batchDue || (limits.requeueDue && !ended.every(isCompleted));
}
