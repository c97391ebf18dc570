import type { SteadyMs } from '../transport/clock.js';
import type {
  Address,
  Attempt,
  ImageName,
  JobId,
  MachineId,
  Mark,
  PlanId,
  Seq,
  Session,
  StoreKey,
  TaskIndex,
  TeamName,
  Term,
  TypeName,
  ZoneName,
} from '../protocol/ids.js';
import type { JobSpec } from '../protocol/jobs.js';
import type { Cause, TaskState } from '../protocol/wire.js';
import { DoneSet, type Row } from './records.js';

/**
 * What the term's holder knows: jobs, machines, and what may be on them. A task is *possibly on* its
 * machine from the commit of its plan until there is proof that it isn't; silence is no proof.
 */
export interface Placement {
  readonly job: Job;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly machine: Machine;
  readonly session: Session;
  readonly plan: PlanId;
  readonly since: SteadyMs;
  /** Number of the report whose answer carried the start. */
  sentSeq: Seq | undefined;
  /**
   * A start sent to the worker's own address: `flying` until it is answered, `floating` when it never was.
   * Such a start may run minutes later, so absence proves nothing until the worker obeys a higher token.
   */
  order: 'flying' | 'floating' | undefined;
  /** True once a report showed the task under this session. */
  seen: boolean;
  state: TaskState | undefined;
  runningSince: SteadyMs | undefined;
  stop: { graceS: number; readonly why: string; readonly at: SteadyMs; ordered: boolean } | undefined;
  /** Proven off the machine; waits for the store to hold its end. */
  ended: { readonly how: 'done' | Cause | 'gone' | 'unsent'; readonly at: SteadyMs } | undefined;
}

export interface Job {
  readonly id: JobId;
  readonly spec: JobSpec;
  row: Row;
  mark: Mark;
  readonly done: DoneSet;
  readonly placements: Map<TaskIndex, Placement>;
  /** No waiting task has a lower index. */
  cursor: number;
  readonly acceptedAt: SteadyMs;
  cancelledAt: SteadyMs | undefined;
  /** Faults in a row, for backing off. */
  errors: number;
  notBefore: SteadyMs;
  /** Machines that refused or failed a task of this job lately. */
  readonly avoid: Map<MachineId, SteadyMs>;
  /** Finish records that exist in the store. */
  readonly finishChunks: Set<number>;
  everStarted: boolean;
}

export interface Machine {
  readonly id: MachineId;
  address: Address | undefined;
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  state: 'booting' | 'up' | 'returning' | 'gone';
  session: Session;
  seq: Seq;
  /** Its newest report carried this term's token: nothing an older holder sent can still run. */
  trusted: boolean;
  /** Rented under this term: no older holder can have sent it anything. */
  own: boolean;
  lastReport: SteadyMs | undefined;
  readonly firstKnown: SteadyMs;
  /** Since when it should be reporting. */
  upSince: SteadyMs;
  readonly rentedAt: SteadyMs;
  listed: boolean;
  noticeAt: SteadyMs | undefined;
  suspectUntil: SteadyMs;
  errors: number;
  idleSince: SteadyMs;
  readonly placements: Set<Placement>;
  /** Tasks reported that no live plan put there and that have not exited. */
  strangers: readonly { readonly job: JobId; readonly index: TaskIndex }[];
  /** A round that is being committed puts tasks here; it must not be returned as idle meanwhile. */
  rounds: number;
  /** Images seen running here, oldest first, with their sizes. */
  readonly images: Map<ImageName, number>;
  returnAt: SteadyMs | undefined;
  probedAt: SteadyMs | undefined;
}

export interface PlanState {
  readonly id: PlanId;
  /** Tasks of it not settled yet. */
  open: number;
  readonly returned: Map<JobId, number[]>;
  hasRevision: boolean;
}

/** News of a row come within seconds of its end, so the last few thousand are enough to know. */
const ENDED_KEPT = 10_000;

export class World {
  readonly jobs = new Map<JobId, Job>();
  readonly machines = new Map<MachineId, Machine>();
  readonly plans = new Map<PlanId, PlanState>();
  /** Placements that ended and are not settled in the store yet. */
  readonly unsettled = new Set<Placement>();
  /** Jobs that ended under this term: news of their rows may come after the end. */
  readonly ended = new Set<JobId>();
  /** Keys that nothing needs any more, to be removed when there is time. */
  readonly garbage = new Set<StoreKey>();

  /** Machines whose images changed since they were last written down. */
  readonly imagesChanged = new Set<Machine>();
  /** What earlier terms wrote down of machines not known here yet. */
  readonly imagesKept = new Map<MachineId, readonly { readonly name: ImageName; readonly gb: number }[]>();

  /** Machines gone whose note may be in the store. */
  readonly imagesGone = new Set<MachineId>();

  constructor(readonly term: Term) {}

  addJob(row: Row, mark: Mark, acceptedAt: SteadyMs, cancelledAt: SteadyMs | undefined): Job {
    const job: Job = {
      id: row.spec.id,
      spec: row.spec,
      row,
      mark,
      done: new DoneSet(row.spec.tasks),
      placements: new Map(),
      cursor: 0,
      acceptedAt,
      cancelledAt,
      errors: 0,
      notBefore: 0 as SteadyMs,
      avoid: new Map(),
      finishChunks: new Set(),
      everStarted: row.attempt > 0,
    };
    this.jobs.set(job.id, job);
    return job;
  }

