import type { ImageName, TaskIndex, ZoneName } from '../../protocol/ids.js';
import type { Job, Machine } from '../../cluster/cluster-state.js';
import { isZoneAllowed, countTasksByZone } from './eligibility.js';
import { isProduction } from './queue-order.js';
import type { CapacityIndex, FreeCapacity } from './capacity-index.js';
import { hasCapacityFor } from './resources.js';
import type { SchedulingSnapshot } from './snapshot.js';

/**
 * Selects the machine for a task, and the machines for a gang. Capacity is allocated only for the gang that it returns
 * machines for; for single tasks the planner allocates it.
 */
export class MachineSelector {
  constructor(
    private readonly snapshot: Pick<
      SchedulingSnapshot,
      'now' | 'elastic' | 'cluster' | 'fairShare' | 'estimates' | 'mayReserve'
    >,
    private readonly capacityIndex: CapacityIndex,
  ) {}

  /** Whether the job may run a task on the machine, whatever capacity is free there. */
  isFeasible(job: Job, tasksByZone: ReadonlyMap<ZoneName, number>, capacity: FreeCapacity): boolean {
    const { spec } = job;
    const machine = capacity.machine;
    if (machine.spot && !spec.spot) return false;
    if (spec.types !== null && !spec.types.includes(machine.type)) return false;
    if ((job.avoidedUntil.get(machine.id) ?? 0) > this.snapshot.now) return false;
    if (spec.elastic && this.snapshot.elastic?.isClosedToElastic(machine.id)) return false;
    if (!this.mayUseReserved(job, capacity)) return false;
    return isZoneAllowed(spec, tasksByZone, machine.zone);
  }

  /**
   * Whether reservations let the job use the machine. A machine reserved for a gang may be used by that gang, by
   * production work, which precedes everything, and by work expected to finish before the gang has all its machines. A
   * machine that has been withheld for too long is open to all jobs for a while.
   */
  private mayUseReserved(job: Job, capacity: FreeCapacity): boolean {
    const reservation = this.snapshot.fairShare?.reservationOn(capacity.machine.id);
    if (!reservation || reservation.job === job || isProduction(job)) return true;
    if (this.snapshot.mayReserve?.(capacity.machine.id) === false) return true;
    const { spec } = job;
    if (spec.kind === 'service') return false;
    const fetchS = this.hasImage(capacity.machine, job)
      ? 0
      : spec.imageGb / Math.max(capacity.type.fetchGbPerS, 1e-3);
    return (
      fetchS + this.snapshot.estimates.expectedSeconds(spec) <=
      (reservation.expectedUntil - this.snapshot.now) / 1000
    );
  }

  /**
   * Selects a machine that holds the image, else the one with the most free capacity. The kind of machine has precedence
   * over both: spot machines come first for jobs that allow them, then smaller types, so that larger machines stay whole
   * for work that fits nothing else.
   */
  select(
    job: Job,
    tasksByZone: ReadonlyMap<ZoneName, number>,
    withImage: readonly FreeCapacity[],
    zone?: ZoneName,
  ): FreeCapacity | undefined {
    const { spec } = job;
    const best = this.selectWithImage(job, tasksByZone, withImage, zone);
    if (best && (!spec.spot || best.machine.spot)) return best;
    const isAllowed = (capacity: FreeCapacity): boolean =>
      (zone === undefined || capacity.machine.zone === zone) && this.isFeasible(job, tasksByZone, capacity);
    const mostFree = this.capacityIndex.findMostFree(spec, isAllowed);
    // Work that may use spot machines, which are cheaper, prefers them even if the image is missing there.
    if (!best || (mostFree && mostFree.machine.spot && spec.spot && !best.machine.spot)) return mostFree;
    return best;
  }

