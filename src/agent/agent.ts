import { MAX_CLOCK_DRIFT, plus, sleep, type Clock, type SteadyMs } from '../transport/clock.js';
import type { HttpClient, Reply, Route } from '../transport/http.js';
import type { Log } from '../transport/log.js';
import type { Random } from '../transport/random.js';
import { decodeAs, encode } from '../protocol/codec.js';
import type {
  Address,
  MachineId,
  MemberName,
  HeartbeatSequence,
  AgentEpoch,
  Term,
  TypeName,
  ZoneName,
} from '../protocol/ids.js';
import { Paths } from '../protocol/wire.js';
import {
  commandsSchema,
  encodeHeartbeat,
  leaderRedirectSchema,
  type Heartbeat,
} from '../protocol/heartbeats.js';
import { readDurableFile, writeFileDurably } from '../transport/durable-file.js';
import { persistedStateSchema, type PersistedState } from './persisted-state.js';
import { claimSchema, ClaimPaths, recallSchema } from './claims.js';
import type { Tasks } from './tasks.js';

export interface AgentDeps {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly http: HttpClient;
  readonly tasks: Tasks;
  readonly controllers: readonly { readonly member: MemberName; readonly address: string }[];
  readonly address: Address;
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly heartbeatIntervalS: number;
  readonly leaseS: number;
  /** Called at each lease renewal with the time in ms for which the tasks may run on, even if this process hangs. */
  readonly onLeaseRenewed: (ms: number) => void;
  /** Path of the file that holds the agent's persisted state. */
  readonly stateFile: string;
}

const HEARTBEAT_TIMEOUT_MS = 4000;
/** Least time between two heartbeats that are sent early because something changed. */
const MIN_HEARTBEAT_GAP_MS = 500;
const LOOP_INTERVAL_MS = 50;

/**
 * The node agent of this machine: sends heartbeats to the leader, executes its commands, and ends all tasks when no controller has
 * acknowledged a heartbeat for the length of the machine lease.
 */
export class Agent {
  readonly routes: readonly Route[];
  private machine: MachineId | undefined;
  private agentEpoch = 0n;
  private token = 0n;
  private sequence = 0n;
  private leaseRenewedAt: SteadyMs;
  private lastHeartbeatAt = -Infinity;
  private nextHeartbeatAt = -Infinity;
  /** A change has not been sent with a heartbeat yet. */
  private changePending = false;
  /** When a newer fencing token last caused an early heartbeat. */
  private lastTokenHeartbeatAt = -Infinity;
  private heartbeatInFlight = false;
  /** Index of the controller that heartbeats go to. */
  private controllerIndex: number;
  private running = true;
  /** The tasks of the present agent epoch are being ended. */
  private changingEpoch = false;
  /** When the provider takes the machine back; undefined if it is not recalled. */
  private recallAt: SteadyMs | undefined;

  private constructor(private readonly deps: AgentDeps) {
    this.leaseRenewedAt = deps.clock.now();
    this.controllerIndex = Math.floor(deps.random.next() * deps.controllers.length);
    this.routes = [
      { method: 'POST', path: Paths.commands, handle: (_, body) => this.handleCommands(body) },
      { method: 'GET', path: Paths.inspect, handle: () => this.handleInspect() },
      { method: 'POST', path: ClaimPaths.claim, handle: (_, body) => this.handleClaim(body) },
      { method: 'POST', path: ClaimPaths.release, handle: (_, body) => this.handleRelease(body) },
      { method: 'POST', path: ClaimPaths.recall, handle: (_, body) => this.handleRecall(body) },
      {
        method: 'GET',
        path: ClaimPaths.tasks,
        handle: () => ({
          status: 200,
          body: encode({ machine: this.machine ?? null, tasks: deps.tasks.list() }),
        }),
      },
    ];
  }

  /** Expects that all tasks of an earlier agent process have ended; the new agent epoch indicates this to the controllers. */
  static start(deps: AgentDeps): Agent {
    const agent = new Agent(deps);
    const stored = readDurableFile(deps.stateFile, persistedStateSchema);
    if (!stored.ok) throw new Error(stored.error);
    const state: PersistedState = stored.value ?? { machine: null, session: 0, token: '0' };
    agent.machine = (state.machine ?? undefined) as MachineId | undefined;
    agent.agentEpoch = BigInt(state.session) + 1n;
    agent.token = BigInt(state.token);
    agent.persistState();
    deps.log.info('agent-up', { machine: agent.machine ?? 'unclaimed', session: Number(agent.agentEpoch) });
    void agent.run();
    return agent;
  }

