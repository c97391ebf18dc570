import type { SteadyMs } from '../transport/clock.js';
import type { MachineType } from '../protocol/cloud.js';
import type { ImageName, JobId, TaskIndex, TeamName, TypeName, ZoneName } from '../protocol/ids.js';
import { priorityRank, type JobSpec } from '../protocol/jobs.js';
import type { Settings, TeamLimits } from '../protocol/settings.js';
import type { Estimates } from '../bookkeeping/estimates.js';
import {
  teamUse,
  waitingCount,
  waitingTasks,
  type Job,
  type Machine,
  type Placement,
  type Use,
  type World,
} from '../bookkeeping/world.js';
import { actualWidth, type WidthRules } from './elastic/index.js';
import { graceOf as elasticGraceOf } from './elastic/reclaims.js';
import { roomFor, Rooms, type Need, type Room } from './rooms.js';

/** What a round is planned from. The planner only reads it, and the same snapshot gives the same plan. */
export interface Snapshot {
  readonly now: SteadyMs;
  readonly world: World;
  readonly types: ReadonlyMap<TypeName, MachineType>;
  readonly teams: ReadonlyMap<TeamName, TeamLimits>;
  /** Machines that did not report for so long get no new tasks. */
  readonly staleMs: number;
  /** Time since then in which this process could hear: its own lateness is no machine's silence. */
  readonly silentMs: (then: SteadyMs) => number;
  readonly maxTasks: number;
  readonly maxJobs: number;
  /** How long a job waits before running work is stopped for it. */
  readonly preemptAfterMs: number;
  readonly estimates: Estimates;
  readonly aims: StartAims;
  /** Jobs within their team's guarantee, where the caller knows them already. */
  readonly within?: ReadonlySet<JobId>;
  /** Of elastic jobs: how wide they may be, and what of them is lent. */
  readonly widths?: WidthRules | undefined;
  /** Zones that have fallen silent: nothing new goes there. */
  readonly quietZones?: ReadonlySet<ZoneName>;
}

/** How soon work should start, as the settings' objectives say. */
export interface StartAims {
  readonly byClass: ReadonlyMap<string, number>;
  readonly guaranteeS: number | undefined;
  /** Seconds from submission by which jobs of a class should be finished, shortest first. */
  readonly finishByClass: ReadonlyMap<string, readonly number[]>;
}

export function startAims(objectives: Settings['objectives']): StartAims {
  const byClass = new Map<string, number>();
  const finishByClass = new Map<string, number[]>();
  let guaranteeS: number | undefined;
  for (const o of objectives) {
    if (o.withinS === undefined) continue;
    if (o.kind === 'guarantee') guaranteeS = Math.min(o.withinS, guaranteeS ?? Infinity);
    if (o.kind === 'finished' && o.class !== undefined) {
      const all = [...(finishByClass.get(o.class) ?? []), o.withinS].sort((a, b) => a - b);
      finishByClass.set(o.class, all);
    }
    if (o.kind !== 'wait' || o.class === undefined) continue;
    byClass.set(o.class, Math.min(o.withinS, byClass.get(o.class) ?? Infinity));
  }
  return { byClass, guaranteeS, finishByClass };
}

/** Without an aim, work may wait this long for room before other work is stopped for it. */
const PATIENT_S = 15;
/** Share of an aim's time that may pass in the hope of room that others give back. */
const HOPE = 0.6;
/** What is lent is taken back before anything else of the same loss. */
const LENT_COST = 0.1;
/** A fetch shorter than this is never worth stopping other work. */
const WORTH_A_STOP_S = 3;

export interface PlannedTask {
  readonly job: Job;
  readonly index: TaskIndex;
  readonly machine: Machine;
}

export type WaitReason =
  'team limit' | 'no room' | 'backing off' | 'old attempt not gone' | 'round full' | 'no idle room';

export interface Unplaced {
  readonly job: Job;
  readonly count: number;
  readonly reason: WaitReason;
}

export interface RoundPlan {
  readonly tasks: readonly PlannedTask[];
  readonly stops: readonly {
    readonly placement: Placement;
    readonly graceS: number;
    readonly forJob: JobId;
  }[];
  readonly unplaced: readonly Unplaced[];
  /** How often a room was looked into for tasks to stop: most of what a round costs when all is full. */
  readonly searched: number;
}

const EPS = 1e-9;

export { roomFor };

export const fitsType = (s: JobSpec, t: MachineType): boolean =>
  (s.types === null || s.types.includes(t.name)) && roomFor(t, s);

/** Stopping a task so that its progress is kept, where it can save at all. */
export const graceOf = (s: JobSpec): number => (s.checkpointS > 0 ? s.saveS * 1.5 + 2 : 0);

/**
 * Jobs that fit into their team's guarantee: together with the team's earlier unfinished jobs, as the users
 * count it, or together with its jobs of higher priority. A team's urgent work isn't pushed out of what the
 * team is owed by its own older arrays.
 */
export function withinGuarantee(
  jobs: Iterable<Job>,
  teams: ReadonlyMap<TeamName, TeamLimits>,
): ReadonlySet<JobId> {
  const byAge = [...jobs].sort((a, b) => a.row.acceptedAt - b.row.acceptedAt || (a.id < b.id ? -1 : 1));
  const byPriority = [...byAge].sort((a, b) => priorityRank(a.spec.priority) - priorityRank(b.spec.priority));
  const within = new Set<JobId>();
  for (const order of [byAge, byPriority]) fillGuarantees(order, teams, within);
  return within;
}

