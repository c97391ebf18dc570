import { decodeAs } from '../../src/protocol/codec.js';
import type {
  Address,
  Attempt,
  JobId,
  MachineId,
  HeartbeatSequence,
  AgentEpoch,
  TaskIndex,
  Term,
  TypeName,
  ZoneName,
} from '../../src/protocol/ids.js';
import type { JobSpec } from '../../src/protocol/jobs.js';
import { Paths, type Cause, type TaskState } from '../../src/protocol/wire.js';
import {
  commandsSchema,
  encodeHeartbeat,
  leaderRedirectSchema,
  type Command,
  type Heartbeat,
} from '../../src/protocol/heartbeats.js';
import type { HttpClient, Reply } from '../../src/transport/http.js';
import type { Random } from '../../src/transport/random.js';
import type { VirtualTime } from './virtual-time.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { TaskLocation, InvariantChecker } from './invariant-checker.js';

export interface AgentLimits {
  readonly reportS: number;
  readonly leaseS: number;
  readonly gangWaitS: number;
  readonly gangPeerS: number;
}

export interface JobRun {
  readonly spec: JobSpec;
  readonly runS: number;
  /** Fails on every machine. */
  readonly faulty: boolean;
  /** Gang progress in seconds, saved. */
  saved: number;
}

/** What the machines of one gang attempt share. */
export interface GangAttempt {
  readonly members: Map<number, { agent: SimulatedAgent; task: LocalTask }>;
  startedAt: number | undefined;
}

interface LocalTask {
  readonly job: string;
  readonly index: number;
  readonly attempt: bigint;
  state: TaskState;
  cause: Cause | undefined;
  saved: boolean;
  startedOnMachine: boolean;
  timerGeneration: number;
}

export interface SimulationContext {
  readonly time: VirtualTime;
  readonly network: SimulatedNetwork;
  readonly checker: InvariantChecker;
  readonly random: Random;
  readonly limits: AgentLimits;
  readonly jobs: Map<string, JobRun>;
  readonly gangs: Map<string, GangAttempt>;
  readonly controllers: readonly { readonly member: string; readonly address: string }[];
  readonly fetchGbPerS: number;
  readonly many: () => boolean;
  /** Where a machine's worker listens; its name alone, unless real sockets are used. */
  readonly addressOf?: (host: string) => string;
}

const HEARTBEAT_TIMEOUT_MS = 4000;
/** The protocol's limit for request bodies. */
const MAX_BODY_BYTES = 64 * 1024;

const attemptKey = ({ job, index, attempt }: Command): string => `${job}/${index}#${attempt}`;

/** One machine's worker, as the protocol says it behaves. */
export class SimulatedAgent {
  readonly address: string;
  private agentEpoch = 1n;
  private sequence = 0n;
  private token = 0n;
  private target: number;
  private readonly tasks = new Map<string, LocalTask>();
  /** The highest token of a direct command that started the attempt: a repeat of it is carried out as long as the token stands. */
  private readonly directStartTokens = new Map<string, bigint>();
  /** All attempts that were ever begun on this machine, in any agent epoch. */
  private readonly begunAttempts = new Set<string>();
  private readonly images = new Map<string, number>();
  private leaseRenewedAt: number;
  private lastSentAt = -1e9;
  private inFlight = false;
  private stateChanged = false;
  private tokenHeartbeatAt = -1e9;
  private alive = true;
  hanging = false;
  interruptionAt: number | undefined;
  runtimeFactor = 1;
  startsToRefuse = 0;
  /** Whatever runs here fails. */
  faulty = false;
  /** Tasks of these jobs don't end when they are told to. */
  readonly jobsIgnoringStops = new Set<string>();
  private readonly http: HttpClient;
  private nextHeartbeatAt = 0;

  constructor(
    private readonly context: SimulationContext,
    readonly host: string,
    readonly location: TaskLocation,
    readonly capacity: { cpus: number; gpus: number; memoryGb: number },
  ) {
    this.address = context.addressOf?.(host) ?? `${host}:9000`;
    this.leaseRenewedAt = context.time.now;
    this.tokenHeartbeatAt = context.time.now;
    this.target = Math.floor(context.random.next() * context.controllers.length);
    this.http = context.network.client(host, () => this.alive && !this.hanging);
    context.network.serve(this.address, (_, method, path, body) => this.serve(method, path, body));
    this.tick();
  }

  get currentAgentEpoch(): bigint {
    return this.agentEpoch;
  }

