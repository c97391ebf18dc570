import type { SteadyMs } from '../transport/clock.js';
import type { MachineType } from '../protocol/cloud.js';
import type { JobId, TaskIndex, TeamName, TypeName, ZoneName } from '../protocol/ids.js';
import { priorityRank, type JobSpec } from '../protocol/jobs.js';
import type { Settings, TeamLimits } from '../protocol/settings.js';
import type { Estimates } from '../bookkeeping/estimates.js';
import {
  teamUse,
  waitingTasks,
  type Job,
  type Machine,
  type Placement,
  type Use,
  type World,
} from '../bookkeeping/world.js';

/** What a round is planned from. The planner only reads it, and the same snapshot gives the same plan. */
export interface Snapshot {
  readonly now: SteadyMs;
  readonly world: World;
  readonly types: ReadonlyMap<TypeName, MachineType>;
  readonly teams: ReadonlyMap<TeamName, TeamLimits>;
  /** Machines that did not report for so long get no new tasks. */
  readonly staleMs: number;
  readonly maxTasks: number;
  readonly maxJobs: number;
  /** How long a job waits before running work is stopped for it. */
  readonly preemptAfterMs: number;
  readonly estimates: Estimates;
  readonly aims: StartAims;
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
/** A fetch shorter than this is never worth stopping other work. */
const WORTH_A_STOP_S = 3;

export interface PlannedTask {
  readonly job: Job;
  readonly index: TaskIndex;
  readonly machine: Machine;
}

export type WaitReason = 'team limit' | 'no room' | 'backing off' | 'old attempt not gone' | 'round full';

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
}

interface Room {
  readonly machine: Machine;
  readonly type: MachineType;
  cpus: number;
  gpus: number;
  memoryGb: number;
  reserved: boolean;
}

const EPS = 1e-9;

export const roomFor = (room: { cpus: number; gpus: number; memoryGb: number }, s: JobSpec): boolean =>
  room.cpus + EPS >= s.cpus && room.gpus + EPS >= s.gpus && room.memoryGb + EPS >= s.memoryGb;

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
    if (job.cancelledAt !== undefined) continue;
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
export function jobOrder(
  jobs: Iterable<Job>,
  within: ReadonlySet<JobId>,
  due: (job: Job) => number = () => 0,
): Job[] {
  return [...jobs].sort(
    (a, b) =>
      Number(isProduction(b)) - Number(isProduction(a)) ||
      Number(within.has(b.id)) - Number(within.has(a.id)) ||
      priorityRank(a.spec.priority) - priorityRank(b.spec.priority) ||
      due(a) - due(b) ||
      a.row.acceptedAt - b.row.acceptedAt ||
      (a.id < b.id ? -1 : 1),
  );
}

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

export const usable = (m: Machine, s: Snapshot): boolean =>
  m.state === 'up' &&
  m.trusted &&
  m.lastReport !== undefined &&
  s.now - m.lastReport <= s.staleMs &&
  m.noticeAt === undefined &&
  m.suspectUntil <= s.now &&
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
  order: ReadonlyMap<JobId, number>,
): boolean {
  if (p.ended || p.job.id === job.id) return false;
  if ((order.get(p.job.id) ?? Infinity) < (order.get(job.id) ?? -1)) return false;
  if (priorityRank(p.job.spec.priority) > priorityRank(job.spec.priority)) return true;
  return within.has(job.id) && !within.has(p.job.id) && p.job.spec.team !== job.spec.team;
}

/** Work lost by stopping: what ran since the last checkpoint, by the room it took. */
function lossOf(p: Placement, now: SteadyMs): number {
  const ran = p.runningSince === undefined ? 0 : (now - p.runningSince) / 1000;
  const lost = p.job.spec.checkpointS > 0 ? p.job.spec.saveS : ran;
  return (1 + lost) * (p.job.spec.gpus + p.job.spec.cpus / 100);
}