function fillGuarantees(
  order: readonly Job[],
  teams: ReadonlyMap<TeamName, TeamLimits>,
  within: Set<JobId>,
): void {
  const sums = new Map<TeamName, Use>();
  for (const job of order) {
    if (job.cancelledAt !== undefined || job.parked) continue;
    const team = teams.get(job.spec.team);
    if (!team || (team.cpus <= 0 && team.gpus <= 0)) continue;
    const use = sums.get(job.spec.team) ?? { cpus: 0, gpus: 0 };
    const n = job.spec.tasks - job.done.count;
    use.cpus += n * job.spec.cpus;
    use.gpus += n * job.spec.gpus;
    sums.set(job.spec.team, use);
    if ((team.cpus <= 0 || use.cpus <= team.cpus + EPS) && (team.gpus <= 0 || use.gpus <= team.gpus + EPS)) {
      within.add(job.id);
    }
  }
}

/**
 * Production work first, whatever its team is owed: a missing replica is an outage, and replicas are small
 * beside the rest. Then guarantees, then priority, then what is due first, then age.
 */
export const jobOrder =
  (within: ReadonlySet<JobId>, due: (job: Job) => number = () => 0) =>
  (a: Job, b: Job): number =>
    Number(isProduction(b)) - Number(isProduction(a)) ||
    Number(within.has(b.id)) - Number(within.has(a.id)) ||
    priorityRank(a.spec.priority) - priorityRank(b.spec.priority) ||
    due(a) - due(b) ||
    a.row.acceptedAt - b.row.acceptedAt ||
    (a.id < b.id ? -1 : 1);

/** Later than any time that is due. */
const NEVER = Number.MAX_SAFE_INTEGER;

/**
 * When an array or gang is due: its own deadline, or the first of its class's aims that it can still make. Work
 * that can make none goes last among its equals, since serving it first would only make others late too.
 */
function dueAt(job: Job, s: Snapshot): number {
  const { spec } = job;
  const runS = s.estimates.of(spec);
  const age = (s.now - job.acceptedAt) / 1000;
  const aims = spec.deadlineS !== null ? [spec.deadlineS] : (s.aims.finishByClass.get(spec.class) ?? []);
  if (spec.kind === 'service' || aims.length === 0) return job.acceptedAt + 2 * runS * 1000;
  const aim = aims.find((a) => age + runS <= a);
  return aim === undefined ? NEVER : job.acceptedAt + aim * 1000;
}

const isProduction = (job: Job): boolean => job.spec.priority === 'production';

export const usable = (
  m: Machine,
  s: Pick<Snapshot, 'now' | 'staleMs' | 'silentMs' | 'quietZones'>,
): boolean =>
  m.state === 'up' &&
  m.trusted &&
  m.lastReport !== undefined &&
  s.silentMs(m.lastReport) <= s.staleMs &&
  m.noticeAt === undefined &&
  m.suspectUntil <= s.now &&
  !s.quietZones?.has(m.zone) &&
  m.strangers.length === 0;

/** Tasks of the job possibly on machines, by zone; what is proven off doesn't bind. */
function zonesOf(job: Job): Map<ZoneName, number> {
  const zones = new Map<ZoneName, number>();
  for (const p of job.placements.values()) {
    if (!p.ended) zones.set(p.machine.zone, (zones.get(p.machine.zone) ?? 0) + 1);
  }
  return zones;
}

/** A job is bound by its own tasks elsewhere: one zone for all, or at most half, rounded up, in one. */
export function zoneAllowed(spec: JobSpec, zones: ReadonlyMap<ZoneName, number>, zone: ZoneName): boolean {
  if (spec.zone !== null && spec.zone !== zone) return false;
  if (spec.oneZone) for (const z of zones.keys()) if (z !== zone) return false;
  if (spec.spread) {
    const here = (zones.get(zone) ?? 0) + 1;
    let on = 1;
    for (const n of zones.values()) on += n;
    if (here > Math.ceil(on / 2)) return false;
  }
  return true;
}

/**
 * A placement may be stopped for a job: lower priority, or borrowed room claimed by a guarantee. Only for a
 * job that the order puts before it: else the stopped task, being first in the next round, takes the room
 * again, and both go round for ever (seen: a thousand starts lost in one day).
 */
function preemptible(
  p: Placement,
  job: Job,
  within: ReadonlySet<JobId>,
  order: (a: Job, b: Job) => number,
): boolean {
  if (p.ended || p.job.id === job.id) return false;
  const lower = priorityRank(p.job.spec.priority) > priorityRank(job.spec.priority);
  const owed = (): boolean =>
    within.has(job.id) && !within.has(p.job.id) && p.job.spec.team !== job.spec.team;
  // The order is asked last: it costs most, and a full fleet asks for every task of every machine.
  return (lower || owed()) && order(p.job, job) >= 0;
}

