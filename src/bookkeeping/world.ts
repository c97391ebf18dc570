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
import type { ReportedTask } from '../protocol/workers.js';
import { CardSeconds } from './card-seconds.js';
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
  /** The token it was sent under: a worker that obeys a higher one drops it. */
  orderTerm: Term | undefined;
  /** True once a report showed the task under this session. */
  seen: boolean;
  state: TaskState | undefined;
  /** When its worker first showed it, and first showed it with its image. */
  shownSince: SteadyMs | undefined;
  fetchedSince: SteadyMs | undefined;
  runningSince: SteadyMs | undefined;
  /** It was stopped with its progress saved. */
  saved: boolean;
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
  /** Faults in all that this holder saw. */
  faults: number;
  /** Given up for now: its tasks are not placed, and it claims nothing of its team's guarantee. */
  parked: boolean;
  notBefore: SteadyMs;
  /** Machines that refused or failed a task of this job lately. */
  readonly avoid: Map<MachineId, SteadyMs>;
  /** Finish records of this job alone that exist in the store. */
  readonly finishChunks: Set<number>;
  /** Shared finish records in the store that mention this job. */
  readonly finishNotes: Set<StoreKey>;
  everStarted: boolean;
}

export interface Stranger {
  readonly job: JobId;
  readonly index: TaskIndex;
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
  trustedAt: SteadyMs;
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
  /** What its live placements take together, and how many they are. Kept by `World` alone. */
  readonly used: { cpus: number; gpus: number; memoryGb: number; tasks: number; services: number };
  /** Tasks reported that no live plan put there and that have not exited. */
  strangers: readonly Stranger[];
  /** A round that is being committed puts tasks here; it must not be returned as idle meanwhile. */
  rounds: number;
  /** Images seen running here, oldest first, with their sizes. */
  readonly images: Map<ImageName, number>;
  /**
   * Tasks of a report that agreed with the books and called for nothing. The same ones again do so too, until
   * something changes here for this machine. Kept by `World` and the loop that matches reports.
   */
  calm: readonly ReportedTask[] | undefined;
  returnAt: SteadyMs | undefined;
  probedAt: SteadyMs | undefined;
}

export interface PlanState {
  readonly id: PlanId;
  /** Tasks of it not settled yet. */
  open: number;
  /** Shared finish records that say which of its tasks went back to waiting. */
  readonly notes: Set<StoreKey>;
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

  readonly cardSeconds = new CardSeconds();

  /** Reported tasks that were looked up one by one; for the tests that keep this small. */
  matched = 0;

  /** Some machine's images changed since they were last written down. */
  imagesChanged = false;
  /** What earlier terms wrote down of machines not known here yet. */
  readonly imagesKept = new Map<MachineId, { name: ImageName; gb: number }[]>();

  // Indexes, kept as the world changes: at a thousand machines nothing may walk them all per report or round.
  /** What each team's live placements use. */
  readonly use = new Map<TeamName, Use>();
  /** Machines that hold an image or are fetching it for a task; cleaned when read. */
  private readonly likely = new Map<ImageName, Set<Machine>>();
  /** Placements whose worker was not told to stop them yet. */
  readonly stopping = new Set<Placement>();
  /** Jobs that had a fault which nobody has looked at yet. */
  readonly faulty = new Set<Job>();
  /** Jobs that have started, and since when, whose rows don't say so yet; the first to start comes first. */
  readonly unstamped = new Map<Job, SteadyMs>();
  /** Machines with tasks that no live plan put there. */
  readonly estranged = new Set<Machine>();
  readonly noticed = new Set<Machine>();
  /** Starts whose answer was lost; they may still run until their worker obeys a higher token. */
  readonly floating = new Set<Placement>();
  /** Live jobs and plans that each shared finish record mentions; it is garbage when none is left. */
  readonly finishNotes = new Map<StoreKey, Set<JobId | PlanId>>();

  /** The holder's own term; it rises with the token. */
  constructor(public term: Term) {
    this.since = term;
  }