  /** The machine and all on it are gone. */
  terminate(): void {
    if (!this.alive) return;
    this.loseTasks();
    this.alive = false;
    this.context.network.serve(this.address, undefined);
  }

  private tick(): void {
    if (!this.alive) return;
    const { time } = this.context;
    this.checkLease();
    if (!this.hanging && !this.inFlight) {
      const due =
        time.now >= this.nextHeartbeatAt || (this.stateChanged && time.now - this.lastSentAt >= 500);
      if (due) void this.sendHeartbeat();
    }
    // With very many workers, one that has nothing to do soon looks up less often.
    const idle = this.context.many() && !this.stateChanged && this.nextHeartbeatAt - time.now > 500;
    time.after(idle ? 400 : 100, () => this.tick());
  }

  /** Tasks that take room here: all that haven't exited. */
  present(): { readonly job: string; readonly index: number }[] {
    return [...this.tasks.values()].filter((t) => t.state !== 'exited');
  }

  /** Whether it does as it is told and may be counted on. */
  get isReliable(): boolean {
    return (
      this.alive &&
      !this.hanging &&
      this.interruptionAt === undefined &&
      this.jobsIgnoringStops.size === 0 &&
      this.startsToRefuse === 0 &&
      !this.faulty
    );
  }

  /** Back at once, with nothing of what it had. */
  restart(): void {
    this.leaseRenewedAt = -Infinity;
    this.checkLease();
  }

  private checkLease(): void {
    if (this.context.time.now - this.leaseRenewedAt <= this.context.limits.leaseS * 1000) return;
    this.loseTasks();
    this.tasks.clear();
    this.directStartTokens.clear();
    this.agentEpoch++;
    this.leaseRenewedAt = this.context.time.now;
    this.stateChanged = true;
  }

  /** What ran here ends, and completions that were not to be forgotten yet are known to nobody else. */
  private loseTasks(): void {
    for (const task of [...this.tasks.values()]) {
      if (task.cause === 'done') this.context.checker.completionLost(task.job);
      this.removeFromMachine(task);
    }
  }

  private snapshot(): Heartbeat {
    this.sequence++;
    return {
      machine: this.location.machine as MachineId,
      address: this.address as Address,
      type: this.location.type as TypeName,
      zone: this.location.zone as ZoneName,
      spot: this.location.spot,
      epoch: this.agentEpoch as AgentEpoch,
      sequence: this.sequence as HeartbeatSequence,
      token: this.token as Term,
      noticeS:
        this.interruptionAt === undefined
          ? null
          : Math.max(0, (this.interruptionAt - this.context.time.now) / 1000),
      tasks: [...this.tasks.values()].map((t) => ({
        job: t.job as JobId,
        index: t.index as TaskIndex,
        attempt: t.attempt as Attempt,
        state: t.state,
        ...(t.cause ? { cause: t.cause } : {}),
        saved: t.saved,
      })),
    };
  }

  private async sendHeartbeat(): Promise<void> {
    const { time, controllers, limits, random } = this.context;
    this.inFlight = true;
    this.stateChanged = false;
    const sentAt = time.now;
    const { agentEpoch } = this;
    this.lastSentAt = sentAt;
    this.nextHeartbeatAt = sentAt + limits.reportS * 1000 * (0.75 + 0.5 * random.next());
    const controller = controllers[this.target % controllers.length]!;
    const body = encodeHeartbeat(this.snapshot());
    if (body.length > MAX_BODY_BYTES)
      this.context.checker.recordViolation('too_large', `a heartbeat of ${this.host}`);
    const reply = await this.http.call(
      controller.address,
      'POST',
      Paths.heartbeat,
      body,
      HEARTBEAT_TIMEOUT_MS,
    );
    this.inFlight = false;
    if (!this.alive) return;
    if (reply.ok && reply.value.status === 200) {
      const answer = decodeAs(commandsSchema, reply.value.body);
      if (!answer.ok || answer.value.token < this.token || agentEpoch !== this.agentEpoch) return;
      this.adoptToken(answer.value.token);
      this.leaseRenewedAt = Math.max(this.leaseRenewedAt, sentAt);
      for (const c of answer.value.commands) this.execute(c);
      return;
    }
    const redirect =
      reply.ok && reply.value.status === 421 ? decodeAs(leaderRedirectSchema, reply.value.body) : undefined;
    const leaderIndex = redirect?.ok ? controllers.findIndex((c) => c.member === redirect.value) : -1;
    if (leaderIndex >= 0 && leaderIndex !== this.target) {
      this.target = leaderIndex;
      this.nextHeartbeatAt = time.now + random.next() * 500;
    } else {
      this.target = (this.target + 1) % controllers.length;
      this.nextHeartbeatAt = time.now + 1000;
    }
  }