/** Work lost by stopping: what ran since the last checkpoint, by the room it took. */
function lossOf(p: Placement, now: SteadyMs): number {
  const ran = p.runningSince === undefined ? 0 : (now - p.runningSince) / 1000;
  const lost = p.job.spec.checkpointS > 0 ? p.job.spec.saveS : ran;
  return (1 + lost) * (p.job.spec.gpus + p.job.spec.cpus / 100);
}

/** Jobs of each sort for which a round looks into stopping others: the first in order; the rest has its turn in later rounds. */
const MOST_SEARCHES = 24;

/** What a failed search says of others like it: no room for so much, of such kinds, in such zones. */
interface Shape {
  readonly kinds: string;
  readonly need: Need;
}

class RoundPlanner {
  readonly rooms = new Rooms();
  readonly tasks: PlannedTask[] = [];
  readonly stops: { placement: Placement; graceS: number; forJob: JobId }[] = [];
  readonly unplaced: Unplaced[] = [];
  private readonly use: Map<TeamName, Use>;
  private readonly within: ReadonlySet<JobId>;
  private readonly jobsInRound = new Set<JobId>();
  private readonly order: (a: Job, b: Job) => number;
  private readonly strangers = new Set<string>();
  private readonly full: Shape[] = [];
  private readonly vain: Shape[] = [];
  private searched = 0;
  private readonly coldOnly = new Set<JobId>();
  private readonly searches = { gangs: 0, others: 0 };
  private releases:
    { readonly room: Room; readonly spec: JobSpec; readonly inS: number; taken: boolean }[] | undefined;

  constructor(private readonly s: Snapshot) {
    this.use = teamUse(s.world);
    this.within = s.within ?? withinGuarantee(s.world.jobs.values(), s.teams);
    const due = new Map<Job, number>();
    this.order = jobOrder(this.within, (job) => {
      let at = due.get(job);
      if (at === undefined) due.set(job, (at = dueAt(job, s)));
      return at;
    });
    for (const m of s.world.estranged) {
      for (const t of m.strangers) this.strangers.add(`${t.job}/${t.index}`);
    }
    for (const m of s.world.machines.values()) {
      const type = s.types.get(m.type);
      if (type && usable(m, s)) this.rooms.add(m, type);
    }
  }

  private occupy(room: Room, s: JobSpec, n: number): void {
    this.rooms.occupy(room, s, n);
  }

  private underLimit(s: JobSpec, n: number): boolean {
    const team = this.s.teams.get(s.team);
    if (!team) return false;
    const use = this.use.get(s.team) ?? { cpus: 0, gpus: 0 };
    return (
      (team.cpusMax <= 0 || use.cpus + n * s.cpus <= team.cpusMax + EPS) &&
      (team.gpusMax <= 0 || use.gpus + n * s.gpus <= team.gpusMax + EPS)
    );
  }

  /** How many more tasks of the kind the team's limit allows. */
  private allowance(s: JobSpec): number {
    const team = this.s.teams.get(s.team);
    const use = this.use.get(s.team) ?? { cpus: 0, gpus: 0 };
    const of = (max: number, used: number, each: number): number =>
      max <= 0 || each <= 0 ? Infinity : Math.max(0, Math.floor((max - used) / each + EPS));
    return team ? Math.min(of(team.cpusMax, use.cpus, s.cpus), of(team.gpusMax, use.gpus, s.gpus)) : 0;
  }

  private charge(s: JobSpec, n: number): void {
    const use = this.use.get(s.team) ?? { cpus: 0, gpus: 0 };
    use.cpus += n * s.cpus;
    use.gpus += n * s.gpus;
    this.use.set(s.team, use);
  }

  run(): RoundPlan {
    const waiting: Job[] = [];
    for (const job of this.s.world.jobs.values()) {
      if (job.cancelledAt === undefined && waitingCount(job) > 0) waiting.push(job);
    }
    waiting.sort(this.order);
    // What elastic jobs take beyond their least is what nobody else had a use for.
    if (this.s.widths) waiting.sort((a, b) => Number(this.grows(a)) - Number(this.grows(b)));
    for (let i = 0; i < waiting.length;) {
      const equals = this.equalArrays(waiting, i);
      const overdue = new Set<Job>();
      if (equals.length > 1) {
        for (const job of equals) {
          if (this.overdue(job)) overdue.add(job);
          this.planJob(job, !overdue.has(job));
        }
      }
      for (const job of equals) if (!overdue.has(job)) this.planJob(job);
      i += equals.length;
    }
    return {
      tasks: this.tasks,
      stops: this.stops,
      unplaced: this.unplaced,
      searched: this.searched,
    };
  }

  /** The job at this place of the order, with the arrays behind it that only their due time puts behind it. */
  private equalArrays(waiting: readonly Job[], from: number): readonly Job[] {
    const first = waiting[from]!;
    let to = from + 1;
    if (first.spec.kind === 'array') {
      const same = (j: Job): boolean =>
        j.spec.kind === 'array' &&
        j.spec.priority === first.spec.priority &&
        this.within.has(j.id) === this.within.has(first.id);
      while (to < waiting.length && same(waiting[to]!)) to++;
    }
    return waiting.slice(from, to);
  }