  /** The token at which this holder's knowledge began: nothing that it didn't send itself carries this or a higher one. */
  readonly since: Term;

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
      faults: 0,
      parked: false,
      notBefore: 0 as SteadyMs,
      avoid: new Map(),
      finishChunks: new Set(),
      finishNotes: new Set(),
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
      trustedAt: 0 as SteadyMs,
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
      used: { cpus: 0, gpus: 0, memoryGb: 0, tasks: 0, services: 0 },
      strangers: [],
      rounds: 0,
      images: new Map(),
      calm: undefined,
      returnAt: undefined,
      probedAt: undefined,
    };
    for (const i of this.imagesKept.get(id) ?? []) {
      machine.images.set(i.name, i.gb);
      this.holds(machine, i.name);
    }
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
      orderTerm: undefined,
      seen: false,
      state: undefined,
      shownSince: undefined,
      fetchedSince: undefined,
      runningSince: undefined,
      saved: false,
      stop: undefined,
      ended: undefined,
    };
    job.placements.set(index, placement);
    if (job.row.state === 'queued' && !this.unstamped.has(job)) this.unstamped.set(job, now);
    job.everStarted = true;
    machine.placements.add(placement);
    machine.calm = undefined;
    this.charge(placement, 1);
    this.holds(machine, job.spec.image);
    return placement;
  }

  private charge(p: Placement, sign: 1 | -1): void {
    const { spec } = p.job;
    const { used } = p.machine;
    used.cpus += sign * spec.cpus;
    used.gpus += sign * spec.gpus;
    used.memoryGb += sign * spec.memoryGb;
    used.tasks += sign;
    if (spec.kind === 'service') used.services += sign;
    const use = this.use.get(spec.team) ?? { cpus: 0, gpus: 0 };
    use.cpus += sign * spec.cpus;
    use.gpus += sign * spec.gpus;
    this.use.set(spec.team, use);
    // Sums of fractions drift; an empty machine is empty.
    if (used.tasks === 0) Object.assign(used, { cpus: 0, gpus: 0, memoryGb: 0 });
  }

  /** Asks for a placement to be stopped; an earlier, gentler wish gives way to a cancellation only. */
  stop(p: Placement, graceS: number, why: string, at: SteadyMs): void {
    if (p.stop && !(why === 'cancelled' && p.stop.why !== 'cancelled')) return;
    p.stop = { graceS, why, at, ordered: false };
    p.machine.calm = undefined;
    if (!p.ended) this.stopping.add(p);
  }

  float(p: Placement): void {
    p.order = 'floating';
    p.machine.calm = undefined;
    this.floating.add(p);
  }

  /** The order ran, was refused, or can't run any more. */
  land(p: Placement): void {
    p.order = undefined;
    this.floating.delete(p);
  }

  /** Replaced in the books by a later plan, which had proof that it was gone. */
  forgetPlacement(p: Placement): void {
    if (!p.ended) this.charge(p, -1);
    p.machine.placements.delete(p);
    this.dropFromSets(p);
  }

  private dropFromSets(p: Placement): void {
    p.machine.calm = undefined;
    this.unsettled.delete(p);
    this.stopping.delete(p);
    this.floating.delete(p);
  }

  setStrangers(machine: Machine, strangers: readonly Stranger[]): void {
    machine.strangers = strangers;
    if (strangers.length > 0) this.estranged.add(machine);
    else this.estranged.delete(machine);
  }

  /** Proof that the task is off its machine. The task is not free for another plan before it is settled. */
  end(p: Placement, how: NonNullable<Placement['ended']>['how'], now: SteadyMs): void {
    if (p.ended) return;
    // A floating start could still run after this end; only the machine's or session's end rules that out.
    if (p.order !== undefined && how !== 'gone') return;
    p.ended = { how, at: now };
    this.cardSeconds.ended(p, now);
    p.machine.calm = undefined;
    this.charge(p, -1);
    this.stopping.delete(p);
    this.floating.delete(p);
    this.unsettled.add(p);
    if (p.machine.used.tasks === 0) p.machine.idleSince = now;
  }

  /** The store holds the end of this placement: the task is done, or waits again. */
  settle(p: Placement): void {
    this.dropFromSets(p);
    p.machine.placements.delete(p);
    if (p.job.placements.get(p.index) === p) p.job.placements.delete(p.index);
    if (p.index < p.job.cursor) p.job.cursor = p.index;
  }

  /** The image was used there just now; the cache keeps the most recently used ones. */
  noteImage(machine: Machine, image: ImageName, gb: number, cacheGb: number): void {
    const known = machine.images.delete(image);
    machine.images.set(image, gb);
    if (known) return;
    this.holds(machine, image);
    this.imagesChanged = true;
    let sum = 0;
    for (const size of machine.images.values()) sum += size;
    for (const [oldest, size] of machine.images) {
      if (sum <= cacheGb || oldest === image) break;
      machine.images.delete(oldest);
      sum -= size;
    }
  }

  private holds(machine: Machine, image: ImageName): void {
    const all = this.likely.get(image);
    if (all) all.add(machine);
    else this.likely.set(image, new Set([machine]));
  }

  /** Machines that hold the image, or fetch it just now for a task that is to run there. */
  *withImage(image: ImageName): IterableIterator<Machine> {
    const all = this.likely.get(image);
    if (!all) return;
    for (const m of all) {
      if (m.state !== 'gone' && (m.images.has(image) || fetches(m, image))) yield m;
      else all.delete(m);
    }
  }

  /** The job is over: shared finish records that mention no other live job are garbage. */
  dropJob(job: Job): void {
    this.jobs.delete(job.id);
    this.unstamped.delete(job);
    this.faulty.delete(job);
    for (const key of job.finishNotes) this.unmention(job, key);
  }

  mention(job: Job, key: StoreKey): void {
    job.finishNotes.add(key);
    this.mentioned(key).add(job.id);
  }

  mentionPlan(plan: PlanState, key: StoreKey): void {
    plan.notes.add(key);
    this.mentioned(key).add(plan.id);
  }

  private mentioned(key: StoreKey): Set<JobId | PlanId> {
    let all = this.finishNotes.get(key);
    if (!all) this.finishNotes.set(key, (all = new Set()));
    return all;
  }

  unmention(job: Job, key: StoreKey): void {
    job.finishNotes.delete(key);
    this.release(key, job.id);
  }

  private release(key: StoreKey, id: JobId | PlanId): void {
    const all = this.finishNotes.get(key);
    all?.delete(id);
    if (all && all.size > 0) return;
    this.finishNotes.delete(key);
    this.garbage.add(key);
  }

  /**
   * All tasks of the plan are settled. Its keys go before any record that says so: a plan read without it would
   * count its tasks as possibly running. Garbage is removed in this order.
   */
  dropPlan(plan: PlanState, keys: readonly StoreKey[]): void {
    this.plans.delete(plan.id);
    for (const key of keys) this.garbage.add(key);
    for (const key of plan.notes) this.release(key, plan.id);
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
    this.noticed.delete(machine);
    this.estranged.delete(machine);
  }
}

const fetches = (m: Machine, image: ImageName): boolean => {
  for (const p of m.placements) if (!p.ended && p.job.spec.image === image) return true;
  return false;
};

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

/** Tasks of the job that wait for a place. */
export const waitingCount = (job: Job): number =>
  job.parked ? 0 : job.spec.tasks - job.done.count - job.placements.size;

/** The quota ledger: what each team's tasks use, counting all that is possibly on a machine. */
export function teamUse(world: World): Map<TeamName, Use> {
  const use = new Map<TeamName, Use>();
  for (const [team, u] of world.use) use.set(team, { ...u });
  for (const machine of world.estranged) {
    for (const s of machine.strangers) {
      const spec = world.jobs.get(s.job)?.spec;
      if (!spec) continue;
      const u = use.get(spec.team) ?? { cpus: 0, gpus: 0 };
      u.cpus += spec.cpus;
      u.gpus += spec.gpus;
      use.set(spec.team, u);
    }
  }
  return use;
}
