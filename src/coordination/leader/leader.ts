import { sleep, type SteadyMs } from '../../transport/clock.js';
import { jitter } from '../../transport/random.js';
import type { JobId, ZoneName } from '../../protocol/ids.js';
import type { Command, Heartbeat } from '../../protocol/heartbeats.js';
import { RuntimeEstimates } from '../../cluster/runtime-estimates.js';
import type { FairShareGroupKey } from '../../cluster/fair-share-groups.js';
import type { ClusterState } from '../../cluster/cluster-state.js';
import { GarbageCollector } from '../completion/garbage-collector.js';
import { heartbeatContext } from '../heartbeats/heartbeat-context.js';
import { handleHeartbeat } from '../heartbeats/heartbeat-handler.js';
import type { ElasticJobManager } from '../elastic/elastic-job-manager.js';
import { FencedWriter } from './fenced-writer.js';
import { JobRecordListener } from './job-record-listener.js';
import { LeadershipWatchdog } from './leadership-watchdog.js';
import { FleetManager } from '../fleet/fleet-manager.js';
import { CancelledJobStops } from '../dispatch/cancelled-job-stops.js';
import { HeartbeatMonitor } from '../heartbeats/heartbeat-monitor.js';
import { loadClusterState } from '../failover/load-cluster-state.js';
import { CommandDispatcher } from '../dispatch/command-dispatcher.js';
import { type UnplacedTasks } from '../scheduling/snapshot.js';
import type { EligibilityContext } from '../scheduling/eligibility.js';
import { SchedulingLoop } from '../scheduling/scheduling-loop.js';
import type { LeaderDependencies, LeaderContext } from './leader-context.js';
import {
  mostUnderserved,
  longestUnstarted,
  fairShareStatuses,
  FairSharePolicy,
  type FairShareStatus,
} from '../fair-share/index.js';
import { CompletionWriter } from '../completion/completion-writer.js';
import { StatusWriter } from '../scheduling/status-writer.js';
import type { Leadership } from '../election/leader-election.js';
import { schedulingObjectives, type SchedulingObjectives } from '../scheduling/objectives.js';

/**
 * The leader of one term: loads the cluster state, then owns the loops that act on it until the term ends. A new term starts again from
 * the store with a new `Leader`. Elections and the agents' HTTP interface belong to the controller.
 */

/** Pause before the cluster state is loaded again after a failure. */
const LOAD_RETRY_MS = 200;

/** An agent sends a heartbeat because of a higher token at most once in this part of its lease. */
const TOKEN_HEARTBEAT_LEASE_SHARE = 0.5;

/** The components that act for one term, and the queries that other parts of the controller may make. */
export class Leader implements LeaderContext {
  cluster: ClusterState | undefined;
  fleet: FleetManager | undefined;
  elastic: ElasticJobManager | undefined;
  readonly fairShare: FairSharePolicy | undefined;
  readonly estimates = new RuntimeEstimates();
  private readonly objectives: SchedulingObjectives;
  private stopped = false;
  private readonly startedAt: SteadyMs;
  private recordListener: JobRecordListener | undefined;
  private readonly writer: FencedWriter;
  private readonly heartbeats: HeartbeatMonitor;
  private readonly cancelledJobStops: CancelledJobStops;
  private readonly dispatcher: CommandDispatcher;
  private readonly schedulingLoop: SchedulingLoop;
  private readonly completionWriter: CompletionWriter;
  private readonly garbageCollector: GarbageCollector;
  private readonly statusWriter: StatusWriter;

  constructor(
    readonly dependencies: LeaderDependencies,
    readonly leadership: Leadership,
  ) {
    this.startedAt = dependencies.clock.now();
    this.objectives = schedulingObjectives(dependencies.settings.objectives);
    const { maxReservedShare, preferUnderserved } = dependencies.operator;
    if (maxReservedShare > 0 || preferUnderserved > 0) {
      this.fairShare = new FairSharePolicy({
        log: dependencies.log,
        operator: dependencies.operator,
        startObjectivesS: this.objectives.startWithinSByClass,
      });
    }
    this.writer = this.createWriter();
    this.heartbeats = new HeartbeatMonitor({
      clock: dependencies.clock,
      stallAwareClock: dependencies.stallAwareClock,
      workers: dependencies.settings.workers,
      machines: () => this.cluster?.machines,
    });
    this.cancelledJobStops = new CancelledJobStops(
      dependencies.clock,
      dependencies.cancelled,
      dependencies.unobeyedCancellationLimitMs,
    );
    this.dispatcher = new CommandDispatcher(this);
    this.schedulingLoop = new SchedulingLoop({
      context: this,
      writer: this.writer,
      commands: this.dispatcher,
      heartbeats: this.heartbeats,
      onCommitted: (machines) => this.fleet?.onPlacementsCommitted(machines),
    });
    this.completionWriter = new CompletionWriter(this, this.writer);
    this.garbageCollector = new GarbageCollector(this, this.writer);
    this.statusWriter = new StatusWriter(this, this.writer);
  }

