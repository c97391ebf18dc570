import type { SteadyMs } from '../transport/clock.js';
import type { MachineType } from '../protocol/cloud.js';
import type { MachineId, TypeName, ZoneName } from '../protocol/ids.js';
import type { Estimates } from '../bookkeeping/estimates.js';
import type { Job, Machine, World } from '../bookkeeping/world.js';
import { fitsType, roomFor, zoneAllowed, type Unplaced } from './planner.js';

export interface FleetSnapshot {
  readonly now: SteadyMs;
  readonly world: World;
  readonly types: ReadonlyMap<TypeName, MachineType>;
  readonly unplaced: readonly Unplaced[];
  /** Refused lately: `type/zone/kind`. */
  readonly refusedUntil: ReadonlyMap<string, SteadyMs>;
  /** Requests on their way: machines that are as good as booting. */
  readonly pending: readonly {
    readonly type: TypeName;
    readonly zone: ZoneName;
    readonly spot: boolean;
    readonly count: number;
  }[];
  /** The operator's own machines: not returned for idling. */
  readonly standing: ReadonlySet<string>;
  readonly estimates: Estimates;
  /** Seconds from submission within which the class's jobs should be finished, as the settings say. */
  readonly finishWithin: ReadonlyMap<string, number>;
  /** 0: as long as a boot takes. */
  readonly idleReturnMs: number;
}

export interface FleetPlan {
  readonly rent: readonly {
    readonly type: TypeName;
    readonly zone: ZoneName;
    readonly spot: boolean;
    readonly count: number;
  }[];
  readonly giveBack: readonly MachineId[];
}

export const kindKey = (type: TypeName, zone: ZoneName, spot: boolean): string =>
  `${type}/${zone}/${spot ? 'spot' : 'ordinary'}`;

/** Past this multiple of the nominal boot time a machine isn't counted on any more; past the other it is returned. */
const LATE_BOOT = 1.8;
export const LOST_BOOT = 4;
/** A machine that is up is given so long to report under a new term before others are rented in its place. */
const UNHEARD_MS = 10_000;
/** How long an idle machine is kept, in nominal boot times. */
const IDLE_BOOTS = 0.3;