  /**
   * Among equal arrays, room goes to those whose image is there before any goes to one that would have to fetch it: in a
   * full fleet each freed card went to whatever was due first, and a fifth of all card time was spent on fetches. No job
   * stands back for longer than half of what its class may take.
   */
  private overdue(job: Job): boolean {
    const aims = this.s.aims.finishByClass.get(job.spec.class);
    const most = aims && aims.length > 0 ? aims[aims.length - 1]! : (job.spec.deadlineS ?? PATIENT_S);
    return this.s.now - job.acceptedAt > most * 500;
  }

  /** Beyond its least, an elastic job takes idle room only: nothing is stopped or rented for it. */
  private grows(job: Job): boolean {
    return (
      job.spec.elastic !== undefined &&
      this.s.widths !== undefined &&
      actualWidth(job) >= job.spec.elastic.least
    );
  }

  /** Up to its least first, as ordinary work; what goes beyond is for a round that finds it there. */
  private widthLeft(job: Job): number {
    const room = this.s.widths?.room(job);
    if (room === undefined) return Infinity;
    const toLeast = (job.spec.elastic?.least ?? 0) - actualWidth(job);
    return (toLeast > 0 ? Math.min(room, toLeast) : room) - (this.placed.get(job)?.size ?? 0);
  }

  /** How many tasks of each elastic job this round has asked back. */
  private readonly askedBack = new Map<Job, number>();

  private isLent(p: Placement): boolean {
    const { widths } = this.s;
    return (
      p.job.spec.elastic !== undefined && !!widths && widths.lent(p.job) > (this.askedBack.get(p.job) ?? 0)
    );
  }

  private stop(p: Placement, job: Job): void {
    if (p.job.spec.elastic) this.askedBack.set(p.job, (this.askedBack.get(p.job) ?? 0) + 1);
    const graceS = p.job.spec.elastic ? elasticGraceOf(p.job.spec) : graceOf(p.job.spec);
    this.stops.push({ placement: p, graceS, forJob: job.id });
  }

  /** Lent room is given back to whoever is no elastic job itself; else what the order allows. */
  private mayStop(p: Placement, job: Job): boolean {
    if (!p.ended && !job.spec.elastic && this.isLent(p)) return true;
    return preemptible(p, job, this.within, this.order);
  }

  /** Tasks of each job that this round has a place for already, and the zones of those and of all before them. */
  private readonly placed = new Map<Job, Set<TaskIndex>>();
  private readonly zonesSoFar = new Map<Job, Map<ZoneName, number>>();

  private planJob(job: Job, warmOnly = false): void {
    const { spec } = job;
    const before = this.placed.get(job);
    const count = Math.min(waitingCount(job) - (before?.size ?? 0), this.widthLeft(job));
    if (count <= 0) return;
    const grows = this.grows(job);
    const put = (reason: WaitReason, n: number): void => {
      if (warmOnly) return;
      // What the team's limit keeps from running anyway needs no room, and above all no rented machine.
      const allowed = reason === 'no room' ? Math.min(n, this.allowance(spec)) : n;
      if (allowed > 0) this.unplaced.push({ job, count: allowed, reason });
      if (allowed < n) this.unplaced.push({ job, count: n - allowed, reason: 'team limit' });
    };
    if (job.notBefore > this.s.now) return put('backing off', count);
    if (spec.kind === 'gang') return this.planGang(job, count, put);
    if (!this.underLimit(spec, 1)) return put('team limit', count);
    if (!this.roundHasRoom(job, 1)) return put('round full', count);
    const zones = this.zonesSoFar.get(job) ?? zonesOf(job);
    this.zonesSoFar.set(job, zones);
    const kinds = this.kindsOf(job, zones);
    if (kinds !== undefined && this.knownFull(kinds, spec)) {
      if (grows) return put('no idle room', count);
      if (!warmOnly) this.makeRoom(job, count);
      return put('no room', count);
    }
    const left = Math.max(1, this.s.maxTasks - this.tasks.length);
    // By name, not by number: a pass may leave out a task and place the next (seen: tasks in one plan twice).
    const waiting = waitingTasks(job, left + (before?.size ?? 0))
      .filter((i) => !before?.has(i) && !this.strangers.has(`${job.id}/${i}`))
      .slice(0, count);
    const images = this.imageRooms(job);
    if (warmOnly && images.length === 0) return;
    let kept = 0;
    for (let k = 0; k < waiting.length; k++) {
      const rest = count - k;
      if (!this.underLimit(spec, 1)) return put('team limit', rest + kept);
      if (!this.roundHasRoom(job, 1)) return put('round full', rest + kept);
      const room = warmOnly ? this.warmest(job, zones, images) : this.pick(job, zones, images);
      if (!room) {
        if (warmOnly) return;
        if (grows) return put('no idle room', rest + kept);
        if (kinds !== undefined && k === 0) this.full.push({ kinds, need: spec });
        this.makeRoom(job, rest);
        return put('no room', rest + kept);
      }
      if (!this.holdsImage(room.machine, job) && this.warmRoom(job, zones)) {
        kept++;
        continue;
      }
      zones.set(room.machine.zone, (zones.get(room.machine.zone) ?? 0) + 1);
      this.accept(job, [waiting[k]!], [room]);
      if (!images.includes(room)) images.push(room);
    }
    const rest = count - waiting.length;
    if (rest + kept > 0) put('round full', rest + kept);
  }

