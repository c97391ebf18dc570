import type { SteadyMs } from '../../transport/clock.js';
import type { MachineType } from '../../protocol/cloud.js';
import type { TypeName, ZoneName } from '../../protocol/ids.js';
import type { RuntimeEstimates } from '../../cluster/runtime-estimates.js';
import type { Job } from '../../cluster/cluster-state.js';
import type { UnplacedTasks } from '../scheduling/snapshot.js';
import type { FleetClusterState } from '../leader/cluster-state-views.js';

/** Machines of one kind that are requested together. */
export interface MachineRequest {
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly count: number;
}

/**
 * Input of a fleet plan. The planners only read it, and the same snapshot gives the same plan.
 */
export interface FleetSnapshot {
  readonly now: SteadyMs;
  /** Milliseconds since `then` in which this process could receive heartbeats: its own stalls do not count. */
  readonly silentMs: (then: SteadyMs) => number;
  readonly cluster: FleetClusterState;
  readonly types: ReadonlyMap<TypeName, MachineType>;
  /** Tasks that the last scheduling cycle left unplaced, in its order. */
  readonly unplaced: readonly UnplacedTasks[];
  /** When that cycle was planned: work that arrived later is not in `unplaced`. */
  readonly plannedAt: SteadyMs;
  /** Until when a machine kind, by `machineKindKey`, is not requested again because the provider had no capacity of it. */
  readonly capacityRefusedUntil: ReadonlyMap<string, SteadyMs>;
  /** Requests without an answer yet: their machines count like booting ones. */
  readonly pendingScaleOut: readonly MachineRequest[];
  /** The operator's own machines, which are never returned as idle. */
  readonly preProvisionedMachines: ReadonlySet<string>;
  readonly estimates: RuntimeEstimates;
  /** How many tasks of an elastic job run on borrowed capacity. */
  readonly borrowedTasks?: ((job: Job) => number) | undefined;
  /** Seconds from submission within which the jobs of a class should finish, by the settings' objectives. */
  readonly finishObjectiveS: ReadonlyMap<string, number>;
  /** How long a machine may be idle before it is returned; 0 means a fraction of its type's boot time. */
  readonly idleReturnMs: number;
}
