import { Controller } from '../../src/coordination/controller.js';
import type { MachineType } from '../../src/protocol/cloud.js';
import type { Address, MemberName, ZoneName } from '../../src/protocol/ids.js';
import { createElasticJobManager } from '../../src/coordination/elastic/elastic-job-manager.js';
import {
  createPipelineManager,
  type PipelineManager,
  type PipelineManagerDependencies,
} from '../../src/coordination/pipelines/pipeline-manager.js';
import { defaultOperatorSettings, type OperatorSettings } from '../../src/protocol/operator-settings.js';
import type { Settings, TeamLimits } from '../../src/protocol/settings.js';
import { silentLog, type Log } from '../../src/transport/log.js';
import { Metrics } from '../../src/transport/metrics.js';
import { seededRandom, type Random } from '../../src/transport/random.js';
import { ProcessClock, VirtualTime } from './virtual-time.js';
import { CacheChecker } from './cache-checker.js';
import { UserBehavior } from './user-behavior.js';
import { SimulatedPipelineUsers } from './simulated-pipeline-users.js';
import { SimulatedUsers } from './simulated-users.js';
import { SimulatedCloud } from './simulated-cloud.js';
import { SimulatedNetwork } from './simulated-network.js';
import { createDispatcher } from './route-dispatcher.js';
import { cannotRun, type MachineTruth } from './ground-truth.js';
import { InvariantChecker } from './invariant-checker.js';
import { SimulatedStore } from './simulated-store.js';
import type { JobRun, SimulationContext } from './simulated-agent.js';

/** The size of a deployment, and the limits of the services that it uses. */
export interface SimulatedClusterOptions {
  readonly seed: number;
  readonly zones: readonly string[];
  readonly types: readonly MachineType[];
  readonly teams: readonly TeamLimits[];
  readonly nodes: number;
  readonly reportS: number;
  readonly leaseS: number;
  readonly cancelS: number;
  readonly capacity: number;
  readonly rps: number;
  readonly writeRps: number;
  readonly operator?: Partial<OperatorSettings>;
}

/** Requests and changes of the state service, and scheduling cycles that committed a plan. */
export interface RequestCounters {
  requests: number;
  writes: number;
  rounds: number;
}

const STORE_LIMITS = { txnOps: 12, valueKb: 8 };
const GANG_LIMITS = { gangWaitS: 20, gangPeerS: 4 };
/** How far the cloud's list of machines may be behind. */
const LIST_LAG_MS = 3000;
/** How long a controller that crashed in a transaction is away. */
const CRASH_RESTART_MS = 3000;
/** Beyond it agents spare themselves what only small deployments can afford. */
const LARGE_DEPLOYMENT_MACHINES = 200;
/** How often the controllers' caches are checked. */
const CACHE_CHECK_MS = 500;
/** Clocks run too fast or too slow by half of it at the most, and differ by half the offset. */
const CLOCK_DRIFT = 0.001;
const CLOCK_OFFSET_MS = 500;

/** A controller's process: `incarnation` counts its starts, `controller` is undefined while it is down. */
interface Node {
  readonly member: string;
  clock: ProcessClock;
  controller: Controller | undefined;
  incarnation: number;
}

/**
 * A whole deployment on virtual time: controllers, state service, cloud, agents, users and the network between them. It starts
 * and crashes the controllers; it judges nothing, which is the invariant checker's.
 */
export class SimulatedCluster {
  readonly time = new VirtualTime();
  readonly random: Random;
  readonly network: SimulatedNetwork;
  readonly store: SimulatedStore;
  readonly checker: InvariantChecker;
  readonly cacheChecker: CacheChecker;
  readonly users: SimulatedUsers;
  readonly pipelineUsers: SimulatedPipelineUsers;
  readonly userBehavior: UserBehavior;
  readonly cloud: SimulatedCloud;
  readonly nodes: Node[];
  /** Jobs as their users submitted them, for the agents that run them. */
  readonly jobs = new Map<string, JobRun>();
  /** What was done until `mark`, and from there to `count`. */
  countersAtMark: RequestCounters = { requests: 0, writes: 0, rounds: 0 };
  countersSinceMark: RequestCounters = { requests: 0, writes: 0, rounds: 0 };
  /** How often each event was logged, by any node. */
  readonly events = new Map<string, number>();
  /** The log of a controller; tests may put another in its place before it starts. */
  log: (member: string) => Log = () => ({
    ...silentLog,
    info: (event) => void this.events.set(event, (this.events.get(event) ?? 0) + 1),
    error: (event) => void this.events.set(event, (this.events.get(event) ?? 0) + 1),
  });

