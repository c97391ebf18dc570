import type { SteadyMs } from '../transport/clock.js';
import type { MachineType } from '../protocol/cloud.js';
import type { MachineId, TypeName, ZoneName } from '../protocol/ids.js';
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
    if (type && m.state === 'booting' && (s.now - m.rentedAt) / 1000 < LATE_BOOT * type.bootS) {
      virtual.push(empty(type, m.zone, m.spot));
    }
  }
  for (const p of s.pending) {
    const type = s.types.get(p.type);
    count(p.type, p.zone, p.count);
    for (let i = 0; type && i < p.count; i++) virtual.push(empty(type, p.zone, p.spot));
  }

  const rents = new Map<string, { type: TypeName; zone: ZoneName; spot: boolean; count: number }>();
  for (const u of s.unplaced) {
    if (u.reason !== 'no room') continue;
    let left = u.count;
    const zones = new Map<ZoneName, number>();
    for (const p of u.job.placements.values()) {
      if (!p.ended) zones.set(p.machine.zone, (zones.get(p.machine.zone) ?? 0) + 1);
    }
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
    // Renting again costs a boot: keeping a machine for about that long can at worst double the bill.
    const patience = s.idleReturnMs > 0 ? s.idleReturnMs : Math.max(10, type?.bootS ?? 60) * 1000;
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
