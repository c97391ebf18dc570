import type { StallAwareClock } from '../../transport/stall-aware-clock.js';
import { plus, type Clock, type SteadyMs } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Settings } from '../../protocol/settings.js';
import type { Placement } from '../../cluster/cluster-state.js';
import type { FleetClusterState } from '../leader/cluster-state-views.js';
import { checkpointGraceS } from '../scheduling/grace-periods.js';
import type { UnplacedTasks } from '../scheduling/snapshot.js';
import { jobsNeedingWholeMachine, planConsolidation } from './consolidation.js';
import type { MachineTypeCatalog } from './machine-type-catalog.js';

/** Minimum interval between two consolidations. */
const CONSOLIDATION_INTERVAL_MS = 3000;
/** How long a replica that made way for a job avoids its machine: the job has started by then, or will not. */
const EVICTED_REPLICA_AVOIDANCE_MS = 10_000;

/** Dependencies of `Consolidator`, provided by the leader. */
export interface ConsolidatorDependencies {
  readonly clock: Clock;
  readonly stallAwareClock: StallAwareClock;
  readonly log: Log;
  readonly types: MachineTypeCatalog;
  readonly settings: Settings;
  readonly cluster: FleetClusterState;
  /** Tasks that the last scheduling cycle left unplaced. */
  readonly unplaced: () => readonly UnplacedTasks[];
  /** Requests a scheduling cycle. */
  readonly wake: () => void;
}

/**
 * Moves replicas onto fewer machines, either while no work waits for capacity or for jobs that need whole machines. While
 * other work waits, it can use the capacity beside the replicas. The consolidator asks replicas to stop and never places
 * them: the next scheduling cycle does.
 */
export class Consolidator {
  private readonly startedAt: SteadyMs;
  private lastAt = -Infinity;

  constructor(private readonly dependencies: ConsolidatorDependencies) {
    this.startedAt = dependencies.clock.now();
  }

  /** Moves replicas if a consolidation is due and has a reason. */
  consolidate(now: SteadyMs, preProvisionedMachines: ReadonlySet<string>): void {
    const { stallAwareClock, cluster, settings } = this.dependencies;
    const { reportS, leaseS } = settings.workers;
    if (now - this.lastAt < CONSOLIDATION_INTERVAL_MS || now - this.startedAt < leaseS * 1000) return;
    const unplaced = this.dependencies.unplaced();
    const types = this.dependencies.types.all();
    const waiting = jobsNeedingWholeMachine(unplaced, types, now);
    const isCapacitySufficient = unplaced.every(
      ({ reason }) => reason === 'team limit' || reason === 'backing off',
    );
    // While replicas wait to be placed, running ones are not moved for other jobs.
    if (!isCapacitySufficient && (waiting.length === 0 || areReplicasMissing(unplaced))) return;
    this.lastAt = now;
    const replicas = planConsolidation({
      now,
      cluster,
      types,
      preProvisionedMachines,
      staleMs: reportS * 1500,
      silentMs: (then) => stallAwareClock.since(then),
      jobsNeedingWholeMachine: waiting,
    });
    for (const replica of replicas) this.evict(replica, isCapacitySufficient, now);
    if (replicas.length > 0) this.dependencies.wake();
  }

  private evict(replica: Placement, isCapacitySufficient: boolean, now: SteadyMs): void {
    const { cluster, log } = this.dependencies;
    const { job, index, machine } = replica;
    cluster.requestStop(replica, checkpointGraceS(job.spec), 'packed', now);
    // Otherwise the next cycle places the replica first, on the capacity that it freed for the job.
    if (!isCapacitySufficient) job.avoidedUntil.set(machine.id, plus(now, EVICTED_REPLICA_AVOIDANCE_MS));
    const reason = isCapacitySufficient ? 'consolidation' : 'a job needs the whole machine';
    log.info('task-evicted', { task: `${job.id}/${index}`, machine: machine.id, reason });
  }
}

const areReplicasMissing = (unplaced: readonly UnplacedTasks[]): boolean =>
  unplaced.some(({ job, reason }) => job.spec.kind === 'service' && reason !== 'team limit');
