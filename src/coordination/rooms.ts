import type { MachineType } from '../protocol/cloud.js';
import type { ZoneName } from '../protocol/ids.js';
import type { JobSpec } from '../protocol/jobs.js';
import type { Machine } from '../bookkeeping/world.js';

/** What is left on one machine while a round is being planned. */
export interface Room {
  readonly machine: Machine;
  readonly type: MachineType;
  readonly pool: Pool;
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

  add(machine: Machine, type: MachineType): void {
    const key = `${type.name}/${machine.zone}/${machine.spot}`;
    let pool = this.pools.get(key);
    if (!pool) this.pools.set(key, (pool = { type, zone: machine.zone, spot: machine.spot, buckets: [] }));
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
      if (best && !betterPool(pool, best.pool)) {
        if (betterPool(best.pool, pool)) continue;
      }
      const found = this.topOf(pool, s, allowed);
      if (!found) continue;
      if (!best || betterPool(pool, best.pool) || (!betterPool(best.pool, pool) && freer(found, best))) {
        best = found;
      }
    }
    return best;
  }

  private topOf(pool: Pool, s: JobSpec, allowed: (room: Room) => boolean): Room | undefined {
    const least = Math.max(0, Math.floor((pool.type.gpus > 0 ? s.gpus : s.cpus) + EPS));
    for (let b = pool.buckets.length - 1; b >= least; b--) {
      const bucket = pool.buckets[b];
      if (!bucket) continue;
      while (bucket.length > 0 && bucket[bucket.length - 1]!.bucket !== b) bucket.pop();
      for (let i = bucket.length - 1; i >= 0; i--) {
        const room = bucket[i]!;
        if (room.bucket !== b) continue;
        this.looked++;
        if (!room.reserved && roomFor(room, s) && allowed(room)) return room;
      }
    }
    return undefined;
  }
}

const betterPool = (a: Pool, b: Pool): boolean =>
  a.spot !== b.spot ? a.spot : sizeOf(a.type) < sizeOf(b.type) - EPS;

const freer = (a: Room, b: Room): boolean => a.gpus + a.cpus / 1000 > b.gpus + b.cpus / 1000 + EPS;
