import type { MachineId } from '../../protocol/ids.js';
import type { FleetSnapshot, MachineRequest } from './fleet-snapshot.js';
import { planScaleIn } from './scale-in-planner.js';
import { planScaleOut } from './scale-out-planner.js';

/** A fleet plan; the caller bounds how much of it is sent at once. */
export interface FleetPlan {
  readonly scaleOut: readonly MachineRequest[];
  /** Machines to return. */
  readonly scaleIn: readonly MachineId[];
}

/** Plans which machines to request for work that found no capacity, and which to return. It changes nothing. */
export function planFleet(snapshot: FleetSnapshot): FleetPlan {
  return { scaleOut: planScaleOut(snapshot), scaleIn: planScaleIn(snapshot) };
}