  addMachine(
    id: MachineId,
    type: TypeName,
    zone: ZoneName,
    spot: boolean,
    now: SteadyMs,
    rentedAt: SteadyMs,
  ): Machine {
    const machine: Machine = {
      id,
      address: undefined,
      type,
      zone,
      spot,
      state: 'booting',
      session: 0n as Session,
      seq: 0n as Seq,
      trusted: false,
      own: false,
      lastReport: undefined,
      firstKnown: now,
      upSince: now,
      rentedAt,
      listed: false,
      noticeAt: undefined,
      suspectUntil: 0 as SteadyMs,
      errors: 0,
      idleSince: now,
      placements: new Set(),
      strangers: [],
      rounds: 0,
      images: new Map(),
      returnAt: undefined,
      probedAt: undefined,
    };
    for (const i of this.imagesKept.get(id) ?? []) machine.images.set(i.name, i.gb);
    this.machines.set(id, machine);
    return machine;
  }

  place(
    job: Job,
    index: TaskIndex,
    attempt: Attempt,
    machine: Machine,
    session: Session,
    plan: PlanId,
    now: SteadyMs,
  ): Placement {
    const placement: Placement = {
      job,
      index,
      attempt,
      machine,
      session,
      plan,
      since: now,
      sentSeq: undefined,
      order: undefined,
      seen: false,
      state: undefined,
      runningSince: undefined,
      stop: undefined,
      ended: undefined,
    };
    job.placements.set(index, placement);
    machine.placements.add(placement);
    return placement;
  }

  /** Proof that the task is off its machine. The task is not free for another plan before it is settled. */
  end(p: Placement, how: NonNullable<Placement['ended']>['how'], now: SteadyMs): void {
    if (p.ended) return;
    // A floating start could still run after this end; only the machine's or session's end rules that out.
    if (p.order !== undefined && how !== 'gone') return;
    p.ended = { how, at: now };
    this.unsettled.add(p);
    if (![...p.machine.placements].some((q) => !q.ended)) p.machine.idleSince = now;
  }

  /** The store holds the end of this placement: the task is done, or waits again. */
  settle(p: Placement): void {
    this.unsettled.delete(p);
    p.machine.placements.delete(p);
    if (p.job.placements.get(p.index) === p) p.job.placements.delete(p.index);
    if (p.index < p.job.cursor) p.job.cursor = p.index;
  }

  /** The image was used there just now; the cache keeps the most recently used ones. */
  noteImage(machine: Machine, image: ImageName, gb: number, cacheGb: number): void {
    const known = machine.images.delete(image);
    machine.images.set(image, gb);
    if (known) return;
    this.imagesChanged.add(machine);
    let sum = 0;
    for (const size of machine.images.values()) sum += size;
    for (const [oldest, size] of machine.images) {
      if (sum <= cacheGb || oldest === image) break;
      machine.images.delete(oldest);
      sum -= size;
    }
  }

  noteEnded(id: JobId): void {
    this.ended.add(id);
    if (this.ended.size <= ENDED_KEPT) return;
    const oldest = this.ended.values().next().value;
    if (oldest !== undefined) this.ended.delete(oldest);
  }

  /** A machine and everything on it is gone. */
  removeMachine(machine: Machine, now: SteadyMs): void {
    for (const p of machine.placements) this.end(p, 'gone', now);
    machine.state = 'gone';
    this.machines.delete(machine.id);
    this.imagesChanged.delete(machine);
    this.imagesGone.add(machine.id);
  }
}

/** Waiting tasks in order, at most `limit`. */
export function waitingTasks(job: Job, limit: number): TaskIndex[] {
  const out: TaskIndex[] = [];
  let first = true;
  for (let i = job.cursor; i < job.spec.tasks && out.length < limit; i++) {
    if (job.done.has(i) || job.placements.has(i as TaskIndex)) continue;
    if (first) {
      job.cursor = i;
      first = false;
    }
    out.push(i as TaskIndex);
  }
  if (first) job.cursor = Math.max(job.cursor, out.length === 0 && limit > 0 ? job.spec.tasks : job.cursor);
  return out;
}

export interface Use {
  cpus: number;
  gpus: number;
}

/** The quota ledger: what each team's tasks use, counting all that is possibly on a machine. */
export function teamUse(world: World): Map<TeamName, Use> {
  const use = new Map<TeamName, Use>();
  const add = (spec: JobSpec, n: number): void => {
    const u = use.get(spec.team) ?? { cpus: 0, gpus: 0 };
    u.cpus += n * spec.cpus;
    u.gpus += n * spec.gpus;
    use.set(spec.team, u);
  };
  for (const job of world.jobs.values()) {
    let n = 0;
    for (const p of job.placements.values()) if (!p.ended) n++;
    if (n > 0) add(job.spec, n);
  }
  for (const machine of world.machines.values()) {
    for (const s of machine.strangers) {
      const job = world.jobs.get(s.job);
      if (job) add(job.spec, 1);
    }
  }
  return use;
}
