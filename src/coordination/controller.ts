import { StallAwareClock } from '../transport/stall-aware-clock.js';
import { sleep, type Clock } from '../transport/clock.js';
import type { HttpClient, Reply, Route } from '../transport/http.js';
import type { Log } from '../transport/log.js';
import type { Metrics } from '../transport/metrics.js';
import type { Mesh } from '../transport/mesh.js';
import type { Random } from '../transport/random.js';
import type { JobId, TeamName } from '../protocol/ids.js';
import type { OperatorSettings } from '../protocol/operator-settings.js';
import type { Settings, TeamLimits } from '../protocol/settings.js';
import { Paths } from '../protocol/wire.js';
import { HeartbeatReader } from '../protocol/heartbeat-reader.js';
import { CloudClient } from '../storage/cloud-client.js';
import { JobCache } from '../storage/job-cache.js';
import { StoreClient } from '../storage/store-client.js';
import { CancelledJobs } from './election/cancelled-jobs.js';
import { HeartbeatAuthority } from './election/heartbeat-authority.js';
import { IsolatedLeader } from './election/isolated-leader.js';
import { LeaderElection, type Leadership } from './election/leader-election.js';
import { PeerGossip } from './election/peer-gossip.js';
import { MachineTypeCatalog } from './fleet/machine-type-catalog.js';
import { HeartbeatEndpoint } from './heartbeat-endpoint.js';
import { Leader } from './leader/leader.js';
import type { LeaderDependencies } from './leader/leader-context.js';
import { OperatorApi } from './operator-api.js';
import type { PipelineManager, PipelineManagerDependencies } from './pipelines/pipeline-manager.js';
import { Readiness, StoreContact } from './readiness.js';
import { createCloudRateLimiter, StoreRateLimits } from './store-rate-limits.js';
import { FeasibilityChecker } from './users/feasibility-checker.js';
import { JobApi } from './users/job-api.js';

/**
 * One controller process: creates its components in the order of their dependencies, connects elections and peers to the leader, and
 * starts the loops. Decides nothing itself: the components answer requests, and only the leader changes the cluster.
 */

/** What a controller needs from outside: its settings, the clock, randomness, logging and the network. */
export interface ControllerDependencies {
  readonly settings: Settings;
  readonly operator: OperatorSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly http: HttpClient;
  readonly mesh: Mesh;
  readonly metrics: Metrics;
  /** Loaded by the caller where the operator enabled pipelines, and only there. */
  readonly pipelines?: ((dependencies: PipelineManagerDependencies) => PipelineManager) | undefined;
  /** Loaded by the caller where the operator enabled elastic jobs, and only there. */
  readonly createElasticJobManager?: LeaderDependencies['createElasticJobManager'];
  /** Differs each time the process starts. */
  readonly incarnation: number;
}

/** The job cache is compared with the store at least this often. */
const SYNC_INTERVAL_MS = 1000;
/** The sync loop skips a cache that was compared by another caller within this time. */
const SYNC_DUE_MS = 0.8 * SYNC_INTERVAL_MS;

/** One controller: its connected components, and a `Leader` while it is the leader. */
export class Controller {
  /** Present while this controller is the leader. */
  leader: Leader | undefined;
  readonly routes: readonly Route[];
  readonly store: StoreClient;
  readonly election: LeaderElection;
  private readonly stallAwareClock: StallAwareClock;
  private readonly storeRateLimits: StoreRateLimits;
  private readonly storeContact: StoreContact;
  private readonly teams: ReadonlyMap<TeamName, TeamLimits>;
  private readonly jobCache: JobCache;
  private readonly cancelledJobs: CancelledJobs;
  private readonly peers: PeerGossip;
  private readonly heartbeatAuthority: HeartbeatAuthority;
  private readonly isolatedLeader: IsolatedLeader;
  private readonly heartbeatReader = new HeartbeatReader();
  private readonly cloud: CloudClient;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly pipelines: PipelineManager | undefined;
  private readonly jobApi: JobApi;

  constructor(private readonly dependencies: ControllerDependencies) {
    const { settings, operator, clock, random, log, http } = dependencies;
    this.stallAwareClock = new StallAwareClock(clock);
    this.registerGauges();
    this.storeRateLimits = new StoreRateLimits({
      clock,
      store: settings.store,
      operator,
      peerCount: settings.peers.length,
    });
    this.teams = new Map(settings.teams.map((team) => [team.name, team]));
    const { requests, writes } = this.storeRateLimits;
    this.store = new StoreClient(http, settings.state, clock, requests, writes, log);
    this.storeContact = new StoreContact(this.store, this.stallAwareClock);
    this.jobCache = new JobCache(this.store, clock, random, log, settings.store.rps);
    this.cancelledJobs = new CancelledJobs(clock);
    this.jobCache.cancellations = this.cancelledJobs;
    this.election = this.createElection();
    this.peers = this.createPeerGossip();
    this.heartbeatAuthority = this.createHeartbeatAuthority();
    this.isolatedLeader = this.createIsolatedLeader();
    this.cloud = new CloudClient(
      http,
      settings.cloud,
      clock,
      createCloudRateLimiter(clock, settings.cloudLimits),
    );
    this.machineTypes = new MachineTypeCatalog(this.cloud, this.store, clock, random, log);
    const feasibility = new FeasibilityChecker({
      clock,
      log,
      teams: this.teams,
      types: this.machineTypes,
      cloud: this.cloud,
    });
    this.pipelines = this.createPipelines(feasibility);
    this.jobApi = this.createJobApi(feasibility);
    this.connectElection();
    this.connectPeers();
    this.routes = this.createRoutes();
  }