  private planGang(job: Job, count: number, put: (reason: WaitReason, n: number) => void): void {
    const { spec } = job;
    // All or nothing: a new attempt starts when the old one is gone to the last task.
    if (job.placements.size > 0 || job.done.count > 0) return put('old attempt not gone', count);
    if (!this.underLimit(spec, spec.tasks)) return put('team limit', count);
    if (!this.roundHasRoom(job, spec.tasks)) return put('round full', count);
    const waiting = waitingTasks(job, spec.tasks).filter((i) => !this.strangers.has(`${job.id}/${i}`));
    if (waiting.length < spec.tasks) return put('old attempt not gone', count);
    const single = spec.tasks === 1 ? this.kindsOf(job, new Map()) : undefined;
    if (single !== undefined && this.knownFull(single, spec)) {
      this.makeRoom(job, 1);
      return put('no room', count);
    }
    const chosen = this.placeGang(job, waiting);
    if (!chosen) {
      if (single !== undefined) this.full.push({ kinds: single, need: spec });
      this.makeRoom(job, waiting.length);
      return put('no room', count);
    }
    if (spec.tasks === 1 && !this.holdsImage(chosen[0]!.machine, job)) {
      this.occupy(chosen[0]!, spec, -1);
      if (this.warmRoom(job, zonesOf(job))) return put('no room', count);
      this.occupy(chosen[0]!, spec, 1);
    }
    this.accept(job, waiting, chosen);
  }

  /** Jobs that may go to just the same machines share this key; undefined where zones or machines are its own. */
  private kindsOf(job: Job, zones: ReadonlyMap<ZoneName, number>): string | undefined {
    const { spec } = job;
    for (const until of job.avoid.values()) if (until > this.s.now) return undefined;
    if ((spec.spread || spec.oneZone) && zones.size > 0) return undefined;
    return `${spec.spot}/${spec.zone ?? '*'}/${spec.types?.join(',') ?? '*'}`;
  }

  private knownFull(kinds: string, need: Need): boolean {
    return this.full.some((f) => f.kinds === kinds && roomFor(need, f.need));
  }

  private roundHasRoom(job: Job, n: number): boolean {
    const first = this.tasks.length === 0;
    if (!this.jobsInRound.has(job.id) && this.jobsInRound.size >= this.s.maxJobs) return false;
    return first || this.tasks.length + n <= this.s.maxTasks;
  }

  private accept(job: Job, indices: readonly TaskIndex[], rooms: readonly Room[]): void {
    this.jobsInRound.add(job.id);
    const placed = this.placed.get(job);
    if (placed) for (const i of indices) placed.add(i);
    else this.placed.set(job, new Set(indices));
    indices.forEach((index, k) => this.tasks.push({ job, index, machine: rooms[k]!.machine }));
    for (let k = 0; k < indices.length; k++) {
      if (job.spec.kind !== 'gang') this.occupy(rooms[k]!, job.spec, 1);
      this.rooms.placed(rooms[k]!, job.spec);
    }
    this.charge(job.spec, indices.length);
  }

  private eligible(job: Job, zones: ReadonlyMap<ZoneName, number>, room: Room): boolean {
    const { spec } = job;
    const m = room.machine;
    if (m.spot && !spec.spot) return false;
    if (spec.types !== null && !spec.types.includes(m.type)) return false;
    if ((job.avoid.get(m.id) ?? 0) > this.s.now) return false;
    if (spec.elastic && this.s.widths?.closing(m.id)) return false;
    return zoneAllowed(spec, zones, m.zone);
  }

  /**
   * The design's rule: a machine that holds the image, else the one with most free room. Before it comes,
   * as an extension, the kind of machine: work that fits a small type leaves the big ones whole for work
   * that fits nothing else.
   */
  private pick(
    job: Job,
    zones: ReadonlyMap<ZoneName, number>,
    images: readonly Room[],
    zone?: ZoneName,
  ): Room | undefined {
    const { spec } = job;
    const best = this.warmest(job, zones, images, zone);
    if (best && (!spec.spot || best.machine.spot)) return best;
    const ok = (r: Room): boolean =>
      (zone === undefined || r.machine.zone === zone) && this.eligible(job, zones, r);
    const free = this.rooms.mostFree(spec, ok);
    // Work that may use the cheaper kind goes there even where the image is missing.
    if (!best || (free && free.machine.spot && spec.spot && !best.machine.spot)) return free;
    return best;
  }

  /** The best of the rooms that hold the image, or will soon. */
  private warmest(
    job: Job,
    zones: ReadonlyMap<ZoneName, number>,
    images: readonly Room[],
    zone?: ZoneName,
  ): Room | undefined {
    const { spec } = job;
    const ok = (r: Room): boolean =>
      (zone === undefined || r.machine.zone === zone) && this.eligible(job, zones, r);
    let best: Room | undefined;
    let bestScore: readonly number[] = [];
    for (const room of images) {
      if (room.reserved || !roomFor(room, spec)) continue;
      if (!ok(room)) continue;
      const score = [
        Number(spec.spot && room.machine.spot),
        Number(this.holdsImage(room.machine, job)),
        // Spread work is spread evenly, not just within its bound: a cut zone then takes the fewest replicas.
        spec.spread ? -(zones.get(room.machine.zone) ?? 0) : 0,
        -room.type.gpus - room.type.cpus / 1000,
        // Among holders of the image, services go where services are and all else to the fullest, so that
        // the emptier machines can empty and be returned.
        spec.kind === 'service' ? room.machine.used.services : 0,
        -(room.gpus + room.cpus / 1000),
      ];
      if (!best || compare(score, bestScore) > 0) {
        best = room;
        bestScore = score;
      }
    }
    return best;
  }