  /** Called when the state of a task changes; the change is sent with an early heartbeat. */
  onTaskChange(): void {
    this.changePending = true;
  }

  async stop(): Promise<void> {
    this.running = false;
    await this.deps.tasks.endAll();
  }

  private persistState(): void {
    const state: PersistedState = {
      machine: this.machine ?? null,
      session: Number(this.agentEpoch),
      token: this.token.toString(),
    };
    writeFileDurably(this.deps.stateFile, JSON.stringify(state));
  }

  private async run(): Promise<void> {
    const { clock } = this.deps;
    while (this.running) {
      const now = clock.now();
      if (this.machine !== undefined && !this.changingEpoch) {
        // The steady clock also counts time in which this process was stalled. Once the lease has run out, the leader may have
        // started the tasks on another machine.
        if (now - this.leaseRenewedAt > this.deps.leaseS * 1000 * (1 - MAX_CLOCK_DRIFT))
          void this.handleLeaseExpiry();
        else if (
          !this.heartbeatInFlight &&
          (now >= this.nextHeartbeatAt ||
            (this.changePending && now - this.lastHeartbeatAt >= MIN_HEARTBEAT_GAP_MS))
        )
          void this.sendHeartbeat();
      }
      await sleep(clock, LOOP_INTERVAL_MS);
    }
  }

  private async handleLeaseExpiry(): Promise<void> {
    this.deps.log.info('lease-over', { session: Number(this.agentEpoch), tasks: this.deps.tasks.liveCount });
    await this.beginEpoch(this.machine);
    this.changePending = true;
  }

  /** Ends all tasks and begins a new agent epoch under the machine name `machine`. */
  private async beginEpoch(machine: MachineId | undefined): Promise<void> {
    this.changingEpoch = true;
    await this.deps.tasks.endAll();
    if (machine !== this.machine) this.recallAt = undefined;
    this.machine = machine;
    this.agentEpoch++;
    this.sequence = 0n;
    this.persistState();
    this.renewLease(this.deps.clock.now());
    this.changingEpoch = false;
  }

  private buildHeartbeat(): Heartbeat {
    const { deps } = this;
    this.sequence++;
    return {
      machine: this.machine ?? ('none' as MachineId),
      address: deps.address,
      type: deps.type,
      zone: deps.zone,
      spot: false,
      epoch: this.agentEpoch as AgentEpoch,
      sequence: this.sequence as HeartbeatSequence,
      token: this.token as Term,
      noticeS: this.recallAt === undefined ? null : Math.max(0, (this.recallAt - deps.clock.now()) / 1000),
      tasks: deps.tasks.reported(),
    };
  }

  private async sendHeartbeat(): Promise<void> {
    const { clock, controllers, random, heartbeatIntervalS: reportS, http } = this.deps;
    this.heartbeatInFlight = true;
    this.changePending = false;
    const sentAt = clock.now();
    const { agentEpoch, machine } = this;
    this.lastHeartbeatAt = sentAt;
    this.nextHeartbeatAt = sentAt + reportS * 1000 * (0.75 + 0.5 * random.next());
    const controller = controllers[this.controllerIndex % controllers.length]!;
    const reply = await http.call(
      controller.address,
      'POST',
      Paths.heartbeat,
      encodeHeartbeat(this.buildHeartbeat()),
      HEARTBEAT_TIMEOUT_MS,
    );
    this.heartbeatInFlight = false;
    if (!this.running || this.changingEpoch || agentEpoch !== this.agentEpoch || machine !== this.machine)
      return;
    if (reply.ok && reply.value.status === 200) {
      const commands = decodeAs(commandsSchema, reply.value.body);
      if (!commands.ok || commands.value.token < this.token) return;
      this.adoptToken(commands.value.token);
      if (sentAt > this.leaseRenewedAt) this.renewLease(sentAt);
      for (const command of commands.value.commands) this.deps.tasks.execute(command);
      if (commands.value.commands.length > 0) this.changePending = true;
      return;
    }
    const redirect =
      reply.ok && reply.value.status === 421 ? decodeAs(leaderRedirectSchema, reply.value.body) : undefined;
    const leaderIndex = redirect?.ok ? controllers.findIndex((c) => c.member === redirect.value) : -1;
    if (leaderIndex >= 0 && leaderIndex !== this.controllerIndex % controllers.length) {
      this.controllerIndex = leaderIndex;
      this.nextHeartbeatAt = clock.now() + random.next() * MIN_HEARTBEAT_GAP_MS;
    } else {
      this.controllerIndex = (this.controllerIndex + 1) % controllers.length;
      this.nextHeartbeatAt = clock.now() + 1000;
    }
  }