  /** Starts the loops, which run until the process ends. */
  start(): void {
    this.storeRateLimits.setRole('follower');
    this.peers.start();
    this.election.start();
    void this.jobCache.watch();
    void this.machineTypes.run(() => this.election.leadershipCondition());
    void this.runSyncLoop();
  }

  /** Returns the team of a job that isn't completed. */
  teamOf(id: JobId): TeamName | undefined {
    return this.jobCache.get(id)?.record.spec.team;
  }

  private registerGauges(): void {
    const { metrics } = this.dependencies;
    metrics.registerGauge('cardSeconds', () => this.leader?.cluster?.cardSeconds.snapshot() ?? {});
    metrics.registerGauge('served', () => Object.fromEntries(this.leader?.fairShareStatus() ?? []));
    metrics.registerGauge('leastServed', () => this.leader?.fairShareSummary() ?? {});
    metrics.registerGauge('sharing', () => this.leader?.fairShare?.snapshot() ?? {});
    metrics.registerGauge('lostToStallsMs', () => Math.round(this.stallAwareClock.stalledMs));
  }

  private createElection(): LeaderElection {
    const { settings, operator, clock, random, log } = this.dependencies;
    const { member, listen } = settings;
    return new LeaderElection(this.store, clock, random, log, member, listen, operator.storeLeaseMs);
  }

  private createPeerGossip(): PeerGossip {
    const { settings, clock, mesh, incarnation, log } = this.dependencies;
    return new PeerGossip(
      mesh,
      clock,
      settings.member,
      incarnation,
      settings.peers.map((peer) => peer.member),
      () => this.election.knownLeader,
      () => this.storeContact.isReachable(),
      this.cancelledJobs,
      log,
    );
  }

  private createHeartbeatAuthority(): HeartbeatAuthority {
    const { settings, clock, log } = this.dependencies;
    return new HeartbeatAuthority({
      clock,
      log,
      workers: settings.workers,
      peers: this.peers,
      jobCache: this.jobCache,
      election: this.election,
    });
  }

  private createIsolatedLeader(): IsolatedLeader {
    const { settings, operator, clock, log } = this.dependencies;
    return new IsolatedLeader({
      clock,
      log,
      workers: settings.workers,
      controllerCount: settings.peers.length + 1,
      isIsolated: () =>
        !this.election.canDecide() &&
        !this.storeContact.isReachable() &&
        this.peers.allUnresponsiveFor(operator.storeLeaseMs),
    });
  }

  private createPipelines(feasibility: FeasibilityChecker): PipelineManager | undefined {
    const { settings, operator, clock, log, metrics } = this.dependencies;
    return this.dependencies.pipelines?.({
      clock,
      log,
      metrics,
      store: this.store,
      jobCache: this.jobCache,
      cancellations: this.cancelledJobs,
      settings,
      limits: {
        maxSteps: operator.pipelineSteps,
        maxPerTeam: operator.pipelinesPerTeam,
        maxHeldSteps: operator.maxHeldSteps,
      },
      checkFeasibility: (spec) => feasibility.check(spec),
      unreadyReason: () => this.jobApi.unreadyReason(),
      isRunning: (id) => (this.countLiveTasks(id)?.running ?? 0) > 0,
    });
  }

  private createJobApi(feasibility: FeasibilityChecker): JobApi {
    const { settings, operator, clock, log } = this.dependencies;
    return new JobApi({
      clock,
      stallAwareClock: this.stallAwareClock,
      log,
      store: this.store,
      jobCache: this.jobCache,
      types: this.machineTypes,
      cancellations: this.cancelledJobs,
      broadcastCancellation: (id) => this.peers.announceCancellation(id),
      settings,
      feasibility,
      elasticEnabled: operator.elastic > 0,
      liveTaskCounts: (id) => this.countLiveTasks(id),
      pipelineSteps: this.pipelines?.api,
    });
  }

