import type { ZoneName } from '../../protocol/ids.js';
import type { JobSpec } from '../../protocol/jobs.js';
import type { Job } from '../../cluster/cluster-state.js';
import { hasCapacityFor } from '../scheduling/resources.js';
import { fitsMachineType, isZoneAllowed } from '../scheduling/eligibility.js';
import { machineKindKey, type MachineKind } from './machine-kind.js';

/** Resources of one machine that are not reserved yet. */
export interface FreeResources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Machines of one kind that are expected soon. */
interface MachinePool {
  readonly kind: MachineKind;
  /** Number of machines of which nothing is reserved yet. */
  emptyMachines: number;
  /** Machines of which a part is reserved or in use. */
  readonly partlyFree: FreeResources[];
}

/**
 * Capacity that needs no further request: machines that boot, that are requested, or that are up and have not sent a
 * heartbeat yet. The scale-out planner reserves it for waiting tasks before it requests more. One instance serves one plan;
 * it never changes the cluster state.
 */
export class IncomingCapacity {
  private readonly pools = new Map<string, MachinePool>();

  /** Adds empty machines. */
  addMachines(kind: MachineKind, count: number): void {
    this.poolOf(kind).emptyMachines += count;
  }

  /** Adds one machine of which only `free` is available. */
  addPartlyFreeMachine(kind: MachineKind, free: FreeResources): void {
    this.poolOf(kind).partlyFree.push(free);
  }

  /**
   * Reserves capacity for up to `count` tasks of the job and returns for how many there was any. `tasksByZone` counts the
   * job's tasks in each zone, for its zone rules, and is updated.
   */
  reserve(job: Job, tasksByZone: Map<ZoneName, number>, count: number): number {
    let reserved = this.reserveOnce(job, tasksByZone, count);
    // Spread work may use a zone again once other zones have their tasks. Without the repetition, a machine is provisioned
    // beside empty ones for a service whose second replica in a zone is placed after the first in the next zone.
    for (let more = reserved; job.spec.spread && more > 0 && reserved < count; reserved += more) {
      more = this.reserveOnce(job, tasksByZone, count - reserved);
    }
    return reserved;
  }

  private poolOf(kind: MachineKind): MachinePool {
    const key = machineKindKey(kind.type.name, kind.zone, kind.spot);
    let pool = this.pools.get(key);
    if (!pool) {
      pool = { kind, emptyMachines: 0, partlyFree: [] };
      this.pools.set(key, pool);
    }
    return pool;
  }

  private reserveOnce(job: Job, tasksByZone: Map<ZoneName, number>, count: number): number {
    const { spec } = job;
    let reserved = 0;
    for (const pool of this.pools.values()) {
      if (reserved >= count) break;
      const { kind } = pool;
      if ((kind.spot && !spec.spot) || !fitsMachineType(spec, kind.type)) continue;
      reserved += reserveOnPartlyFree(pool, spec, tasksByZone, count - reserved);
      reserved += reserveOnEmpty(pool, spec, tasksByZone, count - reserved);
    }
    return reserved;
  }
}

function reserveOnPartlyFree(
  pool: MachinePool,
  spec: JobSpec,
  tasksByZone: Map<ZoneName, number>,
  count: number,
): number {
  const { kind, partlyFree } = pool;
  let reserved = 0;
  // The machine that was added last is used first; GPU machines without a free GPU are dropped from the list.
  for (let i = partlyFree.length - 1; i >= 0 && reserved < count; i--) {
    const free = partlyFree[i]!;
    reserved += reserveOnMachine(free, spec, tasksByZone, kind.zone, count - reserved);
    if (kind.type.gpus > 0 && free.gpus <= 0) partlyFree.splice(i, 1);
  }
  return reserved;
}

function reserveOnEmpty(
  pool: MachinePool,
  spec: JobSpec,
  tasksByZone: Map<ZoneName, number>,
  count: number,
): number {
  const { type, zone } = pool.kind;
  let reserved = 0;
  while (pool.emptyMachines > 0 && reserved < count) {
    const free = { cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb };
    const fitting = reserveOnMachine(free, spec, tasksByZone, zone, count - reserved);
    if (fitting === 0) break;
    pool.emptyMachines--;
    reserved += fitting;
    if (free.gpus > 0 || type.gpus === 0) pool.partlyFree.push(free);
  }
  return reserved;
}

function reserveOnMachine(
  free: FreeResources,
  spec: JobSpec,
  tasksByZone: Map<ZoneName, number>,
  zone: ZoneName,
  count: number,
): number {
  let reserved = 0;
  while (reserved < count && hasCapacityFor(free, spec) && isZoneAllowed(spec, tasksByZone, zone)) {
    free.cpus -= spec.cpus;
    free.gpus -= spec.gpus;
    free.memoryGb -= spec.memoryGb;
    tasksByZone.set(zone, (tasksByZone.get(zone) ?? 0) + 1);
    reserved++;
  }
  return reserved;
}
