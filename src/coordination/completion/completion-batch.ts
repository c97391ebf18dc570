/**
 * The shared completion record: ended tasks of many jobs in one stored value, so that hundreds of them cost one change. Owns what
 * fits into it; `job-completion.ts` decides which tasks go there.
 */
import type { Change } from '../../protocol/state.js';
import type { StoreKey } from '../../protocol/ids.js';
import {
  completionBatchRecord,
  formatIndexRanges,
  seal,
  type CompletedTasks,
  type RequeuedTasks,
} from '../../storage/records.js';
import type { Job, PlanState } from '../../cluster/cluster-state.js';
import type { CompletionClusterState } from '../leader/cluster-state-views.js';

/** Bytes of the store's value limit reserved for the envelope of the record. */
const ENVELOPE_BYTES = 128;
/** Bytes of the record without any entry. */
const EMPTY_RECORD_BYTES = 256;
/** Bytes of an entry besides its names and ranges. */
const COMPLETED_ENTRY_BYTES = 24;
const REQUEUED_ENTRY_BYTES = 36;

/** Ended tasks of many jobs, collected for one record. */
export class CompletionBatch {
  private readonly completed: CompletedTasks[] = [];
  private readonly requeued: RequeuedTasks[] = [];
  private readonly jobs: Job[] = [];
  private readonly plans: PlanState[] = [];
  private readonly maxBytes: number;
  private bytes = EMPTY_RECORD_BYTES;

  constructor(valueKb: number) {
    this.maxBytes = valueKb * 1024 - ENVELOPE_BYTES;
  }

  get isEmpty(): boolean {
    return this.completed.length === 0 && this.requeued.length === 0;
  }

  /** Adds completed tasks. Returns whether they fit. */
  addCompleted(job: Job, indices: readonly number[]): boolean {
    const tasks = formatIndexRanges(indices);
    if (!this.reserve(tasks.length + job.id.length + COMPLETED_ENTRY_BYTES)) return false;
    this.completed.push({ job: job.id, tasks });
    this.jobs.push(job);
    return true;
  }

  /** Adds requeued tasks of a plan. Returns whether they fit. */
  addRequeued(plan: PlanState, job: Job, indices: readonly number[]): boolean {
    const tasks = formatIndexRanges(indices);
    if (!this.reserve(tasks.length + job.id.length + plan.id.length + REQUEUED_ENTRY_BYTES)) return false;
    this.requeued.push({ plan: plan.id, job: job.id, tasks });
    this.plans.push(plan);
    return true;
  }

  /** Returns the change that writes the record. */
  change(key: StoreKey): Change {
    return { op: 'put', key, value: seal(completionBatchRecord(this.completed, this.requeued)) };
  }

  /** Records in the cluster state which jobs and plans need the record; called once it is written. */
  apply(cluster: CompletionClusterState, key: StoreKey): void {
    for (const job of this.jobs) cluster.referenceBatchFromJob(job, key);
    for (const plan of this.plans) cluster.referenceBatchFromPlan(plan, key);
  }

  private reserve(bytes: number): boolean {
    if (this.bytes + bytes > this.maxBytes) return false;
    this.bytes += bytes;
    return true;
  }
}