  /** Selects the best of the given machines, which hold the image or are fetching it. */
  selectWithImage(
    job: Job,
    tasksByZone: ReadonlyMap<ZoneName, number>,
    withImage: readonly FreeCapacity[],
    zone?: ZoneName,
  ): FreeCapacity | undefined {
    const { spec } = job;
    const isAllowed = (capacity: FreeCapacity): boolean =>
      (zone === undefined || capacity.machine.zone === zone) && this.isFeasible(job, tasksByZone, capacity);
    let best: FreeCapacity | undefined;
    let bestScore: readonly number[] = [];
    for (const capacity of withImage) {
      if (capacity.reserved || !hasCapacityFor(capacity, spec)) continue;
      if (!isAllowed(capacity)) continue;
      const score = [
        Number(spec.spot && capacity.machine.spot),
        Number(this.hasImage(capacity.machine, job)),
        // Spread jobs are spread evenly, not just within their bound: the loss of a zone then costs the fewest replicas.
        spec.spread ? -(tasksByZone.get(capacity.machine.zone) ?? 0) : 0,
        -capacity.type.gpus - capacity.type.cpus / 1000,
        // Among machines with the image, services go where most services run and other work to the fullest machine, so
        // that the emptier machines drain and can be returned.
        spec.kind === 'service' ? capacity.machine.usage.services : 0,
        -(capacity.gpus + capacity.cpus / 1000),
      ];
      if (!best || compareScores(score, bestScore) > 0) {
        best = capacity;
        bestScore = score;
      }
    }
    return best;
  }

  /** The machines that hold the job's image or are fetching it, and have capacity for one of its tasks. */
  findCandidatesWithImage(job: Job): FreeCapacity[] {
    const { image } = job.spec;
    let capacities = this.capacitiesByImage.get(image);
    if (!capacities) {
      capacities = [];
      for (const machine of this.snapshot.cluster.machinesWithImage(image)) {
        const capacity = this.capacityIndex.findByMachine(machine);
        if (capacity) capacities.push(capacity);
      }
      this.capacitiesByImage.set(image, capacities);
    }
    return capacities.filter((capacity) => hasCapacityFor(capacity, job.spec));
  }

  /**
   * Machines by image, looked up once a cycle. Machines that the cycle itself causes to fetch an image are added by the
   * caller, for the one job.
   */
  private readonly capacitiesByImage = new Map<ImageName, FreeCapacity[]>();

  /** Whether the machine holds the job's image. */
  hasImage(machine: Machine, job: Job): boolean {
    return machine.cachedImages.has(job.spec.image);
  }

  /**
   * Selects machines for all tasks of a gang and allocates their capacity; undefined if they do not all fit. For a job in
   * one zone, the zone with the most selected machines that hold the image.
   */
  selectForGang(job: Job, waiting: readonly TaskIndex[]): FreeCapacity[] | undefined {
    const { spec } = job;
    const zones = spec.oneZone ? this.capacityIndex.listZones() : [undefined];
    let best: { capacities: FreeCapacity[]; machinesWithImage: number } | undefined;
    const withImage = this.findCandidatesWithImage(job);
    for (const zone of zones) {
      if (zone !== undefined && !this.capacityIndex.mayFitInZone(zone, spec, waiting.length)) continue;
      const capacities: FreeCapacity[] = [];
      const tasksByZone = countTasksByZone(job);
      const candidates =
        zone === undefined ? [...withImage] : withImage.filter((capacity) => capacity.machine.zone === zone);
      while (capacities.length < waiting.length) {
        const capacity = this.select(job, tasksByZone, candidates, zone);
        if (!capacity) break;
        tasksByZone.set(capacity.machine.zone, (tasksByZone.get(capacity.machine.zone) ?? 0) + 1);
        this.capacityIndex.allocate(capacity, spec, 1);
        capacities.push(capacity);
        if (!candidates.includes(capacity)) candidates.push(capacity);
      }
      for (const capacity of capacities) this.capacityIndex.allocate(capacity, spec, -1);
      if (capacities.length < waiting.length) continue;
      const machinesWithImage = capacities.filter((capacity) => this.hasImage(capacity.machine, job)).length;
      if (!best || machinesWithImage > best.machinesWithImage) best = { capacities, machinesWithImage };
      if (best.machinesWithImage === waiting.length) break;
    }
    if (best) for (const capacity of best.capacities) this.capacityIndex.allocate(capacity, spec, 1);
    return best?.capacities;
  }
}

/** Compares scores lexicographically; positive if the first is better. */
function compareScores(a: readonly number[], b: readonly number[]): number {
  for (let i = 0; i < a.length; i++) if (a[i] !== b[i]) return a[i]! - b[i]!;
  return 0;
}