class RoundPlanner {
  readonly rooms: Room[] = [];
  readonly tasks: PlannedTask[] = [];
  readonly stops: { placement: Placement; graceS: number; forJob: JobId }[] = [];
  readonly unplaced: Unplaced[] = [];
  private readonly use: Map<TeamName, Use>;
  private readonly within: ReadonlySet<JobId>;
  private readonly jobsInRound = new Set<JobId>();
  private readonly order = new Map<JobId, number>();
  private readonly strangers = new Set<string>();
  private releases:
    { readonly room: Room; readonly spec: JobSpec; readonly inS: number; taken: boolean }[] | undefined;

  constructor(private readonly s: Snapshot) {
    this.use = teamUse(s.world);
    this.within = withinGuarantee(s.world.jobs.values(), s.teams);
    for (const m of s.world.machines.values()) {
      for (const t of m.strangers) this.strangers.add(`${t.job}/${t.index}`);
      const type = s.types.get(m.type);
      if (!type || !usable(m, s)) continue;
      const room: Room = {
        machine: m,
        type,
        cpus: type.cpus,
        gpus: type.gpus,
        memoryGb: type.memoryGb,
        reserved: false,
      };
      for (const p of m.placements) if (!p.ended) this.occupy(room, p.job.spec, 1);
      this.rooms.push(room);
    }
  }

  private occupy(room: Room, s: JobSpec, n: number): void {
    room.cpus -= n * s.cpus;
    room.gpus -= n * s.gpus;
    room.memoryGb -= n * s.memoryGb;
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
    const due = new Map<JobId, number>();
    for (const job of this.s.world.jobs.values()) due.set(job.id, dueAt(job, this.s));
    const jobs = jobOrder(this.s.world.jobs.values(), this.within, (job) => due.get(job.id) ?? NEVER);
    jobs.forEach((job, i) => this.order.set(job.id, i));
    for (const job of jobs) {
      if (job.cancelledAt === undefined) this.planJob(job);
    }
    return { tasks: this.tasks, stops: this.stops, unplaced: this.unplaced };
  }

  private planJob(job: Job): void {
    const { spec } = job;
    const left = this.s.maxTasks - this.tasks.length;
    const waiting = waitingTasks(job, spec.kind === 'gang' ? spec.tasks : Math.max(1, left)).filter(
      (i) => !this.strangers.has(`${job.id}/${i}`),
    );
    if (waiting.length === 0) return;
    const put = (reason: WaitReason, count = waiting.length): void => {
      // What the team's limit keeps from running anyway needs no room, and above all no rented machine.
      const allowed = reason === 'no room' ? Math.min(count, this.allowance(spec)) : count;
      if (allowed > 0) this.unplaced.push({ job, count: allowed, reason });
      if (allowed < count) this.unplaced.push({ job, count: count - allowed, reason: 'team limit' });
    };
    if (job.notBefore > this.s.now) return put('backing off');
    if (spec.kind === 'gang') {
      // All or nothing: a new attempt starts when the old one is gone to the last task.
      if (job.placements.size > 0 || job.done.count > 0) return put('old attempt not gone');
      if (!this.underLimit(spec, spec.tasks)) return put('team limit');
      if (!this.roundHasRoom(job, spec.tasks)) return put('round full');
      const chosen = this.placeGang(job, waiting);
      if (chosen && spec.tasks === 1 && !this.holdsImage(chosen[0]!.machine, job)) {
        this.occupy(chosen[0]!, spec, -1);
        if (this.warmRoom(job, zonesOf(job))) return put('no room');
        this.occupy(chosen[0]!, spec, 1);
      }
      if (!chosen) {
        this.makeRoom(job, waiting.length);
        return put('no room');
      }
      this.accept(job, waiting, chosen);
      return;
    }
    const zones = zonesOf(job);
    for (let k = 0; k < waiting.length; k++) {
      const rest = waiting.length - k;
      if (!this.underLimit(spec, 1)) return put('team limit', rest);
      if (!this.roundHasRoom(job, 1)) return put('round full', rest);
      const room = this.pick(job, zones, () => true);
      if (!room) {
        this.makeRoom(job, rest);
        return put('no room', rest);
      }
      if (!this.holdsImage(room.machine, job) && this.warmRoom(job, zones)) continue;
      zones.set(room.machine.zone, (zones.get(room.machine.zone) ?? 0) + 1);
      this.accept(job, [waiting[k]!], [room]);
    }
  }

