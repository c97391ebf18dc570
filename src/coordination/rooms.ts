import type { MachineType } from '../protocol/cloud.js';
import type { TypeName, ZoneName } from '../protocol/ids.js';
import { priorityRank, type JobSpec } from '../protocol/jobs.js';
import type { Machine } from '../bookkeeping/world.js';

/** What is left on one machine while a round is being planned. */
export interface Room {
  readonly machine: Machine;
  readonly type: MachineType;
  pool: Pool;
  cpus: number;
  gpus: number;
  memoryGb: number;
  reserved: boolean;
  /** Which bucket of its pool it stands in now. */
  bucket: number;
}

interface Pool {
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** Of a type that some work needs whole, with nothing on it that wouldn't make way for that. */
  readonly whole: boolean;
  /** Rooms by whole free units. A room that moved on leaves a stale entry behind, skipped when met. */
  readonly buckets: Room[][];
}

export interface Need {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

const EPS = 1e-9;

export const roomFor = (room: Need, s: Need): boolean =>
  room.cpus + EPS >= s.cpus && room.gpus + EPS >= s.gpus && room.memoryGb + EPS >= s.memoryGb;

/** GPUs where the type has any, else processors: the dimension that fills first. */
const units = (type: MachineType, room: Need): number =>
  Math.max(0, Math.floor((type.gpus > 0 ? room.gpus : room.cpus) + EPS));

const sizeOf = (t: MachineType): number => t.gpus + t.cpus / 1000;

/**
 * Types that some live job needs, since it fits no smaller one, with the highest rank of such jobs. Other work of that rank
 * or a higher one can't be stopped for them: one small task of it keeps a whole machine from them for as long as it runs.
 */
export type KeptWhole = ReadonlyMap<TypeName, number>;

export function keptWhole(specs: Iterable<JobSpec>, types: ReadonlyMap<TypeName, MachineType>): KeptWhole {
  const bySize = [...types.values()].sort((a, b) => sizeOf(a) - sizeOf(b));
  const kept = new Map<TypeName, number>();
  if (bySize.length < 2) return kept;
  const known = new Map<string, number>();
  for (const s of specs) {
    const key = `${s.cpus}/${s.gpus}/${s.memoryGb}`;
    let least = known.get(key);
    if (least === undefined) known.set(key, (least = bySize.findIndex((t) => roomFor(t, s))));
    if (least < 1) continue;
    const { name } = bySize[least]!;
    kept.set(name, Math.min(kept.get(name) ?? Infinity, priorityRank(s.priority)));
  }
  return kept;
}

/**
 * The rooms of all usable machines, found by size without looking at each: a round at a thousand machines
 * looks only at those that could take the task.
 */
export class Rooms {
  readonly all: Room[] = [];
  private readonly byMachine = new Map<Machine, Room>();
  private readonly pools = new Map<string, Pool>();
  private readonly freeGpus = new Map<ZoneName, number>();
  /** How many rooms were looked at; for the tests that keep this small. */
  looked = 0;

  constructor(private readonly kept: KeptWhole = new Map()) {}

  /** Whether work like this would keep a machine of the type from work that needs it whole. */
  spoils(type: TypeName, s: JobSpec): boolean {
    const rank = this.kept.get(type);
    return rank !== undefined && (s.kind === 'service' || priorityRank(s.priority) <= rank);
  }

  /** Work that would make way for what needs the type whole. */
  prefersBig(type: TypeName, s: JobSpec): boolean {
    return this.kept.has(type) && !this.spoils(type, s);
  }

  private poolOf(type: MachineType, machine: Machine, whole: boolean): Pool {
    const key = `${type.name}/${machine.zone}/${machine.spot}/${whole}`;
    let pool = this.pools.get(key);
    if (!pool) {
      pool = { type, zone: machine.zone, spot: machine.spot, whole, buckets: [] };
      this.pools.set(key, pool);
    }
    return pool;
  }

  private isWhole(machine: Machine): boolean {
    if (!this.kept.has(machine.type)) return false;
    for (const p of machine.placements) if (!p.ended && this.spoils(machine.type, p.job.spec)) return false;
    return true;
  }