  private adoptToken(token: bigint): void {
    if (token <= this.token) return;
    this.token = token;
    if (this.context.time.now - this.tokenHeartbeatAt < this.context.limits.leaseS * 500) return;
    this.tokenHeartbeatAt = this.context.time.now;
    this.stateChanged = true;
  }

  private async serve(method: string, path: string, body: Uint8Array): Promise<Reply> {
    while (this.hanging) await this.context.time.sleep(100);
    if (!this.alive) return { status: 503 };
    this.checkLease();
    if (method === 'GET' && path === Paths.inspect)
      return { status: 200, body: encodeHeartbeat(this.snapshot()) };
    const request = decodeAs(commandsSchema, body);
    if (!request.ok || request.value.agentEpoch === undefined) return { status: 400 };
    if (request.value.token < this.token || request.value.agentEpoch !== this.agentEpoch) {
      return { status: 409, body: encodeHeartbeat(this.snapshot()) };
    }
    this.adoptToken(request.value.token);
    for (const c of request.value.commands) {
      if (c.op === 'start') this.directStartTokens.set(attemptKey(c), request.value.token);
      this.execute(c);
    }
    return { status: 200, body: encodeHeartbeat(this.snapshot()) };
  }

  // ---- tasks ----------------------------------------------------------------------------------------

  execute(command: Command): void {
    const key = attemptKey(command);
    const task = this.tasks.get(key);
    if (command.op === 'start') {
      if (!task) this.start(command.job, command.index, command.attempt, key);
    } else if (command.op === 'forget') {
      if (task?.state !== 'exited') return;
      if (task.cause === 'done')
        this.context.checker.taskForgotten(command.job, command.index, command.attempt);
      else this.checkForgotten(key);
      this.tasks.delete(key);
    } else if (task && task.state !== 'exited') this.stop(task, command.graceS);
    this.stateChanged = true;
  }

  /** An attempt without a result starts again if a direct command is repeated that still carries the highest token. */
  private checkForgotten(key: string): void {
    const startToken = this.directStartTokens.get(key);
    this.directStartTokens.delete(key);
    if (startToken !== undefined && startToken >= this.token)
      this.context.checker.recordViolation('forgotten_early', `${key} on ${this.host}`);
  }

  private start(job: string, index: number, attempt: bigint, key: string): void {
    const run = this.context.jobs.get(job);
    this.context.checker.startCommandSent(job, index, attempt);
    // A task with a result exits with it without running.
    if (this.begunAttempts.has(key) && !this.context.checker.isDone(job, index))
      this.context.checker.recordViolation('started_again', `${key} on ${this.host}`);
    this.begunAttempts.add(key);
    const task: LocalTask = {
      job,
      index,
      attempt,
      state: 'fetching',
      cause: undefined,
      saved: false,
      startedOnMachine: false,
      timerGeneration: 0,
    };
    const alreadyPresent = [...this.tasks.values()].some(
      (t) => t.job === job && t.index === index && t.state !== 'exited',
    );
    this.tasks.set(key, task);
    if (!run || index >= run.spec.tasks) return this.exit(task, 'unknown');
    if (alreadyPresent) return this.exit(task, 'busy');
    if (this.startsToRefuse > 0) {
      this.startsToRefuse--;
      return this.exit(task, 'noRoom');
    }
    const usage = { cpus: 0, gpus: 0, memoryGb: 0 };
    for (const t of this.tasks.values()) {
      const spec = this.context.jobs.get(t.job)?.spec;
      if (t.state === 'exited' || !spec) continue;
      usage.cpus += spec.cpus;
      usage.gpus += spec.gpus;
      usage.memoryGb += spec.memoryGb;
    }
    if (
      usage.cpus > this.capacity.cpus ||
      usage.gpus > this.capacity.gpus ||
      usage.memoryGb > this.capacity.memoryGb
    ) {
      return this.exit(task, 'noRoom');
    }
    const { time } = this.context;
    const imageReadyAt =
      this.images.get(run.spec.image) ?? time.now + (run.spec.imageGb / this.context.fetchGbPerS) * 1000;
    this.images.set(run.spec.image, imageReadyAt);
    this.runAfter(task, imageReadyAt - time.now, () => this.imageFetched(task, run));
  }