  /** Returns the inputs that decide at `now` whether a machine may be given tasks. */
  eligibilityContext(now: SteadyMs): EligibilityContext {
    return this.schedulingLoop.eligibilityContext(now);
  }

  get unplaced(): readonly UnplacedTasks[] {
    return this.schedulingLoop.unplaced;
  }

  /** Returns the received and the due share of each class and team; empty until the cluster state is loaded. */
  fairShareStatus(): Map<FairShareGroupKey, FairShareStatus> {
    const { cluster } = this;
    return cluster
      ? fairShareStatuses(cluster, this.objectives, this.estimates, this.dependencies.clock.now())
      : new Map<FairShareGroupKey, FairShareStatus>();
  }

  /** Returns the most underserved class and team, and the largest job that has waited longest without a start, for operators. */
  fairShareSummary(): Record<string, unknown> {
    const { cluster } = this;
    const unbegun = cluster && longestUnstarted(cluster, this.dependencies.clock.now());
    return { ...mostUnderserved(this.fairShareStatus()), ...(unbegun ? { unbegun } : {}) };
  }

  /** Returns the milliseconds since the latest heartbeat from any agent of each zone, for the leader of the next term. */
  zoneHeartbeatAgesMs(): ReadonlyMap<ZoneName, number> {
    const { stallAwareClock, zoneHeartbeatAgesAtTermStartMs } = this.dependencies;
    const agesMs = new Map<ZoneName, number>();
    for (const [zone, ageMs] of zoneHeartbeatAgesAtTermStartMs) {
      agesMs.set(zone, ageMs + stallAwareClock.since(this.startedAt));
    }
    for (const [zone, lastHeartbeatAt] of this.heartbeats.lastHeartbeatByZone) {
      agesMs.set(zone, stallAwareClock.since(lastHeartbeatAt));
    }
    return agesMs;
  }

  /** Ends all loops of this term; this object isn't used again. */
  stop(): void {
    this.stopped = true;
    this.dependencies.jobCache.setListener(undefined);
    this.dependencies.pipelines?.onLeadershipLost(this.cluster);
    this.schedulingLoop.wake();
    this.completionWriter.wake();
  }

  /** Whether this controller is still the leader of this term; every loop ends when it isn't. */
  isActive(): boolean {
    return !this.stopped && this.dependencies.election.leadership === this.leadership;
  }

  /** Loads the cluster state and starts the loops; returns early if the term ends meanwhile. */
  async start(): Promise<void> {
    const cluster = await this.loadCluster();
    if (!cluster || !this.isActive()) return;
    this.cluster = cluster;
    const listener = this.createRecordListener(cluster);
    this.recordListener = listener;
    await this.listenToRecords(listener);
    this.dependencies.pipelines?.onLeadershipAcquired(
      cluster,
      () => this.wake(),
      (id) => this.observeCancellation(id),
    );
    this.startLoops(cluster);
  }

  private async loadCluster(): Promise<ClusterState | undefined> {
    const { store, jobCache, clock, log, random } = this.dependencies;
    while (this.isActive()) {
      const loaded = await loadClusterState(store, jobCache, clock, log, this.leadership.term, () =>
        this.isActive(),
      );
      if (!this.isActive()) return undefined;
      if (loaded.ok) return loaded.value;
      log.info('cluster-state-load-failed', { why: loaded.error });
      await sleep(clock, jitter(random, LOAD_RETRY_MS));
    }
    return undefined;
  }

  private async listenToRecords(listener: JobRecordListener): Promise<void> {
    const { jobCache, cancelled } = this.dependencies;
    jobCache.setListener((id, cached, modRevision) => listener.onRecord(id, cached, modRevision));
    await jobCache.sync();
    // Records may have arrived between the load and the registration of the listener.
    for (const [id, cached] of jobCache.entries()) listener.onRecord(id, cached, cached.modRevision);
    // Peers may have sent cancellations meanwhile that are newer than the loaded records.
    for (const id of cancelled.jobs()) listener.onCancellation(id);
  }

