import { plus, type SteadyMs } from '../../transport/clock.js';
import type { MachineId } from '../../protocol/ids.js';
import type { Settings } from '../../protocol/settings.js';
import type { CancelledJobs } from '../election/cancelled-jobs.js';
import type { FleetClusterState } from '../leader/cluster-state-views.js';

/**
 * A cancellation has to be confirmed within half of its bound (ms per second of the bound); the other half is for the
 * provider's answer and its retries.
 */
const CONFIRMATION_LIMIT_MS_PER_CANCEL_S = 500;
/** After a failover, every machine sends a heartbeat within this time (ms per second of the interval), plus the margin. */
const FIRST_HEARTBEAT_MS_PER_INTERVAL_S = 1500;
const FIRST_HEARTBEAT_MARGIN_MS = 1000;
/** The wait for a first heartbeat leaves at least the limit divided by this before the bound. */
const LIMIT_MARGIN_DIVISOR = 5;

/** Inputs of the check. */
export interface UnconfirmedCancellationsInputs {
  readonly cluster: FleetClusterState;
  readonly cancelled: CancelledJobs;
  readonly workers: Settings['workers'];
  /** When this leader's term began. */
  readonly termStartedAt: SteadyMs;
  readonly now: SteadyMs;
}

/**
 * Returns machines with a cancelled task that is not confirmed gone within the limit. Returning such a machine to the
 * provider proves the task gone before the bound on cancellations. A machine may be listed more than once.
 */
export function findUnconfirmedCancellations(inputs: UnconfirmedCancellationsInputs): MachineId[] {
  const { cluster, cancelled } = inputs;
  const machines: MachineId[] = [];
  for (const job of cluster.jobs.values()) {
    if (job.cancelledAt === undefined || !isOverdue(job.cancelledAt, inputs)) continue;
    for (const placement of job.placements.values()) {
      if (!placement.ended) machines.push(placement.machine.id);
    }
  }
  // Orphan tasks, such as an old attempt or a start that was executed late, are checked in the same way.
  for (const machine of cluster.machinesWithOrphans) {
    const cancelledAt = machine.orphanTasks.map((task) => cancelled.since(task.job));
    if (cancelledAt.some((at) => at !== undefined && isOverdue(at, inputs))) machines.push(machine.id);
  }
  return machines;
}

function isOverdue(cancelledAt: SteadyMs, inputs: UnconfirmedCancellationsInputs): boolean {
  const limitMs = inputs.workers.cancelS * CONFIRMATION_LIMIT_MS_PER_CANCEL_S;
  return inputs.now - cancelledAt >= limitMs && !awaitsFirstHeartbeat(cancelledAt, limitMs, inputs);
}

/**
 * Whether a machine's first heartbeat of this term may still confirm the cancellation. Cancelled tasks that run
 * during a store outage are stopped without the store, and that heartbeat shows it. If it is due before the bound, or the
 * bound has already passed, waiting for it costs nothing, while not waiting costs a machine with all its images: after an
 * outage longer than half the bound, the first check would return every machine that had a cancelled task.
 */
function awaitsFirstHeartbeat(
  cancelledAt: SteadyMs,
  limitMs: number,
  { workers, termStartedAt, now }: UnconfirmedCancellationsInputs,
): boolean {
  const firstHeartbeatMs = FIRST_HEARTBEAT_MS_PER_INTERVAL_S * workers.reportS + FIRST_HEARTBEAT_MARGIN_MS;
  const heartbeatBy = plus(termStartedAt, firstHeartbeatMs);
  const boundAt = cancelledAt + workers.cancelS * 1000;
  return now < heartbeatBy && (boundAt < now || boundAt > heartbeatBy + limitMs / LIMIT_MARGIN_DIVISOR);
}
