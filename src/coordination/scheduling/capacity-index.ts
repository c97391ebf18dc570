import type { MachineType } from '../../protocol/cloud.js';
import type { ImageName, ZoneName } from '../../protocol/ids.js';
import type { JobSpec } from '../../protocol/jobs.js';
import type { Machine } from '../../cluster/cluster-state.js';
import { hasCapacityFor, type ResourceAmounts } from './resources.js';

/** Free capacity of one machine while a cycle is being planned. */
export interface FreeCapacity {
  readonly machine: Machine;
  readonly type: MachineType;
  readonly pool: Pool;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Whether the capacity is withheld for one job for the rest of the cycle. */
  reserved: boolean;
  /** Images that the machine is fetching, with those of this cycle's tasks: concurrent fetches share its bandwidth. */
  readonly fetchingImages: Set<ImageName>;
  /** The bucket of its pool that it is in now. */
  bucket: number;
}

/** Machines of one type, zone and pricing. */
interface Pool {
  readonly type: MachineType;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** Entries by whole free units. An entry that moves to another bucket leaves a stale one behind, which searches skip. */
  readonly buckets: FreeCapacity[][];
}

const EPSILON = 1e-9;

/** Whole free GPUs, or processors for types without GPUs: the resource that is exhausted first. */
const wholeFreeUnits = (type: MachineType, capacity: ResourceAmounts): number =>
  Math.max(0, Math.floor((type.gpus > 0 ? capacity.gpus : capacity.cpus) + EPSILON));

const sizeOf = (type: MachineType): number => type.gpus + type.cpus / 1000;

/**
 * Index of the free capacity of all eligible machines, grouped by size. A search in a cluster of a thousand machines
 * examines only those that could take the task.
 */
export class CapacityIndex {
  readonly all: FreeCapacity[] = [];
  private readonly byMachine = new Map<Machine, FreeCapacity>();
  private readonly pools = new Map<string, Pool>();
  private readonly freeGpus = new Map<ZoneName, number>();
  /** How many entries were examined; tests bound it. */
  examinedCount = 0;

  add(machine: Machine, type: MachineType): void {
    const key = `${type.name}/${machine.zone}/${machine.spot}`;
    let pool = this.pools.get(key);
    if (!pool) this.pools.set(key, (pool = { type, zone: machine.zone, spot: machine.spot, buckets: [] }));
    const capacity: FreeCapacity = {
      machine,
      type,
      pool,
      cpus: type.cpus - machine.usage.cpus,
      gpus: type.gpus - machine.usage.gpus,
      memoryGb: type.memoryGb - machine.usage.memoryGb,
      reserved: false,
      fetchingImages: imagesBeingFetched(machine),
      bucket: -1,
    };
    this.all.push(capacity);
    this.byMachine.set(machine, capacity);
    this.freeGpus.set(machine.zone, (this.freeGpus.get(machine.zone) ?? 0) + capacity.gpus);
    this.moveToBucket(capacity);
  }

  private moveToBucket(capacity: FreeCapacity): void {
    const bucket = wholeFreeUnits(capacity.type, capacity);
    if (bucket === capacity.bucket) return;
    capacity.bucket = bucket;
    (capacity.pool.buckets[bucket] ??= []).push(capacity);
  }

  findByMachine(machine: Machine): FreeCapacity | undefined {
    return this.byMachine.get(machine);
  }

  listZones(): ZoneName[] {
    return [...this.freeGpus.keys()].sort();
  }

  /**
   * Whether the free GPUs of the zone suffice for so many tasks. A quick check that rules zones out; it does not prove
   * that the tasks fit.
   */
  mayFitInZone(zone: ZoneName, spec: JobSpec, tasks: number): boolean {
    return (this.freeGpus.get(zone) ?? 0) + EPSILON >= tasks * spec.gpus;
  }

  /** Allocates capacity for so many tasks; a negative number releases it. */
  allocate(capacity: FreeCapacity, spec: JobSpec, tasks: number): void {
    capacity.cpus -= tasks * spec.cpus;
    capacity.gpus -= tasks * spec.gpus;
    capacity.memoryGb -= tasks * spec.memoryGb;
    const { zone } = capacity.machine;
    this.freeGpus.set(zone, (this.freeGpus.get(zone) ?? 0) - tasks * spec.gpus);
    this.moveToBucket(capacity);
  }