  constructor(readonly options: SimulatedClusterOptions) {
    this.random = seededRandom(options.seed);
    this.network = new SimulatedNetwork(this.time, this.random);
    this.store = new SimulatedStore(
      this.time,
      { rps: options.rps, writeRps: options.writeRps, ...STORE_LIMITS },
      this.random,
    );
    this.checker = new InvariantChecker(
      this.time,
      new Map(options.teams.map((t) => [t.name, t])),
      options.cancelS,
    );
    this.nodes = Array.from({ length: options.nodes }, (_, i) => ({
      member: `n${i}`,
      clock: new ProcessClock(this.time, 1, 0),
      controller: undefined,
      incarnation: 0,
    }));
    const shared: SimulationContext = {
      time: this.time,
      network: this.network,
      checker: this.checker,
      random: this.random,
      limits: { reportS: options.reportS, leaseS: options.leaseS, ...GANG_LIMITS },
      jobs: this.jobs,
      gangs: new Map(),
      controllers: this.nodes.map((n) => ({ member: n.member, address: `${n.member}:80` })),
      fetchGbPerS: 1,
      many: () => this.cloud.machines.size > LARGE_DEPLOYMENT_MACHINES,
    };
    this.cloud = new SimulatedCloud(shared, options.types, options.capacity, LIST_LAG_MS);
    this.network.serve('store:1', (...a) => this.store.handle(...a));
    this.network.serve('cloud:1', (...a) => this.cloud.handle(...a));
    this.connectChecker();
    this.cacheChecker = this.createCacheChecker();
    this.users = new SimulatedUsers(this);
    this.pipelineUsers = new SimulatedPipelineUsers(this, this.users);
    this.userBehavior = new UserBehavior(this);
    this.connectStoreHooks();
  }

  /** Gives the checker the truth of what can run where. */
  private connectChecker(): void {
    const { options } = this;
    const teams = new Map<string, TeamLimits>(options.teams.map((t) => [t.name, t]));
    this.checker.cannotRun = (spec) =>
      cannotRun(spec, options.types, this.cloud.preProvisioned, teams.get(spec.team));
    this.checker.machines = () => this.machineTruths();
    this.checker.mayStayWaiting = (job) =>
      this.jobs.get(job)?.faulty !== false || this.checker.needs.has(job);
  }

  private createCacheChecker(): CacheChecker {
    const checker = new CacheChecker(this.store);
    checker.onViolation = (rule, detail) => this.checker.recordViolation(rule, detail);
    return checker;
  }

  /** Pipelines as the operator enabled them, with their caches known to the checker. */
  private createPipelines(member: string, dependencies: PipelineManagerDependencies): PipelineManager {
    const manager = createPipelineManager(dependencies);
    const { jobCache } = dependencies;
    this.cacheChecker.register(member, { jobCache, pipelineCache: manager.pipelineCache });
    return manager;
  }

  /** Faults that transactions set off reach beyond the store. */
  private connectStoreHooks(): void {
    this.store.transactionChecker.onViolation = (rule, detail) => this.checker.recordViolation(rule, detail);
    this.store.onCrash = (host) => this.crash(host, CRASH_RESTART_MS);
    this.store.onOutage = (s) => {
      this.store.setOutage(true);
      this.extendFaultsUntil(s * 1000);
      this.time.after(s * 1000, () => this.store.setOutage(false));
    };
  }

  /** Machines as they are; one that can't be counted on has no room. */
  private machineTruths(): MachineTruth[] {
    return this.cloud.liveMachines().flatMap((m) => {
      if (!m.agent) return [];
      const noCapacity = { cpus: 0, gpus: 0, memoryGb: 0 };
      const { type, zone, spot } = m.agent.location;
      const capacity = m.agent.isReliable ? m.agent.capacity : noCapacity;
      return [{ id: m.id, type, zone, spot, capacity, present: m.agent.present() }];
    });
  }