  /** Runs later on this task, unless it ended; a hanging machine's tasks make no progress. */
  private runAfter(task: LocalTask, ms: number, run: () => void): void {
    const { timerGeneration } = task;
    this.context.time.after(ms, () => {
      if (!this.alive || task.timerGeneration !== timerGeneration || task.state === 'exited') return;
      if (this.hanging) this.runAfter(task, 200, run);
      else run();
    });
  }

  private imageFetched(task: LocalTask, run: JobRun): void {
    // Results are kept: there is nothing left to run.
    if (this.context.checker.isDone(task.job, task.index)) return this.exit(task, 'done');
    task.startedOnMachine = true;
    this.context.checker.started(task.job, task.index, this.location);
    this.stateChanged = true;
    if (run.faulty || this.faulty) {
      task.state = 'running';
      return this.runAfter(task, 300, () => this.exit(task, 'error'));
    }
    if (run.spec.kind !== 'gang') {
      task.state = 'running';
      if (run.spec.kind === 'array')
        this.runAfter(task, run.runS * 1000 * this.runtimeFactor, () => this.exit(task, 'done'));
      return;
    }
    task.state = 'waiting';
    const gangKey = `${task.job}#${task.attempt}`;
    const gang = this.context.gangs.get(gangKey) ?? {
      members: new Map<number, { agent: SimulatedAgent; task: LocalTask }>(),
      startedAt: undefined,
    };
    this.context.gangs.set(gangKey, gang);
    gang.members.set(task.index, { agent: this, task });
    this.runAfter(task, this.context.limits.gangWaitS * 1000, () => {
      if (task.state === 'waiting') this.exit(task, 'alone');
    });
    if (gang.members.size < run.spec.tasks || gang.startedAt !== undefined) return;
    gang.startedAt = this.context.time.now;
    for (const member of gang.members.values()) {
      member.task.state = 'running';
      member.task.timerGeneration++;
      member.agent.stateChanged = true;
      member.agent.runAfter(member.task, Math.max(10, (run.runS - run.saved) * 1000), () => {
        // They complete together, or not at all: one that hangs has made no progress.
        const completesTogether =
          this.context.checker.done(task.job) > 0 ||
          (gang.members.size === run.spec.tasks && [...gang.members.values()].every((o) => !o.agent.hanging));
        member.agent.exit(member.task, completesTogether ? 'done' : 'peers');
      });
    }
  }

  private stop(task: LocalTask, graceS: number): void {
    if (this.jobsIgnoringStops.has(task.job)) return;
    const run = this.context.jobs.get(task.job);
    const spec = run?.spec;
    if (task.state === 'saving' && graceS > 0) return;
    if (task.state === 'running' && spec && spec.checkpointS > 0 && graceS >= spec.saveS) {
      task.state = 'saving';
      task.timerGeneration++;
      const gang = this.context.gangs.get(`${task.job}#${task.attempt}`);
      if (gang?.startedAt !== undefined) {
        run.saved = Math.min(
          run.runS - 0.1,
          Math.max(run.saved, (this.context.time.now - gang.startedAt) / 1000),
        );
      }
      this.runAfter(task, spec.saveS * 1000, () => {
        task.saved = true;
        this.exit(task, 'stopped');
      });
      return;
    }
    this.exit(task, 'stopped');
  }

  private exit(task: LocalTask, cause: Cause): void {
    if (cause === 'done') this.context.checker.completed(task.job, task.index);
    this.removeFromMachine(task);
    task.state = 'exited';
    task.cause = cause;
    this.stateChanged = true;
  }

  /** Off the machine; the rest of a running gang notices. */
  private removeFromMachine(task: LocalTask): void {
    if (task.startedOnMachine) this.context.checker.stopped(task.job, task.index, this.location.machine);
    task.startedOnMachine = false;
    task.timerGeneration++;
    const gang = this.context.gangs.get(`${task.job}#${task.attempt}`);
    const done = this.context.checker.done(task.job) > 0;
    if (!gang || gang.members.get(task.index)?.task !== task) return;
    gang.members.delete(task.index);
    if (gang.startedAt === undefined || done) return;
    for (const member of gang.members.values()) {
      member.task.timerGeneration++; // No progress without the one that is gone.
      member.agent.runAfter(member.task, this.context.limits.gangPeerS * 500, () =>
        member.agent.exit(member.task, 'peers'),
      );
    }
  }
}
