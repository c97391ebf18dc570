import type { SteadyMs } from '../../transport/clock.js';
import type { MachineType } from '../../protocol/cloud.js';
import type { MachineId, TypeName } from '../../protocol/ids.js';
import type { FleetClusterState } from '../leader/cluster-state-views.js';

/** A machine that boots for longer than this multiple of its type's boot time is given up. */
const BOOT_TIMEOUT_FACTOR = 4;
const MIN_BOOT_TIMEOUT_S = 60;

/** Milliseconds after which a booting machine is returned: other machines of its type finish booting long before. */
export const bootTimeoutMs = (bootS: number): number =>
  Math.max(MIN_BOOT_TIMEOUT_S, BOOT_TIMEOUT_FACTOR * bootS) * 1000;

/** Returns the machines whose boot has timed out. */
export function findBootTimeouts(
  cluster: Pick<FleetClusterState, 'machines'>,
  types: ReadonlyMap<TypeName, MachineType>,
  now: SteadyMs,
): MachineId[] {
  const timedOut: MachineId[] = [];
  for (const machine of cluster.machines.values()) {
    const type = types.get(machine.type);
    if (machine.state !== 'booting' || !type) continue;
    if (now - machine.rentedAt > bootTimeoutMs(type.bootS)) timedOut.push(machine.id);
  }
  return timedOut;
}
