import { plus, type SteadyMs } from '../../transport/clock.js';
import type { MachineType } from '../../protocol/cloud.js';
import type { JobId, MachineId, TypeName, ZoneName } from '../../protocol/ids.js';
import type { JobSpec } from '../../protocol/jobs.js';
import { waitingTaskCount, type Job, type Machine } from '../../cluster/cluster-state.js';
import {
  fitsMachineType,
  needsMoreThanHalfOfSmallestType,
  sizeOfMachineType,
} from '../scheduling/eligibility.js';
import type { ReservedMachine } from './fair-share-rules.js';
import {
  ReservationSearch,
  type ReservableMachines,
  type ReservationSearchInputs,
} from './reservation-search.js';

/** Machines that are reserved for one job. */
export interface Reservation {
  readonly job: Job;
  readonly since: SteadyMs;
  /** The job's placements when it got the reservation. */
  readonly placementsBefore: number;
  /** Undefined if the job's tasks may run in several zones. */
  zone: ZoneName | undefined;
  machines: readonly Machine[];
  /** Expected release of the last slot. */
  readyAt: SteadyMs;
  /** The reservation is abandoned if the job has not been placed by then. */
  readonly expiresAt: SteadyMs;
  /** When all machines were last searched for better ones. */
  searchedAt: SteadyMs;
}

/** A change to a reservation; `reason` is a phrase for the log. */
export type ReservationEvent =
  | { readonly kind: 'created' | 'moved'; readonly reservation: Reservation }
  | {
      readonly kind: 'abandoned' | 'ended';
      readonly reservation: Reservation;
      readonly reason: string;
    };

/** Input of one update. */
export interface ReservationSnapshot extends ReservationSearchInputs {
  /** Jobs for which there was no capacity and that have waited long enough, in queue order. */
  readonly blocked: readonly Job[];
  /** How many reservations the job's class may have at the same time. */
  readonly maxReservations: (job: Job) => number;
  /** Fraction of all GPUs (or processors) that may be reserved for all jobs together. */
  readonly maxReservedShare: number;
}

/** A reservation expires after its expected wait times the factor, plus the slack. */
const EXPIRY_SLACK_MS = 30_000;
const EXPIRY_WAIT_FACTOR = 2;
/** A job whose reservation was abandoned gets no new one for this long, so that other work can use the machines. */
const ABANDON_PAUSE_MS = 20_000;
/** Blocked jobs compared at each update; bounded because each one searches all machines that it may run on. */
const MAX_COMPARED_JOBS = 4;
/** How often a reservation searches for machines that would be free sooner. */
const SEARCH_INTERVAL_MS = 4000;
/** Lowest cost, of machines that are free now: a gang still has to be placed, fetch its image and start. */
const MIN_COST_S = 10;

/**
 * Reserves machines for gangs that small jobs of their own rank would starve: the next small job takes each GPU that becomes
 * free, and whole machines are never free together. As in backfill scheduling with reservations, a blocked gang gets the
 * machines that will be free soonest by the owners' estimates; shorter work may use them until then. Estimates are often
 * wrong, which costs only time.
 *
 * Reservations are kept in memory for the leader's term and are never stored. This class places and stops nothing.
 */
export class BackfillReservations {
  readonly reservations = new Map<JobId, Reservation>();
  readonly reservedMachines = new Map<MachineId, ReservedMachine>();
  private readonly pausedUntil = new Map<JobId, SteadyMs>();

  /** Ends, moves and creates reservations, and returns the changes. */
  update(snapshot: ReservationSnapshot): ReservationEvent[] {
    const search = new ReservationSearch(snapshot);
    const events: ReservationEvent[] = [];
    for (const reservation of this.reservations.values()) {
      const event = this.review(reservation, snapshot, search);
      if (event) events.push(event);
    }
    for (const [job, found] of this.candidatesByWaitPerCost(snapshot, search)) {
      const reservation = this.create(job, found, snapshot, search);
      if (reservation) events.push({ kind: 'created', reservation });
    }
    for (const [id, until] of this.pausedUntil) if (until <= snapshot.now) this.pausedUntil.delete(id);
    this.indexByMachine();
    return events;
  }

  private review(
    reservation: Reservation,
    snapshot: ReservationSnapshot,
    search: ReservationSearch,
  ): ReservationEvent | undefined {
    const { now } = snapshot;
    const { job, expiresAt, zone, machines } = reservation;
    const endReason = reasonToEnd(reservation, snapshot);
    if (endReason !== undefined) {
      this.reservations.delete(job.id);
      return { kind: 'ended', reservation, reason: endReason };
    }
    const isExpired = now > expiresAt;
    const found = isExpired ? undefined : this.currentOrBetter(reservation, snapshot, search);
    if (!found) {
      this.reservations.delete(job.id);
      this.pausedUntil.set(job.id, plus(now, ABANDON_PAUSE_MS));
      const reason = isExpired
        ? 'its rooms took too long to become free'
        : 'no zone has enough machines for it any more';
      return { kind: 'abandoned', reservation, reason };
    }
    const isMoved = found.zone !== zone || found.machines.some((machine) => !machines.includes(machine));
    Object.assign(reservation, found);
    return isMoved ? { kind: 'moved', reservation } : undefined;
  }

  /** The reserved machines while they can still be used and no search is due; otherwise the best machines now. */
  private currentOrBetter(
    reservation: Reservation,
    snapshot: ReservationSnapshot,
    search: ReservationSearch,
  ): ReservableMachines | undefined {
    const { job, zone, machines, searchedAt } = reservation;
    const isSearchDue = snapshot.now - searchedAt > SEARCH_INTERVAL_MS;
    if (!isSearchDue && machines.every((machine) => snapshot.usable(machine))) {
      const readyAt = search.readyAtOn(machines, job);
      if (readyAt !== undefined) return { zone, machines, readyAt, searchedAt };
    }
    return search.findMachines(job, this.machinesReservedExceptFor(reservation), machines);
  }