  private connectElection(): void {
    this.election.onElected = (leadership) => {
      this.storeRateLimits.setRole('leader');
      this.leader = this.createLeader(leadership);
      void this.leader.start();
    };
    this.election.onLeadershipLost = () => {
      this.recordZoneHeartbeatAges();
      this.leader?.stop();
      this.leader = undefined;
      this.storeRateLimits.setRole('follower');
    };
  }

  private createLeader(leadership: Leadership): Leader {
    const { settings, operator, clock, random, log, metrics, http } = this.dependencies;
    return new Leader(
      {
        clock,
        stallAwareClock: this.stallAwareClock,
        random,
        log,
        store: this.store,
        jobCache: this.jobCache,
        election: this.election,
        types: this.machineTypes,
        settings,
        operator,
        metrics,
        reader: this.heartbeatReader,
        zoneHeartbeatAgesAtTermStartMs: this.peers.zoneHeartbeatAges.agesMs(),
        cloud: this.cloud,
        http,
        teams: this.teams,
        pipelines: this.pipelines,
        createElasticJobManager: this.dependencies.createElasticJobManager,
        cancelled: this.cancelledJobs,
        unobeyedCancellationLimitMs: this.heartbeatAuthority.stalenessLimitMs ?? 0,
      },
      leadership,
    );
  }

  /** Keeps the zones' heartbeat ages for the next leader, which may be in this process. */
  private recordZoneHeartbeatAges(): void {
    const now = this.dependencies.clock.now();
    for (const [zone, ageMs] of this.leader?.zoneHeartbeatAgesMs() ?? []) {
      this.peers.zoneHeartbeatAges.record(zone, ageMs, now);
    }
  }

  private connectPeers(): void {
    this.peers.leaderZoneHeartbeatAges = () => this.leader?.zoneHeartbeatAgesMs();
    this.peers.onTermObserved = (known) => this.election.observeTerm(known);
    this.cancelledJobs.onAdded = (id) => this.leader?.observeCancellation(id);
    this.peers.onPeerDown = (member) => void this.election.forceElection(member);
    this.peers.onPeerRestarted = (member) => void this.election.forceElection(member);
  }

  private async runSyncLoop(): Promise<never> {
    const { clock } = this.dependencies;
    for (;;) {
      if (clock.now() - this.jobCache.syncedAt >= SYNC_DUE_MS) await this.jobCache.sync();
      const { syncedAt } = this.jobCache;
      this.peers.recordStoreRead(syncedAt);
      this.cancelledJobs.forgetRemovedJobs((id) => this.jobCache.get(id) !== undefined, syncedAt);
      await sleep(clock, SYNC_INTERVAL_MS);
    }
  }

  /** Counts a job's completed and running tasks; undefined where this controller isn't the leader or doesn't know the job. */
  private countLiveTasks(id: JobId): { done: number; running: number } | undefined {
    const job = this.leader?.cluster?.jobs.get(id);
    if (!job) return undefined;
    let running = 0;
    for (const placement of job.placements.values()) {
      if (placement.state === 'running' && !placement.ended) running++;
    }
    return { done: job.done.count, running };
  }

  private createRoutes(): Route[] {
    const readiness = new Readiness({
      machineTypes: this.machineTypes,
      jobCache: this.jobCache,
      peers: this.peers,
      storeContact: this.storeContact,
    });
    const heartbeats = new HeartbeatEndpoint({
      member: this.dependencies.settings.member,
      reader: this.heartbeatReader,
      election: this.election,
      authority: this.heartbeatAuthority,
      isolatedLeader: this.isolatedLeader,
      leader: () => this.leader,
    });
    return [
      { method: 'POST', path: Paths.jobs, handle: (_, body) => this.submitMeasured(body) },
      { method: 'GET', path: Paths.job, handle: (params) => this.jobApi.show(params['id'] ?? '') },
      { method: 'POST', path: Paths.cancel, handle: (params) => this.jobApi.cancel(params['id'] ?? '') },
      { method: 'GET', path: Paths.health, handle: () => readiness.reply() },
      { method: 'POST', path: Paths.heartbeat, handle: (_, body) => heartbeats.handle(body) },
      ...this.createOperatorApi().routes,
      ...(this.pipelines?.routes ?? []),
    ];
  }

  private createOperatorApi(): OperatorApi {
    const { settings, clock, metrics } = this.dependencies;
    return new OperatorApi({
      settings,
      clock,
      metrics,
      teams: this.teams,
      jobCache: this.jobCache,
      machineTypes: this.machineTypes,
      storeContact: this.storeContact,
      election: this.election,
      jobApi: this.jobApi,
      pipelines: this.pipelines,
      leader: () => this.leader,
    });
  }

  private async submitMeasured(body: Uint8Array): Promise<Reply> {
    const { clock, metrics } = this.dependencies;
    const startedAt = clock.now();
    const reply = await this.jobApi.submit(body);
    metrics.recordDurationMs('submit', clock.now() - startedAt);
    metrics.increment(`submit-${reply.status}`);
    return reply;
  }
}