  private roundHasRoom(job: Job, n: number): boolean {
    const first = this.tasks.length === 0;
    if (!this.jobsInRound.has(job.id) && this.jobsInRound.size >= this.s.maxJobs) return false;
    return first || this.tasks.length + n <= this.s.maxTasks;
  }

  private accept(job: Job, indices: readonly TaskIndex[], rooms: readonly Room[]): void {
    this.jobsInRound.add(job.id);
    indices.forEach((index, k) => this.tasks.push({ job, index, machine: rooms[k]!.machine }));
    for (let k = 0; k < indices.length; k++) {
      if (job.spec.kind !== 'gang') this.occupy(rooms[k]!, job.spec, 1);
    }
    this.charge(job.spec, indices.length);
  }

  private eligible(job: Job, zones: ReadonlyMap<ZoneName, number>, room: Room): boolean {
    const { spec } = job;
    const m = room.machine;
    if (m.spot && !spec.spot) return false;
    if (spec.types !== null && !spec.types.includes(m.type)) return false;
    if ((job.avoid.get(m.id) ?? 0) > this.s.now) return false;
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
    also: (room: Room) => boolean,
  ): Room | undefined {
    let best: Room | undefined;
    let bestScore: readonly number[] = [];
    for (const room of this.rooms) {
      if (room.reserved || !roomFor(room, job.spec) || !this.eligible(job, zones, room) || !also(room))
        continue;
      const holds = this.holdsImage(room.machine, job);
      const free = room.gpus + room.cpus / 1000;
      const score = [
        Number(job.spec.spot && room.machine.spot),
        Number(holds),
        -room.type.gpus - room.type.cpus / 1000,
        // Among holders of the image, services go where services are and all else to the fullest, so that
        // the emptier machines can empty and be returned.
        holds && job.spec.kind === 'service' ? servicesOn(room.machine) : 0,
        holds ? -free : free,
      ];
      if (!best || compare(score, bestScore) > 0) {
        best = room;
        bestScore = score;
      }
    }
    return best;
  }

  private holdsImage(m: Machine, job: Job): boolean {
    return m.images.has(job.spec.image);
  }

  private placeGang(job: Job, waiting: readonly TaskIndex[]): Room[] | undefined {
    const zones = job.spec.oneZone ? [...new Set(this.rooms.map((r) => r.machine.zone))].sort() : [undefined];
    let best: { rooms: Room[]; images: number } | undefined;
    for (const zone of zones) {
      const rooms: Room[] = [];
      const counted = zonesOf(job);
      for (let k = 0; k < waiting.length; k++) {
        const room = this.pick(job, counted, (r) => zone === undefined || r.machine.zone === zone);
        if (!room) break;
        counted.set(room.machine.zone, (counted.get(room.machine.zone) ?? 0) + 1);
        this.occupy(room, job.spec, 1);
        rooms.push(room);
      }
      for (const room of rooms) this.occupy(room, job.spec, -1);
      if (rooms.length < waiting.length) continue;
      const images = rooms.filter((r) => this.holdsImage(r.machine, job)).length;
      if (!best || images > best.images) best = { rooms, images };
    }
    if (best) for (const room of best.rooms) this.occupy(room, job.spec, 1);
    return best?.rooms;
  }

