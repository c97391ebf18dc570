import type { MachineId } from '../../protocol/ids.js';
import type { Machine } from '../../cluster/cluster-state.js';
import { fitsMachineType } from '../scheduling/eligibility.js';
import type { PendingReason } from '../scheduling/snapshot.js';
import type { FleetSnapshot } from './fleet-snapshot.js';

/**
 * Work that waits for one of these reasons is about to need capacity. When all leases expired in an outage, scheduling cycles
 * place at most a few hundred tasks a second, and a machine that is empty until a cycle uses it is not idle. Returning such
 * machines can return five hundred and provision them again while twelve thousand tasks wait for their cycle.
 */
const NEEDS_CAPACITY_SOON: ReadonlySet<PendingReason> = new Set([
  'no room',
  'round full',
  'old attempt not gone',
]);
/** A machine on which the last attempts of this many jobs failed is faulty: it is returned once it is empty. */
const MIN_FAILED_JOBS_OF_FAULTY_MACHINE = 3;
/** How long an idle machine is kept, as a multiple of its type's boot time. */
const IDLE_LIMIT_BOOT_TIMES = 0.3;
const MIN_IDLE_LIMIT_S = 10;
/** Assumed boot time where the machine's type is unknown. */
const DEFAULT_BOOT_S = 60;

/**
 * Decides which empty machines to return: those past the idle limit that no waiting work would use, faulty ones, and those
 * whose interruption the provider announced. It plans only; `ScaleIn` returns them.
 */
export function planScaleIn(snapshot: FleetSnapshot): MachineId[] {
  const machines: MachineId[] = [];
  for (const machine of snapshot.cluster.machines.values()) {
    if (isEmpty(machine) && isReturnable(machine, snapshot)) machines.push(machine.id);
  }
  return machines;
}

function isEmpty(machine: Machine): boolean {
  return (
    machine.state === 'up' &&
    machine.fenced &&
    machine.placements.size === 0 &&
    machine.orphanTasks.length === 0 &&
    machine.pendingCommits === 0
  );
}

function isReturnable(machine: Machine, snapshot: FleetSnapshot): boolean {
  if (machine.failedJobs.size >= MIN_FAILED_JOBS_OF_FAULTY_MACHINE || machine.interruptionAt !== undefined)
    return true;
  if (snapshot.preProvisionedMachines.has(machine.id)) return false;
  if (snapshot.now - machine.idleSince < idleLimitMs(machine, snapshot)) return false;
  return !isNeededSoon(machine, snapshot);
}

/**
 * How long the machine may be idle before it is returned. Provisioning a machine again costs a boot, but work that comes in
 * bursts seldom needs the very last machine again.
 */
function idleLimitMs(machine: Machine, snapshot: FleetSnapshot): number {
  if (snapshot.idleReturnMs > 0) return snapshot.idleReturnMs;
  const bootS = snapshot.types.get(machine.type)?.bootS ?? DEFAULT_BOOT_S;
  return Math.max(MIN_IDLE_LIMIT_S, bootS * IDLE_LIMIT_BOOT_TIMES) * 1000;
}

function isNeededSoon(machine: Machine, snapshot: FleetSnapshot): boolean {
  const type = snapshot.types.get(machine.type);
  if (!type) return false;
  return snapshot.unplaced.some(
    ({ job, reason }) =>
      NEEDS_CAPACITY_SOON.has(reason) && fitsMachineType(job.spec, type) && (job.spec.spot || !machine.spot),
  );
}