  /** The rooms that hold the job's image or are just fetching it. */
  private imageRooms(job: Job): Room[] {
    const { image } = job.spec;
    let all = this.holders.get(image);
    if (!all) {
      all = [];
      for (const m of this.s.world.withImage(image)) {
        const room = this.rooms.of(m);
        if (room) all.push(room);
      }
      this.holders.set(image, all);
    }
    return all.filter((room) => roomFor(room, job.spec));
  }

  /** Looked up once a round for each image; what the round itself makes fetch one is added job by job. */
  private readonly holders = new Map<ImageName, Room[]>();

  private holdsImage(m: Machine, job: Job): boolean {
    return m.images.has(job.spec.image);
  }

  private placeGang(job: Job, waiting: readonly TaskIndex[]): Room[] | undefined {
    const { spec } = job;
    const zones = spec.oneZone ? this.rooms.zones() : [undefined];
    let best: { rooms: Room[]; images: number } | undefined;
    const images = this.imageRooms(job);
    for (const zone of zones) {
      if (zone !== undefined && !this.rooms.mayHold(zone, spec, waiting.length)) continue;
      const rooms: Room[] = [];
      const counted = zonesOf(job);
      const near = zone === undefined ? [...images] : images.filter((r) => r.machine.zone === zone);
      for (let k = 0; k < waiting.length; k++) {
        const room = this.pick(job, counted, near, zone);
        if (!room) break;
        counted.set(room.machine.zone, (counted.get(room.machine.zone) ?? 0) + 1);
        this.occupy(room, spec, 1);
        rooms.push(room);
        if (!near.includes(room)) near.push(room);
      }
      for (const room of rooms) this.occupy(room, spec, -1);
      if (rooms.length < waiting.length) continue;
      const held = rooms.filter((r) => this.holdsImage(r.machine, job)).length;
      if (!best || held > best.images) best = { rooms, images: held };
      if (best.images === waiting.length) break;
    }
    if (best) for (const room of best.rooms) this.occupy(room, spec, 1);
    return best?.rooms;
  }

  /**
   * There is room, but only where the image would have to be fetched first. On a machine that holds it, work
   * of lower priority may stand in the way that loses less by being stopped than the fetch would take.
   */
  private warmRoom(job: Job, zones: ReadonlyMap<ZoneName, number>): boolean {
    const { spec } = job;
    if (!this.s.aims.byClass.has(spec.class) || this.coldOnly.has(job.id)) return false;
    let best: { room: Room; stops: Placement[]; loss: number } | undefined;
    for (const m of this.s.world.withImage(spec.image)) {
      const room = this.rooms.of(m);
      if (!room || room.reserved || !this.holdsImage(m, job)) continue;
      if (!this.eligible(job, zones, room) || !roomFor(room.type, spec)) continue;
      const fetchS = spec.imageGb / Math.max(room.type.fetchGbPerS, 1e-3);
      if (fetchS < WORTH_A_STOP_S) continue;
      const free = { cpus: room.cpus, gpus: room.gpus, memoryGb: room.memoryGb };
      const give = (p: Placement): void => {
        free.cpus += p.job.spec.cpus;
        free.gpus += p.job.spec.gpus;
        free.memoryGb += p.job.spec.memoryGb;
      };
      const placements = [...room.machine.placements].filter((p) => !p.ended);
      for (const p of placements) if (p.stop) give(p);
      const stops: Placement[] = [];
      let loss = 0;
      if (!roomFor(free, spec)) {
        const victims = placements
          .filter((p) => !p.stop && p.job.spec.kind === 'array')
          .filter((p) => priorityRank(p.job.spec.priority) > priorityRank(spec.priority))
          .filter((p) => preemptible(p, job, this.within, this.order))
          .sort((a, b) => lossOf(a, this.s.now) - lossOf(b, this.s.now));
        for (const p of victims) {
          give(p);
          stops.push(p);
          loss += lossOf(p, this.s.now);
          if (roomFor(free, spec)) break;
        }
      }
      if (!roomFor(free, spec) || loss > fetchS * (spec.gpus + spec.cpus / 100)) continue;
      if (!best || loss < best.loss) best = { room, stops, loss };
    }
    if (!best) {
      this.coldOnly.add(job.id);
      return false;
    }
    best.room.reserved = true;
    for (const placement of best.stops) this.stop(placement, job);
    return true;
  }

  /** No job waits longer than this for others to end. */
  private get patienceMost(): number {
    const { aims } = this.s;
    return HOPE * Math.max(PATIENT_S / HOPE, aims.guaranteeS ?? 0, ...aims.byClass.values());
  }

