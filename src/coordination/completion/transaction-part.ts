/** Types of the parts of a completion transaction, and of what pipelines add to it. */
import type { JobId, ModRevision, StoreKey } from '../../protocol/ids.js';
import type { Change, Condition } from '../../protocol/state.js';
import type { Job } from '../../cluster/cluster-state.js';

/** What one job, pipeline or batch adds to a transaction: what it writes, and how it changes the cluster state after the commit. */
export interface TransactionPart {
  readonly conditions: Condition[];
  readonly changes: Change[];
  readonly placementCount: number;
  /** The job that it completes, and whose record it removes. */
  readonly completedJob?: Job | undefined;
  /** Applies the part to the cluster state; `modRevision` is that of the keys it wrote. */
  readonly apply: (modRevision: ModRevision) => void;
}

/** The completions that are written together. */
export interface CompletionTransaction extends TransactionPart {
  readonly jobs: readonly JobId[];
  /** The jobs that it completes. */
  readonly completedJobs: readonly Job[];
  /** Whether it writes a shared completion record. */
  readonly writesBatch: boolean;
}

/** What pipelines add to a transaction: the heads of pipelines whose steps complete, and job records of steps that may start. */
export interface StepCompletion {
  /** Changes reserved for the job completions recorded so far. */
  readonly reservedChanges: number;
  /** Additional changes that the completion of this job needs. */
  extraChangesFor(job: Job): number;
  recordJobCompletion(job: Job, how: 'done' | 'cancelled'): void;
  /** Returns the parts, which together have at most `maxChanges` changes. */
  transactionParts(maxChanges: number): TransactionPart[];
}

/** Limits of the next transaction, and which tasks are due for it. */
export interface CompletionLimits {
  readonly txnOps: number;
  readonly valueKb: number;
  /** Key of the shared completion record, if one is written. */
  readonly batchKey: StoreKey;
  /**
   * Whether completed tasks of jobs that continue may be written. They are delayed so that those of many jobs share one record, a
   * single change for hundreds of tasks. Their capacity is free meanwhile; only the agent's `forget` waits.
   */
  readonly batchDue: boolean;
  /** Whether requeued tasks may be written; these are due sooner, since they are to be placed again. */
  readonly requeueDue: boolean;
  readonly steps?: StepCompletion | undefined;
}
