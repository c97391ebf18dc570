/** Applies the reported status of one task to its placement: its progress, the presence of its image, its exit. */
import type { SteadyMs } from '../../transport/clock.js';
import type { ReportedTask } from '../../protocol/heartbeats.js';
import type { Placement } from '../../cluster/cluster-state.js';
import type { HeartbeatContext } from './heartbeat-context.js';
import { clearFailures, recordFailedExit } from './task-failures.js';

/** Applies the status of a placement's attempt in a heartbeat. The presence of the task also resolves an in-doubt start. */
export function applyTaskStatus(
  context: HeartbeatContext,
  placement: Placement,
  task: ReportedTask,
  now: SteadyMs,
): void {
  // The agent has this attempt, so the one start that was sent for it has been carried out.
  if (placement.startDelivery !== undefined) context.cluster.resolveInDoubt(placement);
  if (task.state === 'exited') applyExit(context, placement, task, now);
  else applyProgress(context, placement, task, now);
}

function applyExit(context: HeartbeatContext, placement: Placement, task: ReportedTask, now: SteadyMs): void {
  if (placement.ended) return; // Its `forget` is sent once the completion is persisted.
  const { job, machine } = placement;
  const cause = task.cause ?? 'error';
  context.log.debug('task-exited', { task: `${job.id}/${placement.index}`, machine: machine.id, how: cause });
  placement.progressSaved = task.saved;
  if (cause === 'done') recordCompletion(context, placement, now);
  else recordFailedExit(context, placement, cause, now);
  context.cluster.endPlacement(placement, cause, now);
  context.wake();
}

function recordCompletion(context: HeartbeatContext, placement: Placement, now: SteadyMs): void {
  const { job, machine, runningSince } = placement;
  clearFailures(job);
  machine.failedJobs.clear();
  // The duration is no estimate of a full run if the task may have resumed from a checkpoint, or is of a gang or service.
  if (runningSince !== undefined && job.spec.kind === 'array' && job.spec.checkpointS === 0) {
    context.estimates.observe(job.spec, (now - runningSince) / 1000);
  }
}

function applyProgress(
  context: HeartbeatContext,
  placement: Placement,
  task: ReportedTask,
  now: SteadyMs,
): void {
  placement.confirmed = true;
  if (placement.state === task.state) return;
  const { job, machine } = placement;
  placement.state = task.state;
  placement.reportedSince ??= now;
  if (task.state !== 'fetching') {
    placement.imageReadySince ??= now;
    context.cluster.recordImage(machine, job.spec.image, job.spec.imageGb, context.imageCacheGb(machine));
  }
  if (task.state !== 'running') return;
  if (placement.runningSince === undefined) {
    context.metrics.recordDurationMs('accepted-to-running', now - job.acceptedAt);
  }
  placement.runningSince ??= now;
  context.log.debug('task-running', { task: `${job.id}/${placement.index}`, machine: machine.id });
}