  private startLoops(cluster: ClusterState): void {
    const { dependencies } = this;
    this.elastic = dependencies.createElasticJobManager?.(
      { ...dependencies, types: () => dependencies.types.all() },
      cluster,
    );
    const fleet = this.createFleetManager(cluster);
    this.fleet = fleet;
    const watchdog = this.createWatchdog(cluster, fleet);
    void this.schedulingLoop.run();
    void this.completionWriter.run();
    void this.garbageCollector.run();
    void this.statusWriter.run();
    void watchdog.run();
    void fleet.run();
  }

  private createWriter(): FencedWriter {
    const { clock, random, log, store, jobCache, election } = this.dependencies;
    return new FencedWriter({
      clock,
      random,
      log,
      store,
      jobCache,
      election,
      leadership: this.leadership,
      isActive: () => this.isActive(),
      wake: () => this.wake(),
      onConditionRefused: (condition) => this.recordListener?.onConditionRefused(condition),
      onTokenRaised: () => {
        if (this.cluster) this.cluster.term = this.leadership.term;
      },
    });
  }

  private createRecordListener(cluster: ClusterState): JobRecordListener {
    const { clock, log, cancelled, pipelines } = this.dependencies;
    return new JobRecordListener({
      clock,
      log,
      cluster,
      cancelledJobs: cancelled,
      dispatcher: this.dispatcher,
      pipelines,
      isActive: () => this.isActive(),
      wake: () => this.wake(),
      restartTerm: (reason) => void this.dependencies.election.restartTerm(reason),
    });
  }

  private createWatchdog(cluster: ClusterState, fleet: FleetManager): LeadershipWatchdog {
    const { clock, election, settings } = this.dependencies;
    return new LeadershipWatchdog({
      clock,
      election,
      leadership: this.leadership,
      cluster,
      heartbeats: this.heartbeats,
      fleet,
      writer: this.writer,
      dispatcher: this.dispatcher,
      heartbeatIntervalMs: settings.workers.reportS * 1000,
      tokenHeartbeatIntervalMs: settings.workers.leaseS * TOKEN_HEARTBEAT_LEASE_SHARE * 1000,
      isActive: () => this.isActive(),
    });
  }

  private createFleetManager(cluster: ClusterState): FleetManager {
    return new FleetManager({
      ...this.dependencies,
      leadership: this.leadership,
      cluster,
      estimates: this.estimates,
      elastic: this.elastic,
      zoneHeartbeatAgesAtTermStartMs: this.zoneHeartbeatAgesMs(),
      isActive: () => this.isActive(),
      lastCycle: () => ({ unplaced: this.schedulingLoop.unplaced, plannedAt: this.schedulingLoop.plannedAt }),
      unresponsiveZones: () => this.heartbeats.unresponsiveZones(),
      fairShareSummary: () => this.fairShareSummary(),
      wake: () => this.wake(),
    });
  }

  /** Wakes the loops that a change may affect. */
  wake(): void {
    this.schedulingLoop.wake();
    this.completionWriter.wake();
  }

  /** Applies a cancellation received from a peer, possibly before the record that contains it. */
  observeCancellation(id: JobId): void {
    this.recordListener?.onCancellation(id);
  }

  /** Returns the commands for the answer; undefined where no answer may renew the agent's lease. */
  handleHeartbeat(heartbeat: Heartbeat): readonly Command[] | undefined {
    const { cluster } = this;
    if (!cluster) return this.handleHeartbeatWhileLoading(heartbeat);
    const commands = handleHeartbeat(heartbeatContext(this, cluster, this.heartbeats), heartbeat);
    const placements = cluster.machines.get(heartbeat.machine)?.placements ?? [];
    return this.cancelledJobStops.complete(heartbeat, commands, placements);
  }

  /**
   * Records the heartbeat for its zone where it carries this term's token, and so is no copy of an older one. Otherwise a leader whose
   * load takes longer than the unresponsiveness limit would take machines for unresponsive, and itself for isolated, at its first check.
   */
  private handleHeartbeatWhileLoading(heartbeat: Heartbeat): readonly Command[] | undefined {
    if (heartbeat.token >= this.leadership.term) this.heartbeats.recordHeartbeat(heartbeat.zone);
    else this.heartbeats.recordUnverifiedHeartbeat();
    return this.cancelledJobStops.complete(heartbeat, [], []);
  }
}
