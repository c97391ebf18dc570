import { DEFAULT_RECLAIM_BOUND_S, type JobSpec } from '../../protocol/jobs.js';

/** How long a task that is ordered to stop may continue, so that it can save a checkpoint. All in seconds. */

/** Saving may take longer than the job states, and the command has to arrive first. */
const SAVE_TIME_FACTOR = 1.5;
const COMMAND_DELAY_S = 2;

/** The part of an elastic job's reclaim bound that its tasks have for saving. */
const SAVING_PART_OF_RECLAIM_BOUND = 0.5;

/** The grace period of a preempted task: zero for work that saves no checkpoints. */
export const checkpointGraceS = (spec: JobSpec): number =>
  spec.checkpointS > 0 ? spec.saveS * SAVE_TIME_FACTOR + COMMAND_DELAY_S : 0;

/**
 * The grace period of an elastic task that gives borrowed capacity back: never more than a part of its bound.
 */
export const reclaimGraceS = (spec: JobSpec): number =>
  Math.min(
    checkpointGraceS(spec),
    (spec.elastic?.giveBackS ?? DEFAULT_RECLAIM_BOUND_S) * SAVING_PART_OF_RECLAIM_BOUND,
  );