  /** Room that running tasks will give back by themselves, soonest first. */
  private comingReleases(): NonNullable<RoundPlanner['releases']> {
    if (this.releases) return this.releases;
    this.releases = [];
    const most = this.patienceMost;
    for (const room of this.rooms.all) {
      if (room.machine.used.tasks === room.machine.used.services) continue;
      for (const p of room.machine.placements) {
        const { spec } = p.job;
        if (p.ended || p.stop || spec.kind === 'service' || p.runningSince === undefined) continue;
        const inS = this.s.estimates.rest(spec, (this.s.now - p.runningSince) / 1000);
        if (inS > most) continue;
        this.releases.push({ room, spec, inS, taken: false });
      }
    }
    this.releases.sort((a, b) => a.inS - b.inS);
    return this.releases;
  }

  /**
   * How many of the job's tasks may simply wait for work that ends by itself. Stopping tasks that can't save
   * throws away what they did; where several end each second, that buys next to nothing.
   */
  private servedByReleases(job: Job, count: number, zones: ReadonlyMap<ZoneName, number>): number {
    const { spec } = job;
    if (spec.kind === 'gang' && spec.tasks > 1) return 0;
    // A replica that ran and is missing is an outage now: it doesn't wait in hope (seen: seven seconds each, for
    // every replica of a zone that was cut off).
    if (spec.kind === 'service' && job.everStarted) return 0;
    const aims = [this.s.aims.byClass.get(spec.class)];
    if (this.within.has(job.id)) aims.push(this.s.aims.guaranteeS);
    const aim = Math.min(...aims.map((a) => a ?? Infinity));
    const hope = HOPE * (aim === Infinity ? PATIENT_S / HOPE : aim);
    const age = (this.s.now - job.acceptedAt) / 1000;
    const patience = age < hope ? hope - age : hope;
    let served = 0;
    for (const r of this.comingReleases()) {
      if (served >= count || r.inS > patience) break;
      if (r.taken || !this.eligible(job, zones, r.room)) continue;
      const { room } = r;
      if (
        !roomFor(
          {
            cpus: room.cpus + r.spec.cpus,
            gpus: room.gpus + r.spec.gpus,
            memoryGb: room.memoryGb + r.spec.memoryGb,
          },
          spec,
        )
      )
        continue;
      r.taken = true;
      // What is free beside it is part of the hope, so nobody else may take that meanwhile.
      if (!roomFor(r.spec, spec)) room.reserved = true;
      served++;
    }
    return served;
  }

  /**
   * No machine has room: one is kept free of lower-ranked work for this job, and running work that may be
   * stopped for it is stopped, where the least is lost.
   */
  private makeRoom(job: Job, count: number): void {
    const { spec } = job;
    // Gangs have turns of their own: a backlog of arrays before them must not use all of them up.
    const turn = spec.kind === 'gang' && spec.tasks > 1 ? 'gangs' : 'others';
    if (++this.searches[turn] > MOST_SEARCHES) return;
    const zones = zonesOf(job);
    // Live work doesn't wait in hope of room while some of it is only lent.
    const hopes = !(spec.kind === 'service' || this.s.aims.byClass.has(spec.class)) || !this.anyLent();
    let wanted = Math.min(count - (hopes ? this.servedByReleases(job, count, zones) : 0), 64);
    if (wanted <= 0) return;
    // Jobs come in order, and rooms only get fewer: where one found nothing that may be stopped for it, another
    // that may stop no more than it finds nothing either.
    const kinds = this.kindsOf(job, zones);
    const owed = this.within.has(job.id);
    const key = `${kinds}/${spec.priority}/${owed ? spec.team : '-'}`;
    if (kinds !== undefined && this.vain.some((v) => v.kinds === key && roomFor(spec, v.need))) return;
    const candidates: Candidate[] = [];
    for (const room of this.rooms.all) {
      if (room.reserved || !this.eligible(job, zones, room) || !roomFor(room.type, spec)) continue;
      const found = this.candidate(job, room);
      if (found) candidates.push(found);
    }
    if (candidates.length === 0 && kinds !== undefined) this.vain.push({ kinds: key, need: spec });
    const warm = (c: Candidate): number => Number(this.holdsImage(c.room.machine, job));
    const beside = (c: Candidate): number => (spec.kind === 'service' ? c.room.machine.used.services : 0);
    candidates.sort(
      (a, b) =>
        Number(b.waiting) - Number(a.waiting) ||
        warm(b) - warm(a) ||
        beside(b) - beside(a) ||
        a.loss - b.loss,
    );
    const zone = spec.oneZone ? this.zoneFor(candidates, wanted) : undefined;
    const patient = this.s.now - job.acceptedAt < this.s.preemptAfterMs;
    for (const c of candidates) {
      if (wanted <= 0) break;
      if (zone !== undefined && c.room.machine.zone !== zone) continue;
      wanted -= c.holds;
      c.room.reserved = true;
      if (patient && !c.stops.every((p) => this.isLent(p))) continue;
      for (const placement of c.stops) this.stop(placement, job);
    }
  }

  private lentAnywhere: boolean | undefined;
  private anyLent(): boolean {
    const { widths, world } = this.s;
    if (!widths) return false;
    this.lentAnywhere ??= [...world.jobs.values()].some(
      (j) => j.spec.elastic !== undefined && widths.lent(j) > 0,
    );
    return this.lentAnywhere;
  }

