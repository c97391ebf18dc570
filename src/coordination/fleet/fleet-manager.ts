import type { StallAwareClock } from '../../transport/stall-aware-clock.js';
import { sleep, type Clock, type SteadyMs } from '../../transport/clock.js';
import type { HttpClient } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import type { Random } from '../../transport/random.js';
import type { MachineId, TeamName, ZoneName } from '../../protocol/ids.js';
import type { OperatorSettings } from '../../protocol/operator-settings.js';
import type { Settings, TeamLimits } from '../../protocol/settings.js';
import type { StoreClient } from '../../storage/store-client.js';
import type { CloudClient } from '../../storage/cloud-client.js';
import type { RuntimeEstimates } from '../../cluster/runtime-estimates.js';
import type { Machine } from '../../cluster/cluster-state.js';
import type { CancelledJobs } from '../election/cancelled-jobs.js';
import type { Leadership, LeaderElection } from '../election/leader-election.js';
import type { ElasticJobManager } from '../elastic/elastic-job-manager.js';
import { reclaimGraceS } from '../scheduling/grace-periods.js';
import type { FleetClusterState } from '../leader/cluster-state-views.js';
import type { UnplacedTasks } from '../scheduling/snapshot.js';
import { findBootTimeouts } from './boot-timeouts.js';
import { Consolidator } from './consolidator.js';
import { planFleet, type FleetPlan } from './fleet-planner.js';
import { FleetStateLog } from './fleet-state-log.js';
import { evictFromInterruptedMachines } from './interruption-handler.js';
import { MachineFailureDetector } from './machine-failure-detector.js';
import { MachineListReconciler } from './machine-list-reconciler.js';
import type { MachineTypeCatalog } from './machine-type-catalog.js';
import { PreProvisionedMachines } from './pre-provisioned-machines.js';
import { ScaleIn } from './scale-in.js';
import { ScaleOut } from './scale-out.js';
import { findUnconfirmedCancellations } from './unconfirmed-cancellations.js';

const TICK_MS = 500;
/** Share of the provider's call rate that scale-out requests may use. */
const SCALE_OUT_CALL_SHARE = 0.5;

/** Dependencies of the fleet that the controller provides, whichever controller is the leader. */
export interface FleetServices {
  readonly clock: Clock;
  /** Measures time in which this process could receive heartbeats. */
  readonly stallAwareClock: StallAwareClock;
  readonly random: Random;
  readonly log: Log;
  readonly cloud: CloudClient;
  readonly store: StoreClient;
  readonly http: HttpClient;
  readonly types: MachineTypeCatalog;
  readonly election: LeaderElection;
  readonly settings: Settings;
  readonly operator: OperatorSettings;
  readonly teams: ReadonlyMap<TeamName, TeamLimits>;
  readonly cancelled: CancelledJobs;
  /** Milliseconds without a heartbeat from any machine of each zone when this term began. */
  readonly zoneHeartbeatAgesAtTermStartMs: ReadonlyMap<ZoneName, number>;
}

/** The tasks that a scheduling cycle left unplaced, and when the cycle was planned. */
export interface LastCycle {
  readonly unplaced: readonly UnplacedTasks[];
  readonly plannedAt: SteadyMs;
}

/** Dependencies of the fleet that belong to one leader's term. */
export interface FleetManagerDependencies extends FleetServices {
  readonly leadership: Leadership;
  readonly cluster: FleetClusterState;
  readonly estimates: RuntimeEstimates;
  /** Undefined if elastic jobs are switched off. */
  readonly elastic: ElasticJobManager | undefined;
  /** Whether this leader's term is still current. */
  readonly isActive: () => boolean;
  readonly lastCycle: () => LastCycle;
  /** Zones from which no heartbeats arrive at present. */
  readonly unresponsiveZones: () => ReadonlySet<ZoneName>;
  /** The most underserved class and team, for the log. */
  readonly fairShareSummary: () => Record<string, unknown>;
  /** Requests a scheduling cycle. */
  readonly wake: () => void;
}

