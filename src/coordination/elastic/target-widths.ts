/**
 * Pure functions that compute how wide each elastic job should run. They keep no state and read no clock.
 */
import type { JobId } from '../../protocol/ids.js';
import { priorityRank, type ElasticSpec } from '../../protocol/jobs.js';
import type { Priority } from '../../protocol/wire.js';

/** An elastic job as an input for its target width. Amounts are in units: GPUs if its tasks use any, else processors. */
export interface ElasticJobView {
  readonly id: JobId;
  readonly elastic: ElasticSpec;
  readonly priority: Priority;
  /** Weight of its share of the idle capacity against other jobs: the guarantee of its team. */
  readonly weight: number;
  /** Units that one task uses. */
  readonly unitsPerTask: number;
  /** Tasks that are not done; the width cannot exceed them. */
  readonly unfinishedTasks: number;
  /** Tasks on machines without a stop request. */
  readonly currentWidth: number;
  /** The total number of tasks that its team's limit permits. */
  readonly quotaWidth: number;
}

export interface WidthInputs {
  readonly jobs: readonly ElasticJobView[];
  /** Free units on machines that accept tasks. */
  readonly idleUnits: number;
  /** Units that waiting tasks of other jobs need. */
  readonly waitingUnits: number;
  /** Units that services ask to keep as head room. */
  readonly headRoomUnits: number;
}

/**
 * Computes the target width of each elastic job: a pure function, so that the same inputs give the same widths. Every job gets
 * its least width; these are subtracted, by priority, from the capacity that other work does not need. The rest is shared by
 * weight. No job exceeds its maximum, and what one job cannot use goes to the others.
 */
export function computeTargetWidths(inputs: WidthInputs): Map<JobId, number> {
  const widths = new Map<JobId, number>();
  const maxWidth = (job: ElasticJobView): number =>
    Math.max(0, Math.min(job.elastic.most, job.unfinishedTasks, job.quotaWidth));
  const byPriority = [...inputs.jobs].sort(
    (a, b) => priorityRank(a.priority) - priorityRank(b.priority) || (a.id < b.id ? -1 : 1),
  );
  const usedUnits = byPriority.reduce((sum, job) => sum + job.currentWidth * job.unitsPerTask, 0);
  let availableUnits = Math.max(0, inputs.idleUnits + usedUnits - inputs.waitingUnits - inputs.headRoomUnits);
  for (const job of byPriority) {
    // The least width is ordinary work: it is targeted whether or not capacity is available, and waits like any other work.
    const least = Math.min(job.elastic.least, maxWidth(job));
    widths.set(job.id, least);
    availableUnits = Math.max(0, availableUnits - least * job.unitsPerTask);
  }
  // Water-filling: each pass gives every job that can still grow its share of the remaining capacity.
  let growable = byPriority.filter((job) => widths.get(job.id)! < maxWidth(job));
  while (growable.length > 0 && availableUnits > 0) {
    const totalWeight = growable.reduce((sum, job) => sum + job.weight, 0);
    let grantedUnits = 0;
    for (const job of growable) {
      const share = Math.floor((availableUnits * job.weight) / totalWeight / job.unitsPerTask + 1e-9);
      const additionalTasks = Math.min(share, maxWidth(job) - widths.get(job.id)!);
      widths.set(job.id, widths.get(job.id)! + additionalTasks);
      grantedUnits += additionalTasks * job.unitsPerTask;
    }
    availableUnits -= grantedUnits;
    if (grantedUnits === 0) {
      // No job's share covers a whole task: whole tasks are granted one at a time, by descending weight.
      let anyGranted = false;
      for (const job of [...growable].sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))) {
        if (availableUnits + 1e-9 < job.unitsPerTask || widths.get(job.id)! >= maxWidth(job)) continue;
        widths.set(job.id, widths.get(job.id)! + 1);
        availableUnits -= job.unitsPerTask;
        anyGranted = true;
      }
      if (!anyGranted) break;
    }
    growable = growable.filter((job) => widths.get(job.id)! < maxWidth(job));
  }
  return widths;
}

/** The target width of one job and when it was decided, so that it does not follow every fluctuation of the fleet. */
export interface WidthDecision {
  readonly width: number;
  readonly decidedAtMs: number;
}

/** A width grows no sooner than this after its last change, and by at least this fraction. */
const MIN_GROWTH_INTERVAL_MS = 5000;
const MIN_GROWTH_FRACTION = 0.1;
/**
 * Unless other work needs capacity, a width shrinks no sooner than this after its last change, so that two jobs do not pass the
 * same capacity back and forth.
 */
const MIN_SHRINK_INTERVAL_MS = 10_000;

/**
 * Applies hysteresis: a width shrinks at once if other work needs capacity. All other changes wait for a minimum interval, and
 * small growth is ignored.
 */
export function applyHysteresis(
  previous: WidthDecision | undefined,
  target: number,
  capacityNeeded: boolean,
  nowMs: number,
): WidthDecision {
  if (!previous) return { width: target, decidedAtMs: nowMs };
  if (target === previous.width) return previous;
  const elapsedMs = nowMs - previous.decidedAtMs;
  if (target < previous.width) {
    return capacityNeeded || elapsedMs >= MIN_SHRINK_INTERVAL_MS
      ? { width: target, decidedAtMs: nowMs }
      : previous;
  }
  const isLargeEnough =
    target - previous.width >= Math.max(1, Math.floor(previous.width * MIN_GROWTH_FRACTION));
  return isLargeEnough && elapsedMs >= MIN_GROWTH_INTERVAL_MS
    ? { width: target, decidedAtMs: nowMs }
    : previous;
}