  /**
   * There is room, but only where the image would have to be fetched first. On a machine that holds it, work
   * of lower priority may stand in the way that loses less by being stopped than the fetch would take.
   */
  private warmRoom(job: Job, zones: ReadonlyMap<ZoneName, number>): boolean {
    const { spec } = job;
    if (!this.s.aims.byClass.has(spec.class)) return false;
    let best: { room: Room; stops: Placement[]; loss: number } | undefined;
    for (const room of this.rooms) {
      if (room.reserved || !this.holdsImage(room.machine, job)) continue;
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
    if (!best) return false;
    best.room.reserved = true;
    for (const placement of best.stops) {
      this.stops.push({ placement, graceS: graceOf(placement.job.spec), forJob: job.id });
    }
    return true;
  }

  /** Room that running tasks will give back by themselves, soonest first. */
  private comingReleases(): NonNullable<RoundPlanner['releases']> {
    if (this.releases) return this.releases;
    this.releases = [];
    for (const room of this.rooms) {
      for (const p of room.machine.placements) {
        const { spec } = p.job;
        if (p.ended || p.stop || spec.kind === 'service' || p.runningSince === undefined) continue;
        const inS = this.s.estimates.rest(spec, (this.s.now - p.runningSince) / 1000);
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
    const zones = zonesOf(job);
    let wanted = Math.min(count - this.servedByReleases(job, count, zones), 64);
    if (wanted <= 0) return;
    const candidates: { room: Room; stops: Placement[]; loss: number; waiting: boolean }[] = [];
    for (const room of this.rooms) {
      if (room.reserved || !this.eligible(job, zones, room) || !roomFor(room.type, spec)) continue;
      const free = { cpus: room.cpus, gpus: room.gpus, memoryGb: room.memoryGb };
      const give = (p: Placement): void => {
        free.cpus += p.job.spec.cpus;
        free.gpus += p.job.spec.gpus;
        free.memoryGb += p.job.spec.memoryGb;
      };
      for (const p of room.machine.placements) if (!p.ended && p.stop) give(p);
      if (roomFor(free, spec)) {
        candidates.push({ room, stops: [], loss: 0, waiting: true });
        continue;
      }
      const victims = [...room.machine.placements]
        .filter((p) => !p.stop && preemptible(p, job, this.within, this.order))
        .sort((a, b) => lossOf(a, this.s.now) - lossOf(b, this.s.now));
      const stops: Placement[] = [];
      let loss = 0;
      for (const p of victims) {
        give(p);
        stops.push(p);
        loss += lossOf(p, this.s.now) * p.job.placements.size ** (p.job.spec.kind === 'gang' ? 1 : 0);
        if (roomFor(free, spec)) break;
      }
      if (roomFor(free, spec)) candidates.push({ room, stops, loss, waiting: false });
    }
    const warm = (c: { room: Room }): number => Number(this.holdsImage(c.room.machine, job));
    const beside = (c: { room: Room }): number => (spec.kind === 'service' ? servicesOn(c.room.machine) : 0);
    candidates.sort(
      (a, b) =>
        Number(b.waiting) - Number(a.waiting) ||
        warm(b) - warm(a) ||
        beside(b) - beside(a) ||
        a.loss - b.loss,
    );
    // One zone for all: only rooms of the zone that can take most of them help.
    const zone = spec.oneZone ? mostCommon(candidates.map((c) => c.room.machine.zone)) : undefined;
    const patient = this.s.now - job.acceptedAt < this.s.preemptAfterMs;
    for (const c of candidates) {
      if (wanted <= 0) break;
      if (zone !== undefined && c.room.machine.zone !== zone) continue;
      wanted--;
      c.room.reserved = true;
      if (patient) continue;
      for (const placement of c.stops) {
        this.stops.push({ placement, graceS: graceOf(placement.job.spec), forJob: job.id });
      }
    }
  }
}

const servicesOn = (m: Machine): number => {
  let n = 0;
  for (const p of m.placements) if (!p.ended && p.job.spec.kind === 'service') n++;
  return n;
};

function mostCommon<T>(values: readonly T[]): T | undefined {
  const counts = new Map<T, number>();
  for (const v of values) counts.set(v, (counts.get(v) ?? 0) + 1);
  let best: T | undefined;
  for (const [v, n] of counts) if (best === undefined || n > counts.get(best)!) best = v;
  return best;
}

function compare(a: readonly number[], b: readonly number[]): number {
  for (let i = 0; i < a.length; i++) if (a[i] !== b[i]) return a[i]! - b[i]!;
  return 0;
}

export const planRound = (snapshot: Snapshot): RoundPlan => new RoundPlanner(snapshot).run();