/**
 * Adapts the fleet to the workload: requests machines for waiting tasks, returns idle ones, and fences unreachable machines
 * by returning them. One instance serves one term. It checks twice a second what is due and delegates each concern to a
 * class of its own; it never places tasks.
 */
export class FleetManager {
  private readonly startedAt: SteadyMs;
  private readonly scaleOut: ScaleOut;
  private readonly scaleIn: ScaleIn;
  private readonly preProvisioned: PreProvisionedMachines;
  private readonly reconciler: MachineListReconciler;
  private readonly failureDetector: MachineFailureDetector;
  private readonly consolidator: Consolidator;
  private readonly stateLog: FleetStateLog;
  /** Seconds from submission within which the jobs of a class should finish. */
  private readonly finishObjectiveS: ReadonlyMap<string, number>;

  constructor(private readonly dependencies: FleetManagerDependencies) {
    const unplaced = (): readonly UnplacedTasks[] => dependencies.lastCycle().unplaced;
    this.startedAt = dependencies.clock.now();
    this.scaleOut = new ScaleOut(dependencies);
    this.scaleIn = new ScaleIn(dependencies);
    this.preProvisioned = new PreProvisionedMachines(dependencies);
    this.reconciler = new MachineListReconciler({
      ...dependencies,
      scaleIn: this.scaleIn,
      preProvisioned: this.preProvisioned,
    });
    this.failureDetector = new MachineFailureDetector(dependencies);
    this.consolidator = new Consolidator({ ...dependencies, unplaced });
    this.stateLog = new FleetStateLog({ ...dependencies, unplaced });
    this.finishObjectiveS = finishObjectives(dependencies.settings.objectives);
  }

  /** Until when each machine kind is not requested because the provider had no capacity of it. */
  get capacityRefusedUntil(): ReadonlyMap<string, SteadyMs> {
    return this.scaleOut.refusedUntil;
  }

  /** Whether replies and commands of this controller reach hardly any machine. */
  get mostMachinesUnreachable(): boolean {
    return this.failureDetector.mostMachinesUnreachable;
  }

  /** Marks the machines as not idle after the commit of a plan that places tasks on them. */
  onPlacementsCommitted(machines: readonly Machine[]): void {
    for (const machine of machines) machine.idleSince = this.dependencies.clock.now();
  }

  /** Runs until the leader's term ends. */
  async run(): Promise<void> {
    const { clock, election, types, isActive } = this.dependencies;
    void this.reconciler.run();
    while (isActive()) {
      if (election.canDecide() && types.isLoaded()) this.tick();
      await sleep(clock, TICK_MS);
    }
  }

  private tick(): void {
    const { cluster, types, clock } = this.dependencies;
    const now = clock.now();
    this.returnUnconfirmedCancellations(now);
    evictFromInterruptedMachines(this.dependencies, now);
    this.returnFailedMachines(now);
    this.enforceReclamations(now);
    cluster.cardSeconds.sampleIdleGpus(cluster, types.all(), this.isWorkWaiting(), now);
    this.stateLog.writeIfDue(now);
    const preProvisioned = this.preProvisioned.names;
    // Until the first complete list is applied the fleet is unknown, and requests could provision machines twice.
    if (!this.reconciler.hasList || preProvisioned === undefined) return;
    this.apply(this.plan(preProvisioned, now));
    this.consolidator.consolidate(now, preProvisioned);
    this.scaleIn.returnMachines(findBootTimeouts(cluster, types.all(), now), 'boot timed out');
  }

