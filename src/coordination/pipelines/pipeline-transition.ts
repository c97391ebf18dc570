/**
 * The state machine of a pipeline: which steps are to be released or withdrawn, and whether the pipeline ends, from its progress.
 *
 * Pure functions. They keep no state and read no clock.
 */
import type { WallMs } from '../../transport/clock.js';
import type { Pipeline } from '../../storage/pipeline-cache.js';
import type { FinishedPipelineRecord, PipelineProgress } from '../../storage/pipeline-records.js';

/** Outcomes of steps that are not in the head yet, by step index. */
export interface StepOutcomes {
  readonly done: readonly number[];
  readonly cancelled: readonly number[];
  /** Number of failures that the head does not count yet. */
  readonly failures: ReadonlyMap<number, number>;
}

/** The changes that bring a pipeline to its due state, as far as they fit in one transaction. */
export interface PipelineTransition {
  readonly progress: PipelineProgress;
  /** Steps whose dependencies are met: their job records are to be written together with `progress`. */
  readonly release: readonly number[];
  /** Held steps that will never start: their completion records are to be written. */
  readonly withdraw: readonly number[];
  /** Whether more is due than `maxRecords` allowed. */
  readonly hasMore: boolean;
  /** The completion record of the pipeline, if the transition ends it. */
  readonly completionRecord: FinishedPipelineRecord | undefined;
  readonly changed: boolean;
}

export const isStepFinished = (progress: PipelineProgress, index: number): boolean =>
  progress.done.has(index) || progress.cancelled.has(index);
export const isStepHeld = (progress: PipelineProgress, index: number): boolean =>
  !progress.released.has(index) && !isStepFinished(progress, index);

/** The steps that this step still waits for. */
export function unmetDependencies(pipeline: Pipeline, index: number): number[] {
  const { progress } = pipeline.head;
  const step = pipeline.steps[index]!;
  const isMet = (needed: number): boolean =>
    progress.done.has(needed) ||
    (step.when === 'always' && (progress.cancelled.has(needed) || progress.failed.has(needed)));
  return step.needs.filter((needed) => !isMet(needed));
}

/** Whether the pipeline is so late after its start time that its file asks to withdraw it. */
const isMissed = (pipeline: Pipeline, now: WallMs): boolean => {
  const { startMs, missed, lateS, progress } = pipeline.head;
  return (
    startMs !== null && missed === 'skip' && progress.released.size === 0 && now > startMs + lateS * 1000
  );
};

export const isBeforeStartTime = (pipeline: Pipeline, now: WallMs): boolean =>
  pipeline.head.startMs !== null && now < pipeline.head.startMs;

/**
 * Computes the next transition. It is level-triggered: what is due follows from the progress alone, never from having observed an
 * event, so a crash before or after any write only causes a delay. `maxRecords` bounds job and completion records together.
 */
export function computeTransition(
  pipeline: Pipeline,
  outcomes: StepOutcomes,
  now: WallMs,
  maxRecords: number,
): PipelineTransition {
  const { head, steps } = pipeline;
  const previous = head.progress;
  const done = new Set([...previous.done, ...outcomes.done]);
  const cancelled = new Set([...previous.cancelled, ...outcomes.cancelled.filter((i) => !done.has(i))]);
  const failures = new Map(previous.failures);
  const failed = new Set([...previous.failed].filter((i) => !done.has(i) && !cancelled.has(i)));
  for (const [index, count] of outcomes.failures) {
    const total = (failures.get(index) ?? 0) + count;
    failures.set(index, total);
    const { retries } = steps[index]!;
    if (retries !== null && total > retries && !done.has(index) && !cancelled.has(index)) failed.add(index);
  }
  const current: PipelineProgress = { released: previous.released, done, cancelled, failed, failures };
  const due = dueSteps(pipeline, current, now);
  const release = due.release.slice(0, Math.max(0, maxRecords - due.withdraw.length));
  const withdraw = due.withdraw.slice(0, Math.max(0, maxRecords));
  const progress: PipelineProgress = {
    ...current,
    released: new Set([...previous.released, ...release]),
    cancelled: new Set([...cancelled, ...withdraw]),
  };
  const isEnded = steps.every((_, i) => isStepFinished(progress, i));
  const outcomeCount = outcomes.done.length + outcomes.cancelled.length + outcomes.failures.size;
  return {
    progress,
    release,
    withdraw,
    hasMore: release.length < due.release.length || withdraw.length < due.withdraw.length,
    completionRecord: isEnded ? pipelineCompletionRecord(pipeline, progress) : undefined,
    changed: outcomeCount + release.length + withdraw.length > 0 || isEnded,
  };
}

function dueSteps(
  pipeline: Pipeline,
  progress: PipelineProgress,
  now: WallMs,
): { release: number[]; withdraw: number[] } {
  const { head, steps } = pipeline;
  const release: number[] = [];
  const withdraw: number[] = [];
  const withdrawAll = head.cancelledAt !== null || isMissed(pipeline, now);
  const beforeStart = isBeforeStartTime(pipeline, now);
  // A withdrawn step can prevent others from starting, whatever their order in the file, so the search repeats until it finds
  // no more.
  const cancelled = new Set(progress.cancelled);
  const cannotStart = (index: number): boolean => {
    if (withdrawAll) return true;
    const step = steps[index]!;
    return (
      head.onCancel === 'withdraw' &&
      step.when === 'succeeded' &&
      step.needs.some((needed) => cancelled.has(needed))
    );
  };
  let heldSteps = steps.map((_, i) => i).filter((i) => isStepHeld(progress, i));
  for (;;) {
    const remaining = heldSteps.filter((i) => !cannotStart(i));
    if (remaining.length === heldSteps.length) break;
    for (const index of heldSteps) {
      if (!cannotStart(index)) continue;
      withdraw.push(index);
    }
    for (const index of withdraw) cancelled.add(index);
    heldSteps = remaining;
  }
  if (withdrawAll || beforeStart) return { release, withdraw };
  for (const index of heldSteps) {
    const step = steps[index]!;
    const isMet = (needed: number): boolean =>
      progress.done.has(needed) ||
      (step.when === 'always' && (cancelled.has(needed) || progress.failed.has(needed)));
    if (step.needs.every(isMet)) release.push(index);
  }
  return { release, withdraw };
}

export function pipelineCompletionRecord(
  pipeline: Pipeline,
  progress: PipelineProgress,
): FinishedPipelineRecord {
  const steps = pipeline.steps.length;
  const state =
    pipeline.head.cancelledAt !== null ? 'cancelled' : progress.done.size === steps ? 'done' : 'ended';
  return { id: pipeline.id, sum: pipeline.head.sum, state, steps, done: progress.done.size };
}