  private settings(member: string): Settings {
    const { options } = this;
    return {
      member: member as MemberName,
      zone: options.zones[0] as ZoneName,
      listen: `${member}:80` as Address,
      meshListen: `${member}:81` as Address,
      peers: this.nodes
        .filter((n) => n.member !== member)
        .map((n) => ({ member: n.member as MemberName, address: `${n.member}:81` as Address })),
      cloud: 'cloud:1' as Address,
      state: 'store:1' as Address,
      zones: options.zones as ZoneName[],
      teams: options.teams,
      objectives: [],
      workers: { reportS: options.reportS, leaseS: options.leaseS, ...GANG_LIMITS, cancelS: options.cancelS },
      store: { rps: options.rps, writeRps: options.writeRps, ...STORE_LIMITS },
      cloudLimits: { rps: 8, listLagS: LIST_LAG_MS / 1000 },
      maxConnections: 1000,
    };
  }

  /** Starts the controller's process with a clock and a random seed of its own; nothing while it runs. */
  boot(member: string): void {
    const node = this.nodes.find((n) => n.member === member);
    if (!node || node.controller) return;
    node.incarnation++;
    const clock = new ProcessClock(
      this.time,
      1 + (this.random.next() - 0.5) * CLOCK_DRIFT,
      (this.random.next() - 0.5) * CLOCK_OFFSET_MS,
    );
    node.clock = clock;
    const { incarnation } = node;
    const alive = (): boolean => node.incarnation === incarnation && node.controller !== undefined;
    const controller = new Controller({
      settings: this.settings(member),
      operator: { ...defaultOperatorSettings(), ...this.options.operator },
      pipelines: this.options.operator?.pipelines
        ? (dependencies) => this.createPipelines(member, dependencies)
        : undefined,
      createElasticJobManager: this.options.operator?.elastic ? createElasticJobManager : undefined,
      clock,
      random: seededRandom(this.options.seed * 31 + incarnation * 7 + Number(member.slice(1))),
      log: this.log(member),
      metrics: new Metrics(),
      http: this.network.client(member, alive),
      mesh: this.network.mesh(member),
      incarnation: 1 + incarnation * 1000 + Number(member.slice(1)),
    });
    node.controller = controller;
    this.network.serve(`${member}:80`, createDispatcher(controller.routes));
    controller.start();
  }

  /** The controller's process gets no processor for so long. */
  stall(member: string, ms: number): void {
    const node = this.nodes.find((n) => n.member === member);
    if (!node) return;
    node.clock.stalledUntil = this.time.now + ms;
    this.network.stall(member, this.time.now + ms);
  }

  /** Ends the controller's process at once, and starts it again after the time. */
  crash(member: string, restartMs: number): void {
    const node = this.nodes.find((n) => n.member === member);
    if (!node?.controller) return;
    this.extendFaultsUntil(restartMs);
    node.clock.kill();
    node.controller = undefined;
    this.network.serve(`${member}:80`, undefined);
    this.network.dropMesh(member);
    this.time.after(restartMs, () => this.boot(member));
  }

  /** Something is wrong for so long: nobody is forgotten or left waiting before it is over. */
  extendFaultsUntil(ms: number): void {
    this.checker.faultsUntil = Math.max(this.checker.faultsUntil, this.time.now + ms);
  }

  /** Copies of heartbeats that come from now on reach every controller once a new leader was elected. */
  replayHeartbeatsAfterElection(forMs: number): void {
    const currentTerm = (): bigint =>
      this.nodes.reduce((most, n) => {
        const term: bigint = n.controller?.election.leadership?.term ?? 0n;
        return term > most ? term : most;
      }, 0n);
    this.network.recordHeartbeats(forMs);
    const initialTerm = currentTerm();
    const replayOnNewTerm = (): void => {
      if (!this.network.hasRecordedHeartbeats) return;
      if (currentTerm() > initialTerm) {
        const to = this.nodes.map((n) => `${n.member}:80`);
        return this.network.replayHeartbeats(to, 3000);
      }
      this.time.after(10, replayOnNewTerm);
    };
    replayOnNewTerm();
  }

  /** The controller that may decide now, if any. */
  leader(): string | undefined {
    return this.nodes.find((n) => n.controller?.election.canDecide())?.member;
  }

  /** Plays up to the time, and checks the invariants after every step. */
  async run(untilS: number): Promise<void> {
    await this.time.runUntil(untilS * 1000, () => {
      this.checker.check();
      this.checkCaches();
    });
  }

  private cachesCheckedAt = 0;

  private checkCaches(): void {
    if (this.time.now - this.cachesCheckedAt < CACHE_CHECK_MS) return;
    this.cachesCheckedAt = this.time.now;
    this.cacheChecker.check();
  }
}