  private plan(preProvisionedMachines: ReadonlySet<string>, now: SteadyMs): FleetPlan {
    const { stallAwareClock, cluster, types, estimates, elastic, operator } = this.dependencies;
    const { unplaced, plannedAt } = this.dependencies.lastCycle();
    return planFleet({
      now,
      silentMs: (then) => stallAwareClock.since(then),
      cluster,
      types: types.all(),
      unplaced,
      plannedAt,
      capacityRefusedUntil: this.scaleOut.refusedUntil,
      pendingScaleOut: [...this.scaleOut.pending],
      preProvisionedMachines,
      estimates,
      borrowedTasks: elastic && ((job) => elastic.borrowedTasks(job)),
      finishObjectiveS: this.finishObjectiveS,
      idleReturnMs: operator.idleReturnS * 1000,
    });
  }

  /**
   * Sends the largest scale-out requests first, only as many as the provider's call rate allows: one call requests up to
   * fifty machines, and the requests left over are combined into larger ones later. Returns idle machines.
   */
  private apply(plan: FleetPlan): void {
    const { rps } = this.dependencies.settings.cloudLimits;
    const maxCalls = Math.max(1, Math.ceil(rps * SCALE_OUT_CALL_SHARE)) - this.scaleOut.pending.size;
    const largestFirst = [...plan.scaleOut].sort((a, b) => b.count - a.count);
    for (const request of largestFirst.slice(0, Math.max(0, maxCalls))) this.scaleOut.request(request);
    this.scaleIn.returnMachines(plan.scaleIn, 'idle');
  }

  private returnUnconfirmedCancellations(now: SteadyMs): void {
    const { cluster, cancelled, settings } = this.dependencies;
    const { workers } = settings;
    const termStartedAt = this.startedAt;
    const machines = findUnconfirmedCancellations({ cluster, cancelled, workers, termStartedAt, now });
    this.scaleIn.returnMachines([...new Set(machines)], 'cancelled task not confirmed gone');
  }

  private returnFailedMachines(now: SteadyMs): void {
    const failed = this.failureDetector.detectFailedMachines(now, this.scaleIn.returning);
    this.scaleIn.returnMachines(failed, 'unresponsive');
  }

  /**
   * Enforces reclamations of borrowed capacity that are overdue: the stop is sent again without time to save a checkpoint,
   * and finally the machine is returned. While no work waits for capacity, machines that run only borrowed tasks are released
   * as well.
   */
  private enforceReclamations(now: SteadyMs): void {
    const { cluster, elastic, wake } = this.dependencies;
    if (!elastic) return;
    const { tasksToStop, machinesToReturn } = elastic.reclamations.collectOverdue(now);
    for (const placement of tasksToStop) cluster.pendingStops.add(placement);
    this.scaleIn.returnMachines([...new Set<MachineId>(machinesToReturn)], 'reclamation ignored');
    this.releaseBorrowedOnlyMachines(elastic, now);
    if (tasksToStop.length > 0) wake();
  }

  private releaseBorrowedOnlyMachines(elastic: ElasticJobManager, now: SteadyMs): void {
    const preProvisioned = this.preProvisioned.names;
    const mayRelease = !this.isWorkWaiting() && preProvisioned !== undefined;
    for (const placement of elastic.releaseBorrowedOnlyMachines(
      preProvisioned ?? new Set(),
      mayRelease,
      now,
    )) {
      const graceS = reclaimGraceS(placement.job.spec);
      this.dependencies.cluster.requestStop(placement, graceS, 'unrented', now);
      elastic.reclamations.recordRequest(placement, 'the rent of its machine', now);
    }
  }

  private isWorkWaiting(): boolean {
    const { unplaced } = this.dependencies.lastCycle();
    return unplaced.some(({ reason }) => reason === 'no room' || reason === 'round full');
  }
}

/** The shortest finish objective of each class, in seconds from submission. */
function finishObjectives(objectives: Settings['objectives']): ReadonlyMap<string, number> {
  const byClass = new Map<string, number>();
  for (const { kind, class: className, withinS } of objectives) {
    if (kind !== 'finished' || className === undefined || withinS === undefined) continue;
    byClass.set(className, Math.min(withinS, byClass.get(className) ?? Infinity));
  }
  return byClass;
}