  add(machine: Machine, type: MachineType): void {
    const pool = this.poolOf(type, machine, this.isWhole(machine));
    const room: Room = {
      machine,
      type,
      pool,
      cpus: type.cpus - machine.used.cpus,
      gpus: type.gpus - machine.used.gpus,
      memoryGb: type.memoryGb - machine.used.memoryGb,
      reserved: false,
      bucket: -1,
    };
    this.all.push(room);
    this.byMachine.set(machine, room);
    this.freeGpus.set(machine.zone, (this.freeGpus.get(machine.zone) ?? 0) + room.gpus);
    this.file(room);
  }

  private file(room: Room): void {
    const bucket = units(room.type, room);
    if (bucket === room.bucket) return;
    room.bucket = bucket;
    (room.pool.buckets[bucket] ??= []).push(room);
  }

  of(machine: Machine): Room | undefined {
    return this.byMachine.get(machine);
  }

  zones(): ZoneName[] {
    return [...this.freeGpus.keys()].sort();
  }

  /** Whether the zone could hold so many at all: a quick no, never a yes. */
  mayHold(zone: ZoneName, s: JobSpec, n: number): boolean {
    return (this.freeGpus.get(zone) ?? 0) + EPS >= n * s.gpus;
  }

  occupy(room: Room, s: JobSpec, n: number): void {
    room.cpus -= n * s.cpus;
    room.gpus -= n * s.gpus;
    room.memoryGb -= n * s.memoryGb;
    if (n > 0 && room.pool.whole && this.spoils(room.type.name, s)) {
      room.pool = this.poolOf(room.type, room.machine, false);
      room.bucket = -1;
    }
    const { zone } = room.machine;
    this.freeGpus.set(zone, (this.freeGpus.get(zone) ?? 0) - n * s.gpus);
    this.file(room);
  }

  /** The one with most free room of the smallest type that fits; machines of the job's cheaper kind first. */
  mostFree(s: JobSpec, allowed: (room: Room) => boolean): Room | undefined {
    let best: Room | undefined;
    for (const pool of this.pools.values()) {
      if (pool.spot && !s.spot) continue;
      if (!roomFor(pool.type, s) || (s.types !== null && !s.types.includes(pool.type.name))) continue;
      const order = best ? this.compare(pool, best.pool, s) : -1;
      if (order > 0) continue;
      const found = this.topOf(pool, s, allowed);
      if (!found) continue;
      if (!best || order < 0 || freer(found, best)) best = found;
    }
    return best;
  }

  /**
   * Which of two kinds comes first: the cheaper one, then the smaller type, and of a type that others need whole what is
   * spoilt already. Work that makes way for those others goes to the big ones instead, and leaves the small ones to work
   * that doesn't.
   */
  private compare(a: Pool, b: Pool, s: JobSpec): number {
    if (a.spot !== b.spot) return a.spot ? -1 : 1;
    const big = (p: Pool): number => Number(this.prefersBig(p.type.name, s));
    return (
      big(b) - big(a) ||
      compareSizes(a, b) ||
      (this.spoils(a.type.name, s) ? Number(a.whole) - Number(b.whole) : 0)
    );
  }

  private topOf(pool: Pool, s: JobSpec, allowed: (room: Room) => boolean): Room | undefined {
    const least = Math.max(0, Math.floor((pool.type.gpus > 0 ? s.gpus : s.cpus) + EPS));
    for (let b = pool.buckets.length - 1; b >= least; b--) {
      const bucket = pool.buckets[b];
      if (!bucket) continue;
      const stale = (r: Room): boolean => r.bucket !== b || r.pool !== pool;
      while (bucket.length > 0 && stale(bucket[bucket.length - 1]!)) bucket.pop();
      for (let i = bucket.length - 1; i >= 0; i--) {
        const room = bucket[i]!;
        if (stale(room)) continue;
        this.looked++;
        if (!room.reserved && roomFor(room, s) && allowed(room)) return room;
      }
    }
    return undefined;
  }
}

const compareSizes = (a: Pool, b: Pool): number => {
  const difference = sizeOf(a.type) - sizeOf(b.type);
  return Math.abs(difference) <= EPS ? 0 : difference;
};

const freer = (a: Room, b: Room): boolean => a.gpus + a.cpus / 1000 > b.gpus + b.cpus / 1000 + EPS;
