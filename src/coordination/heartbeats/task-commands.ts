/** Builders of the commands that a controller sends to an agent. */
import type { Attempt, JobId, TaskIndex } from '../../protocol/ids.js';
import type { Command } from '../../protocol/heartbeats.js';
import type { Placement } from '../../cluster/cluster-state.js';

/** Identifies one attempt of one task in heartbeats and commands. */
export interface TaskAttempt {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
}

/** Starts the task on its machine. */
export const startCommand = (placement: Placement): Command => ({
  op: 'start',
  job: placement.job.id,
  index: placement.index,
  attempt: placement.attempt,
});

/** Stops a placed task, which has `graceS` seconds to save its progress. */
export const stopPlacementCommand = (placement: Placement, graceS: number): Command => ({
  op: 'stop',
  job: placement.job.id,
  index: placement.index,
  attempt: placement.attempt,
  graceS,
});

/** Stops a reported task at once. */
export const stopNowCommand = (task: TaskAttempt): Command => ({
  op: 'stop',
  job: task.job,
  index: task.index,
  attempt: task.attempt,
  graceS: 0,
});

/** Lets the agent drop an attempt that has exited. */
export const forgetCommand = (task: TaskAttempt): Command => ({
  op: 'forget',
  job: task.job,
  index: task.index,
  attempt: task.attempt,
});
