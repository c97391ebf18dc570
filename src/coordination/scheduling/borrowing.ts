import type { TaskIndex } from '../../protocol/ids.js';
import type { Job, Placement } from '../../cluster/cluster-state.js';
import { currentWidth } from './elastic-job.js';
import type { SchedulingSnapshot } from './snapshot.js';

/**
 * Tracks, during one scheduling cycle, the capacity that elastic jobs borrow: what they run beyond their
 * minimum width. It is given back to any job that asks for it. Widths themselves are decided in `elastic/`.
 */
export class Borrowing {
  /** How many tasks of each elastic job this cycle has reclaimed. */
  private readonly reclaimedByJob = new Map<Job, number>();
  private anyBorrowed: boolean | undefined;

  constructor(private readonly snapshot: Pick<SchedulingSnapshot, 'elastic' | 'cluster'>) {}

  /**
   * Whether the job has its minimum width: beyond it, it takes idle capacity only, without preemption or
   * scale-out.
   */
  growsBeyondMinimum(job: Job): boolean {
    return (
      job.spec.elastic !== undefined &&
      this.snapshot.elastic !== undefined &&
      currentWidth(job) >= job.spec.elastic.least
    );
  }

  /**
   * How many more tasks of the job this cycle may place; infinite for jobs that are not elastic. The minimum
   * width comes first, as ordinary work; growth beyond it is left to a cycle that finds the minimum running.
   */
  remainingWidth(job: Job, placed: ReadonlySet<TaskIndex> | undefined): number {
    const allowance = this.snapshot.elastic?.growthAllowance(job);
    if (allowance === undefined) return Infinity;
    const toMinimum = (job.spec.elastic?.least ?? 0) - currentWidth(job);
    return (toMinimum > 0 ? Math.min(allowance, toMinimum) : allowance) - (placed?.size ?? 0);
  }

  /** Records that this cycle stops the task for another job. */
  recordReclaim(placement: Placement): void {
    const { job } = placement;
    if (job.spec.elastic) this.reclaimedByJob.set(job, this.reclaimedBy(job) + 1);
  }

  /** Whether the task's job still borrows more than this cycle has reclaimed of it. */
  isBorrowed(placement: Placement): boolean {
    const { elastic } = this.snapshot;
    return (
      placement.job.spec.elastic !== undefined &&
      elastic !== undefined &&
      elastic.borrowedTasks(placement.job) > this.reclaimedBy(placement.job)
    );
  }

  /**
   * Whether one more task than the given number of the job's tasks may be reclaimed, regardless of queue order.
   */
  mayReclaim(placement: Placement, alreadySelected: number): boolean {
    return (
      this.isBorrowed(placement) &&
      (this.snapshot.elastic?.borrowedTasks(placement.job) ?? 0) >
        this.reclaimedBy(placement.job) + alreadySelected
    );
  }

  /** Whether any elastic job borrows capacity; evaluated at the first call in the cycle. */
  hasAnyBorrowed(): boolean {
    const { elastic, cluster } = this.snapshot;
    if (!elastic) return false;
    this.anyBorrowed ??= [...cluster.jobs.values()].some(
      (job) => job.spec.elastic !== undefined && elastic.borrowedTasks(job) > 0,
    );
    return this.anyBorrowed;
  }

  private reclaimedBy(job: Job): number {
    return this.reclaimedByJob.get(job) ?? 0;
  }
}