  /** What stands in the room, as far as it says at once that nothing there may be stopped. Once a round. */
  private contentsOf(room: Room): Contents {
    let sum = this.contents.get(room);
    if (sum) return sum;
    sum = { lowest: -1, outside: false, stopping: false, lent: false };
    for (const p of room.machine.placements) {
      if (p.ended) continue;
      if (p.stop) sum.stopping = true;
      else {
        sum.lowest = Math.max(sum.lowest, priorityRank(p.job.spec.priority));
        if (!this.within.has(p.job.id)) sum.outside = true;
        if (this.isLent(p)) sum.lent = true;
      }
    }
    this.contents.set(room, sum);
    return sum;
  }

  private readonly contents = new Map<Room, Contents>();

  /** What the room would hold of the job once work that may be stopped for it is gone, and at what loss. */
  private candidate(job: Job, room: Room): Candidate | undefined {
    const { spec } = job;
    const sum = this.contentsOf(room);
    const mayStop =
      sum.lowest > priorityRank(spec.priority) ||
      (sum.outside && this.within.has(job.id)) ||
      (sum.lent && !spec.elastic);
    // Nothing is on its way out, and nothing may be stopped: what is free is all there is.
    if (!mayStop && !sum.stopping && !roomFor(room, spec)) return undefined;
    this.searched++;
    const free = { cpus: room.cpus, gpus: room.gpus, memoryGb: room.memoryGb };
    const give = (p: Placement): void => {
      free.cpus += p.job.spec.cpus;
      free.gpus += p.job.spec.gpus;
      free.memoryGb += p.job.spec.memoryGb;
    };
    const holds = (): number => (spec.kind === 'gang' && spec.tasks > 1 ? timesIn(free, spec) : 1);
    for (const p of room.machine.placements) if (!p.ended && p.stop) give(p);
    if (roomFor(free, spec)) return { room, stops: [], loss: 0, waiting: true, holds: holds() };
    if (!mayStop) return undefined;
    const cost = (p: Placement): number => lossOf(p, this.s.now) * (this.isLent(p) ? LENT_COST : 1);
    const victims = [...room.machine.placements]
      .filter((p) => !p.stop && this.mayStop(p, job))
      .sort((a, b) => cost(a) - cost(b));
    const stops: Placement[] = [];
    let loss = 0;
    const taken = new Map<Job, number>();
    for (const p of victims) {
      // Of one job no more than is lent, unless the order allows it anyway.
      const n = taken.get(p.job) ?? 0;
      const lent = this.isLent(p) && (this.s.widths?.lent(p.job) ?? 0) > (this.askedBack.get(p.job) ?? 0) + n;
      if (p.job.spec.elastic && !lent && !preemptible(p, job, this.within, this.order)) continue;
      taken.set(p.job, n + 1);
      give(p);
      stops.push(p);
      loss += cost(p) * p.job.placements.size ** (p.job.spec.kind === 'gang' ? 1 : 0);
      if (roomFor(free, spec)) return { room, stops, loss, waiting: false, holds: holds() };
    }
    return undefined;
  }

  /**
   * One zone for all: the one that can be made to hold the whole gang at the least loss. Where none can, the
   * one that comes nearest, and its rooms are only kept from others, since to stop work there would be in vain.
   */
  private zoneFor(candidates: Candidate[], wanted: number): ZoneName | undefined {
    const sums = new Map<ZoneName, { holds: number; loss: number }>();
    for (const c of candidates) {
      const sum = sums.get(c.room.machine.zone) ?? { holds: 0, loss: 0 };
      if (sum.holds < wanted) sum.loss += c.loss;
      sum.holds += c.holds;
      sums.set(c.room.machine.zone, sum);
    }
    let best: { zone: ZoneName; holds: number; loss: number } | undefined;
    for (const [zone, { holds, loss }] of sums) {
      const enough = Math.min(holds, wanted);
      if (!best || enough > best.holds || (enough === best.holds && loss < best.loss)) {
        best = { zone, holds: enough, loss };
      }
    }
    if (best && best.holds < wanted) {
      for (const c of candidates) c.stops.length = 0;
    }
    return best?.zone;
  }
}

interface Contents {
  /** Rank of what may be stopped soonest; -1: nothing runs. */
  lowest: number;
  /** Something runs that is not within its team's guarantee. */
  outside: boolean;
  /** Something is being stopped. */
  stopping: boolean;
  /** Some elastic job runs more than its least there. */
  lent: boolean;
}

interface Candidate {
  readonly room: Room;
  readonly stops: Placement[];
  readonly loss: number;
  /** Free already, or once what is being stopped is gone. */
  readonly waiting: boolean;
  /** How many tasks of the job it would take. */
  readonly holds: number;
}

/** How many tasks of the kind fit. */
function timesIn(free: Need, s: Need): number {
  const of = (has: number, each: number): number => (each > 0 ? Math.floor(has / each + EPS) : Infinity);
  const n = Math.min(of(free.cpus, s.cpus), of(free.gpus, s.gpus), of(free.memoryGb, s.memoryGb));
  return Math.max(1, n === Infinity ? 1 : n);
}

function compare(a: readonly number[], b: readonly number[]): number {
  for (let i = 0; i < a.length; i++) if (a[i] !== b[i]) return a[i]! - b[i]!;
  return 0;
}

export const planRound = (snapshot: Snapshot): RoundPlan => new RoundPlanner(snapshot).run();