  /**
   * Returns blocked jobs and the machines they could reserve, by descending ratio of their wait to the reservation's cost in
   * machines and time. In queue order alone, gangs of 16 machines held everything that may be reserved for minutes, while
   * dozens of smaller gangs waited.
   */
  private candidatesByWaitPerCost(
    snapshot: ReservationSnapshot,
    search: ReservationSearch,
  ): (readonly [Job, ReservableMachines])[] {
    const { now, blocked, maxReservations, maxReservedShare } = snapshot;
    if (this.reservations.size > 0 && this.reservedShareWith([], snapshot) >= maxReservedShare) return [];
    const candidates: {
      readonly job: Job;
      readonly found: ReservableMachines;
      readonly waitPerCost: number;
    }[] = [];
    for (const job of blocked) {
      if (candidates.length >= MAX_COMPARED_JOBS) break;
      if (this.countOfClass(job) >= maxReservations(job) || !this.mayReserveFor(job, snapshot)) continue;
      const found = search.findMachines(job, this.machinesReservedExceptFor(undefined), []);
      if (!found) continue;
      const costS = (found.readyAt - now) / 1000 + MIN_COST_S;
      const waitPerCost = (now - job.acceptedAt) / 1000 / (costS * found.machines.length);
      candidates.push({ job, found, waitPerCost });
    }
    return candidates
      .sort((a, b) => b.waitPerCost - a.waitPerCost)
      .map(({ job, found }) => [job, found] as const);
  }

  private mayReserveFor(job: Job, { now, types }: ReservationSnapshot): boolean {
    if (this.reservations.has(job.id) || (this.pausedUntil.get(job.id) ?? 0) > now) return false;
    return needsReservation(job.spec, types);
  }

  private create(
    job: Job,
    candidate: ReservableMachines,
    snapshot: ReservationSnapshot,
    search: ReservationSearch,
  ): Reservation | undefined {
    const { now } = snapshot;
    if (this.countOfClass(job) >= snapshot.maxReservations(job)) return undefined;
    // Candidates before this one may have taken some of its machines.
    const others = this.machinesReservedExceptFor(undefined);
    const isFree = candidate.machines.every((machine) => !others.has(machine));
    const found = isFree ? candidate : search.findMachines(job, others, []);
    if (!found) return undefined;
    // The first reservation is always created: in a small cluster a single gang may need more than the limit.
    const isFirst = this.reservations.size === 0;
    if (!isFirst && this.reservedShareWith(found.machines, snapshot) > snapshot.maxReservedShare)
      return undefined;
    const expiresAt = plus(now, EXPIRY_WAIT_FACTOR * (found.readyAt - now) + EXPIRY_SLACK_MS);
    const reservation = { job, since: now, placementsBefore: job.placements.size, expiresAt, ...found };
    this.reservations.set(job.id, reservation);
    return reservation;
  }

  private countOfClass(job: Job): number {
    let count = 0;
    for (const reserved of this.reservations.values())
      if (reserved.job.spec.class === job.spec.class) count++;
    return count;
  }

  private machinesReservedExceptFor(reservation: Reservation | undefined): ReadonlySet<Machine> {
    const machines = new Set<Machine>();
    for (const other of this.reservations.values()) {
      if (other !== reservation) for (const machine of other.machines) machines.add(machine);
    }
    return machines;
  }

  /** The fraction of all machines that would be reserved, `additional` included. */
  private reservedShareWith(additional: readonly Machine[], { cluster, types }: ReservationSnapshot): number {
    const sizeOf = (machine: Machine): number =>
      sizeOfMachineType(types.get(machine.type) ?? { gpus: 0, cpus: 0 });
    let total = 0;
    for (const machine of cluster.machines.values()) if (machine.state === 'up') total += sizeOf(machine);
    let reserved = 0;
    for (const { machines } of this.reservations.values()) {
      for (const machine of machines) reserved += sizeOf(machine);
    }
    for (const machine of additional) reserved += sizeOf(machine);
    return total > 0 ? reserved / total : 1;
  }

  private indexByMachine(): void {
    this.reservedMachines.clear();
    for (const { job, machines, readyAt } of this.reservations.values()) {
      for (const machine of machines) this.reservedMachines.set(machine.id, { job, expectedUntil: readyAt });
    }
  }
}

/** Why the reservation is no longer needed; undefined while it is. */
function reasonToEnd(reservation: Reservation, { cluster }: ReservationSnapshot): string | undefined {
  const job = cluster.jobs.get(reservation.job.id);
  if (!job || job.cancelledAt !== undefined) return 'the job has ended or was cancelled';
  const before = job.spec.kind === 'gang' ? 0 : reservation.placementsBefore;
  return job.placements.size > before || waitingTaskCount(job) === 0 ? 'it has its rooms' : undefined;
}

/**
 * Whether small jobs can starve the job: its tasks must all be placed at once, or one of them needs more than half a machine.
 * Even gangs of two GPUs never found two free together beside arrays, whose tasks took each GPU as it became free.
 */
function needsReservation(spec: JobSpec, types: ReadonlyMap<TypeName, MachineType>): boolean {
  const isGang = spec.kind === 'gang' && spec.tasks > 1;
  if (isGang && [...types.values()].some((type) => fitsMachineType(spec, type))) return true;
  return needsMoreThanHalfOfSmallestType(spec, types);
}