interface Virtual {
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

const empty = (type: MachineType, zone: ZoneName, spot: boolean): Virtual => ({
  type,
  zone,
  spot,
  cpus: type.cpus,
  gpus: type.gpus,
  memoryGb: type.memoryGb,
});

function fillFrom(job: Job, zones: Map<ZoneName, number>, v: Virtual, count: number): number {
  let placed = 0;
  const { spec } = job;
  if ((v.spot && !spec.spot) || !fitsType(spec, v.type)) return 0;
  while (placed < count && roomFor(v, spec) && zoneAllowed(spec, zones, v.zone)) {
    v.cpus -= spec.cpus;
    v.gpus -= spec.gpus;
    v.memoryGb -= spec.memoryGb;
    zones.set(v.zone, (zones.get(v.zone) ?? 0) + 1);
    placed++;
  }
  return placed;
}

/** Room that running work will give back: one place of the size of the task that holds it now. */
interface Slot {
  readonly machine: Machine;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Seconds from now. */
  freeIn: number;
}

function slotsOf(s: FleetSnapshot): Slot[] {
  const slots: Slot[] = [];
  for (const m of s.world.machines.values()) {
    if (m.state !== 'up' || m.noticeAt !== undefined || m.suspectUntil > s.now) continue;
    const type = s.types.get(m.type);
    if (!type) continue;
    let { cpus, memoryGb } = type;
    for (const p of m.placements) {
      if (p.ended) continue;
      cpus -= p.job.spec.cpus;
      memoryGb -= p.job.spec.memoryGb;
    }
    for (const p of m.placements) {
      const { spec } = p.job;
      if (p.ended || (spec.kind === 'service' && !p.stop)) continue;
      const ran = p.runningSince === undefined ? 0 : (s.now - p.runningSince) / 1000;
      const freeIn = p.stop ? spec.saveS : s.estimates.rest(spec, ran);
      slots.push({
        machine: m,
        cpus: spec.cpus + cpus,
        gpus: spec.gpus,
        memoryGb: spec.memoryGb + memoryGb,
        freeIn,
      });
    }
  }
  return slots.sort((a, b) => a.freeIn - b.freeIn);
}

/**
 * How many of the job's waiting tasks will find room that is given back in time. Renting for them would only
 * bring a machine that comes later, without the image, and then stands idle.
 */
function servedBySlots(job: Job, count: number, slots: Slot[], s: FleetSnapshot): number {
  const { spec } = job;
  if (spec.tasks > 1 && spec.kind === 'gang') return 0;
  const fitting = [...s.types.values()].filter((t) => fitsType(spec, t));
  if (fitting.length === 0) return 0;
  const boot = Math.min(...fitting.map((t) => t.bootS));
  const fetch = spec.imageGb / Math.max(...fitting.map((t) => t.fetchGbPerS), 1e-3);
  const runS = s.estimates.of(spec);
  const age = (s.now - job.acceptedAt) / 1000;
  const within = spec.deadlineS ?? s.finishWithin.get(spec.class);
  // The latest start that still makes the aim; and never sooner than a rented machine could start it.
  const latest = Math.max(
    boot + fetch,
    within === undefined || spec.kind !== 'array' ? 0 : within * 0.9 - age - runS,
  );
  let served = 0;
  for (const slot of slots) {
    if (served >= count) break;
    if (slot.gpus < spec.gpus || slot.cpus < spec.cpus || slot.memoryGb < spec.memoryGb) continue;
    if ((slot.machine.spot && !spec.spot) || (spec.types !== null && !spec.types.includes(slot.machine.type)))
      continue;
    if (spec.zone !== null && spec.zone !== slot.machine.zone) continue;
    const ready = slot.machine.images.has(spec.image) ? 0 : fetch;
    while (slot.freeIn + ready <= latest && served < count) {
      served++;
      slot.freeIn += spec.kind === 'service' ? Infinity : runS;
    }
  }
  slots.sort((a, b) => a.freeIn - b.freeIn);
  return served;
}

/** What to rent for the work that found no room, and what to give back. */
export function planFleet(s: FleetSnapshot): FleetPlan {
  const virtual: Virtual[] = [];
  const perZone = new Map<string, number>();
  const count = (type: TypeName, zone: ZoneName, n: number): void => {
    const k = `${type}/${zone}`;
    perZone.set(k, (perZone.get(k) ?? 0) + n);
  };
  for (const m of s.world.machines.values()) {
    count(m.type, m.zone, 1);
    const type = s.types.get(m.type);
    if (!type) continue;
    if (m.state === 'booting' && (s.now - m.rentedAt) / 1000 < LATE_BOOT * type.bootS) {
      virtual.push(empty(type, m.zone, m.spot));
    }
    // Up, but not heard under this term yet: its room is there in a moment, after a take-over above all.
    if (m.state === 'up' && !m.trusted && s.now - Math.max(m.lastReport ?? 0, m.upSince) < UNHEARD_MS) {
      const v = empty(type, m.zone, m.spot);
      for (const p of m.placements) {
        if (p.ended) continue;
        v.cpus -= p.job.spec.cpus;
        v.gpus -= p.job.spec.gpus;
        v.memoryGb -= p.job.spec.memoryGb;
      }
      virtual.push(v);
    }
  }
  for (const p of s.pending) {
    const type = s.types.get(p.type);
    count(p.type, p.zone, p.count);
    for (let i = 0; type && i < p.count; i++) virtual.push(empty(type, p.zone, p.spot));
  }

  const slots = slotsOf(s);
  const rents = new Map<string, { type: TypeName; zone: ZoneName; spot: boolean; count: number }>();
  for (const u of s.unplaced) {
    if (u.reason !== 'no room') continue;
    let left = u.count;
    const zones = new Map<ZoneName, number>();
    for (const p of u.job.placements.values()) {
      if (!p.ended) zones.set(p.machine.zone, (zones.get(p.machine.zone) ?? 0) + 1);
    }
    left -= servedBySlots(u.job, left, slots, s);
    for (const v of virtual) left -= fillFrom(u.job, zones, v, left);
    while (left > 0) {
      const choice = choose(u.job, left, zones, s, perZone);
      if (!choice) break;
      const fresh = empty(choice.type, choice.zone, choice.spot);
      const placed = fillFrom(u.job, zones, fresh, left);
      if (placed === 0) break;
      left -= placed;
      virtual.push(fresh);
      count(choice.type.name, choice.zone, 1);
      const key = kindKey(choice.type.name, choice.zone, choice.spot);
      const rent = rents.get(key) ?? {
        type: choice.type.name,
        zone: choice.zone,
        spot: choice.spot,
        count: 0,
      };
      if (rent.count >= 50) break;
      rent.count++;
      rents.set(key, rent);
    }
  }
  return { rent: [...rents.values()], giveBack: idleMachines(s) };
}

function choose(
  job: Job,
  left: number,
  zones: ReadonlyMap<ZoneName, number>,
  s: FleetSnapshot,
  perZone: ReadonlyMap<string, number>,
): { type: MachineType; zone: ZoneName; spot: boolean } | undefined {
  let best: { type: MachineType; zone: ZoneName; spot: boolean; cost: number; machines: number } | undefined;
  for (const type of s.types.values()) {
    if (!fitsType(job.spec, type)) continue;
    const { spec } = job;
    const holds = Math.floor(
      Math.min(
        spec.cpus > 0 ? type.cpus / spec.cpus : Infinity,
        spec.gpus > 0 ? type.gpus / spec.gpus : Infinity,
        spec.memoryGb > 0 ? type.memoryGb / spec.memoryGb : Infinity,
      ) + 1e-9,
    );
    const useful = Math.max(1, Math.min(holds, left));
    for (const zone of type.zones) {
      if (!zoneAllowed(spec, zones, zone)) continue;
      for (const spot of spec.spot ? [true, false] : [false]) {
        if ((s.refusedUntil.get(kindKey(type.name, zone, spot)) ?? 0) > s.now) continue;
        const cost = (spot ? type.spotPrice : type.price) / useful;
        const machines = perZone.get(`${type.name}/${zone}`) ?? 0;
        if (
          !best ||
          cost < best.cost - 1e-9 ||
          (Math.abs(cost - best.cost) < 1e-9 && machines < best.machines)
        ) {
          best = { type, zone, spot, cost, machines };
        }
      }
    }
  }
  return best;
}

const isIdle = (m: Machine): boolean =>
  m.state === 'up' && m.trusted && m.placements.size === 0 && m.strangers.length === 0 && m.rounds === 0;

function idleMachines(s: FleetSnapshot): MachineId[] {
  const back: MachineId[] = [];
  for (const m of s.world.machines.values()) {
    if (!isIdle(m)) continue;
    const type = s.types.get(m.type);
    // Renting again costs a boot; but work that comes in bursts seldom needs the very last machine again.
    const patience =
      s.idleReturnMs > 0 ? s.idleReturnMs : Math.max(10, (type?.bootS ?? 60) * IDLE_BOOTS) * 1000;
    const faulty = m.errors >= 3;
    const noticed = m.noticeAt !== undefined;
    if (!faulty && !noticed && s.standing.has(m.id)) continue;
    if (!faulty && !noticed && s.now - m.idleSince < patience) continue;
    const wanted = s.unplaced.some(
      (u) => u.reason === 'no room' && type && fitsType(u.job.spec, type) && (u.job.spec.spot || !m.spot),
    );
    if (!wanted || faulty || noticed) back.push(m.id);
  }
  return back;
}
