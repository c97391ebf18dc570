import type { SteadyMs } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Machine, Placement } from '../../cluster/cluster-state.js';
import type { FleetClusterState } from '../leader/cluster-state-views.js';
import { checkpointGraceS } from '../scheduling/grace-periods.js';

/** Dependencies of the interruption handler. */
export interface InterruptionContext {
  readonly cluster: FleetClusterState;
  readonly log: Log;
}

/**
 * Asks the tasks of machines whose interruption the provider announced to stop, with time to save a checkpoint. A gang stops
 * as a whole. The scheduling cycle places the tasks again.
 */
export function evictFromInterruptedMachines(context: InterruptionContext, now: SteadyMs): void {
  for (const machine of context.cluster.interruptedMachines) {
    if (machine.state !== 'up') continue;
    for (const placement of machine.placements) {
      if (shouldEvict(placement)) evict(context, machine, placement, now);
    }
  }
}

function shouldEvict({ ended, stop, job }: Placement): boolean {
  if (ended || stop) return false;
  // A task that saves no checkpoints keeps running: it may complete before the machine is taken away.
  return !(job.spec.kind === 'array' && job.spec.checkpointS === 0);
}

function evict(context: InterruptionContext, machine: Machine, placement: Placement, now: SteadyMs): void {
  const { cluster, log } = context;
  const { job, index } = placement;
  const placementsToStop = job.spec.kind === 'gang' ? [...job.placements.values()] : [placement];
  for (const placementToStop of placementsToStop)
    cluster.requestStop(placementToStop, checkpointGraceS(job.spec), 'notice', now);
  log.info('task-evicted', {
    task: `${job.id}/${index}`,
    machine: machine.id,
    reason: 'interruption notice',
  });
}