  /** Records that a task is planned on the machine. Unlike `allocate`, it is never called for a trial. */
  recordPlacement(capacity: FreeCapacity, spec: JobSpec): void {
    if (!capacity.machine.cachedImages.has(spec.image)) capacity.fetchingImages.add(spec.image);
  }

  /**
   * Finds the machine with the most free capacity of the smallest type that fits; spot machines come first for jobs that
   * allow them. Among machines of one kind, those that fetch no other image come first: when no machine held its image,
   * four concurrent fetches on one machine took four times as long, and replicas became ready a minute after their start.
   */
  findMostFree(spec: JobSpec, allowed: (capacity: FreeCapacity) => boolean): FreeCapacity | undefined {
    const fetchesNothingElse = (capacity: FreeCapacity): boolean =>
      capacity.fetchingImages.size === 0 ||
      (capacity.fetchingImages.size === 1 && capacity.fetchingImages.has(spec.image));
    let best: FreeCapacity | undefined;
    for (const pool of this.pools.values()) {
      if (pool.spot && !spec.spot) continue;
      if (!hasCapacityFor(pool.type, spec) || (spec.types !== null && !spec.types.includes(pool.type.name)))
        continue;
      const order = best ? comparePools(pool, best.pool) : -1;
      if (order > 0) continue;
      const found =
        this.findMostFreeInPool(
          pool,
          spec,
          (capacity) => fetchesNothingElse(capacity) && allowed(capacity),
        ) ?? this.findMostFreeInPool(pool, spec, allowed);
      if (!found) continue;
      const isBetter =
        best &&
        order === 0 &&
        (fetchesNothingElse(found) !== fetchesNothingElse(best)
          ? fetchesNothingElse(found)
          : hasMoreFree(found, best));
      if (!best || order < 0 || isBetter) best = found;
    }
    return best;
  }

  /** The machine with the most whole free units in the pool that has the capacity and is allowed. */
  private findMostFreeInPool(
    pool: Pool,
    spec: JobSpec,
    allowed: (capacity: FreeCapacity) => boolean,
  ): FreeCapacity | undefined {
    const minBucket = Math.max(0, Math.floor((pool.type.gpus > 0 ? spec.gpus : spec.cpus) + EPSILON));
    for (let bucketIndex = pool.buckets.length - 1; bucketIndex >= minBucket; bucketIndex--) {
      const bucket = pool.buckets[bucketIndex];
      if (!bucket) continue;
      const isStale = (capacity: FreeCapacity): boolean => capacity.bucket !== bucketIndex;
      while (bucket.length > 0 && isStale(bucket[bucket.length - 1]!)) bucket.pop();
      for (let i = bucket.length - 1; i >= 0; i--) {
        const capacity = bucket[i]!;
        if (isStale(capacity)) continue;
        this.examinedCount++;
        if (!capacity.reserved && hasCapacityFor(capacity, spec) && allowed(capacity)) return capacity;
      }
    }
    return undefined;
  }
}

function imagesBeingFetched(machine: Machine): Set<ImageName> {
  const images = new Set<ImageName>();
  for (const placement of machine.placements) {
    if (
      !placement.ended &&
      placement.imageReadySince === undefined &&
      !machine.cachedImages.has(placement.job.spec.image)
    )
      images.add(placement.job.spec.image);
  }
  return images;
}

/** Orders pools: spot machines, which are cheaper, first, then smaller types. */
const comparePools = (a: Pool, bucketIndex: Pool): number => {
  if (a.spot !== bucketIndex.spot) return a.spot ? -1 : 1;
  const difference = sizeOf(a.type) - sizeOf(bucketIndex.type);
  return Math.abs(difference) <= EPSILON ? 0 : difference;
};

const hasMoreFree = (a: FreeCapacity, bucketIndex: FreeCapacity): boolean =>
  a.gpus + a.cpus / 1000 > bucketIndex.gpus + bucketIndex.cpus / 1000 + EPSILON;