  private renewLease(from: SteadyMs): void {
    this.leaseRenewedAt = from;
    const { clock, leaseS } = this.deps;
    this.deps.onLeaseRenewed(Math.max(0, from + leaseS * 1000 - clock.now()));
  }

  /**
   * A newer fencing token is persisted before any of its commands is executed, so that commands under an older token are rejected
   * from then on, also by a later agent process.
   */
  private adoptToken(token: bigint): void {
    if (token <= this.token) return;
    this.token = token;
    this.persistState();
    if (this.deps.clock.now() - this.lastTokenHeartbeatAt < this.deps.leaseS * 500) return;
    this.lastTokenHeartbeatAt = this.deps.clock.now();
    this.changePending = true;
  }

  private handleCommands(body: Uint8Array): Reply {
    const message = decodeAs(commandsSchema, body);
    if (!message.ok || message.value.agentEpoch === undefined) return { status: 400 };
    const { token, agentEpoch, commands } = message.value;
    if (
      this.machine === undefined ||
      this.changingEpoch ||
      token < this.token ||
      agentEpoch !== this.agentEpoch
    ) {
      return { status: 409, body: encodeHeartbeat(this.buildHeartbeat()) };
    }
    this.adoptToken(token);
    for (const command of commands) this.deps.tasks.execute(command);
    this.changePending = true;
    return { status: 200, body: encodeHeartbeat(this.buildHeartbeat()) };
  }

  private handleInspect(): Reply {
    return { status: 200, body: encodeHeartbeat(this.buildHeartbeat()) };
  }

  // ---- claims by the machine provider -------------------------------------------------------------------

  /** The machine is provisioned under a new name. A repeated claim changes nothing, except that it withdraws a recall. */
  private async handleClaim(body: Uint8Array): Promise<Reply> {
    const claim = decodeAs(claimSchema, body);
    if (!claim.ok) return { status: 400 };
    if (this.machine === claim.value) {
      // A claim under the present name withdraws a recall.
      if (this.recallAt !== undefined) this.changePending = true;
      this.recallAt = undefined;
      return { status: 200, body: encode({}) };
    }
    if (this.changingEpoch) return { status: 503 };
    await this.beginEpoch(claim.value as MachineId);
    this.nextHeartbeatAt = -Infinity;
    this.deps.log.info('claimed', { machine: claim.value });
    return { status: 200, body: encode({}) };
  }

  /** The answer 200 confirms that no task of the machine of that name is left here. */
  private async handleRelease(body: Uint8Array): Promise<Reply> {
    const claim = decodeAs(claimSchema, body);
    if (!claim.ok) return { status: 400 };
    if (this.machine !== claim.value) return { status: 200, body: encode({}) };
    if (this.changingEpoch) return { status: 503 };
    await this.beginEpoch(undefined);
    this.deps.log.info('released', { machine: claim.value });
    return { status: 200, body: encode({}) };
  }

  /** The operator takes the machine back: heartbeats carry the remaining time, as they do for any termination notice. */
  private handleRecall(body: Uint8Array): Reply {
    const recall = decodeAs(recallSchema, body);
    if (!recall.ok) return { status: 400 };
    if (recall.value.machine !== this.machine) return { status: 404 };
    this.recallAt = plus(this.deps.clock.now(), recall.value.within_s * 1000);
    this.changePending = true;
    return { status: 200, body: encode({}) };
  }
}
