import type { SteadyMs } from '../../transport/clock.js';
import type { MachineType } from '../../protocol/cloud.js';
import type { TypeName, ZoneName } from '../../protocol/ids.js';
import { priorityRank, type JobSpec } from '../../protocol/jobs.js';
import type { RuntimeEstimates } from '../../cluster/runtime-estimates.js';
import type { Job, Machine, Placement } from '../../cluster/cluster-state.js';
import type { FairShareClusterState } from '../leader/cluster-state-views.js';
import { fitsMachineType } from '../scheduling/eligibility.js';
import { hasCapacityFor } from '../scheduling/resources.js';

/**
 * Finds the machines that will be free for a job soonest, by the expected releases of the tasks on them. It only reads the
 * cluster state; `backfill-reservations.ts` decides which jobs get a reservation.
 */

/** Weight of the wait for slots that the job has reserved already: without it a reservation would move with every estimate. */
const RESERVED_WAIT_FACTOR = 0.6;
/** Lower bound of a machine type's image fetch rate, for types that give none. */
const MIN_FETCH_GB_PER_S = 1e-3;

/** Inputs of a search. */
export interface ReservationSearchInputs {
  readonly now: SteadyMs;
  readonly cluster: FairShareClusterState;
  readonly types: ReadonlyMap<TypeName, MachineType>;
  readonly estimates: RuntimeEstimates;
  /** Whether the machine may take new tasks. */
  readonly usable: (machine: Machine) => boolean;
  /** Whether the task, of lower rank, may be preempted for the job. Called for every task of every machine examined. */
  readonly mayPreempt: (placement: Placement, job: Job) => boolean;
}

/** Machines that will have capacity for all tasks of a job. */
export interface ReservableMachines {
  /** The zone of all the machines; undefined if the job may run in several zones. */
  readonly zone: ZoneName | undefined;
  readonly machines: readonly Machine[];
  /** Expected release of the last slot. */
  readonly readyAt: SteadyMs;
  /** When all machines were searched. */
  readonly searchedAt: SteadyMs;
}

/** Capacity for one task on one machine. */
interface Slot {
  readonly machine: Machine;
  readonly readyAt: number;
  /** `readyAt` for the comparison: slots that the job has reserved already count as ready sooner. */
  readonly weightedReadyAt: number;
}

interface ExpectedRelease {
  readonly at: number;
  readonly placement: Placement;
}

/** Slots to reserve: one for each task of a gang, or one for a large task that may run by itself. */
const slotsNeeded = (spec: JobSpec): number => (spec.kind === 'gang' ? spec.tasks : 1);

/** Searches the machines for any number of jobs at one instant; the expected releases on each machine are computed once. */
export class ReservationSearch {
  private readonly releasesByMachine = new Map<Machine, readonly ExpectedRelease[]>();

  constructor(private readonly inputs: ReservationSearchInputs) {}

  /**
   * Returns the machines that are ready soonest, all in one zone if the job requires it; undefined if there are not enough.
   * `reservedByOthers` are excluded; `reserved` are the machines that the job has reserved already.
   */
  findMachines(
    job: Job,
    reservedByOthers: ReadonlySet<Machine>,
    reserved: readonly Machine[],
  ): ReservableMachines | undefined {
    const needed = slotsNeeded(job.spec);
    let best: { zone: ZoneName | undefined; slots: readonly Slot[]; weightedReadyAt: number } | undefined;
    for (const [zone, slots] of this.slotsByZone(job, reservedByOthers, reserved)) {
      if (slots.length < needed) continue;
      slots.sort((a, b) => a.weightedReadyAt - b.weightedReadyAt || (a.machine.id < b.machine.id ? -1 : 1));
      const { weightedReadyAt } = slots[needed - 1]!;
      if (!best || weightedReadyAt < best.weightedReadyAt)
        best = { zone, slots: slots.slice(0, needed), weightedReadyAt };
    }
    if (!best) return undefined;
    const readyAt = Math.max(...best.slots.map((slot) => slot.readyAt)) as SteadyMs;
    const machines = [...new Set(best.slots.map(({ machine }) => machine))];
    return { zone: best.zone, machines, readyAt, searchedAt: this.inputs.now };
  }

  /** When the machines will have capacity for all slots that the job needs; undefined if never, or if it may not run on one. */
  readyAtOn(machines: readonly Machine[], job: Job): SteadyMs | undefined {
    const { types, now } = this.inputs;
    const times: number[] = [];
    for (const machine of machines) {
      const type = types.get(machine.type);
      if (!type || !mayRunOn(job, machine, type, now)) return undefined;
      times.push(...this.readyTimes(job, machine, type));
    }
    const needed = slotsNeeded(job.spec);
    if (times.length < needed) return undefined;
    return times.sort((a, b) => a - b)[needed - 1] as SteadyMs;
  }

  private slotsByZone(
    job: Job,
    reservedByOthers: ReadonlySet<Machine>,
    reserved: readonly Machine[],
  ): ReadonlyMap<ZoneName | undefined, Slot[]> {
    const { now, cluster, types, usable } = this.inputs;
    const byZone = new Map<ZoneName | undefined, Slot[]>();
    for (const machine of cluster.machines.values()) {
      const type = types.get(machine.type);
      if (!type || reservedByOthers.has(machine) || !usable(machine)) continue;
      if (!mayRunOn(job, machine, type, now)) continue;
      const zone = job.spec.oneZone ? machine.zone : undefined;
      const slots = byZone.get(zone) ?? [];
      const factor = reserved.includes(machine) ? RESERVED_WAIT_FACTOR : 1;
      for (const readyAt of this.readyTimes(job, machine, type)) {
        slots.push({ machine, readyAt, weightedReadyAt: now + factor * (readyAt - now) });
      }
      byZone.set(zone, slots);
    }
    return byZone;
  }

  /** When the machine is expected to have capacity for one task of the job, for two, and so on. */
  private readyTimes(job: Job, machine: Machine, type: MachineType): number[] {
    const { spec } = job;
    const { usage } = machine;
    const rank = priorityRank(spec.priority);
    const needed = slotsNeeded(spec);
    const free = {
      cpus: type.cpus - usage.cpus,
      gpus: type.gpus - usage.gpus,
      memoryGb: type.memoryGb - usage.memoryGb,
    };
    const times: number[] = [];
    const takeSlots = (at: number): void => {
      while (times.length < needed && hasCapacityFor(free, spec)) {
        free.cpus -= spec.cpus;
        free.gpus -= spec.gpus;
        free.memoryGb -= spec.memoryGb;
        times.push(at);
        // A task that needs no resources would fit any number of times.
        if (spec.cpus + spec.gpus + spec.memoryGb <= 0) break;
      }
    };
    const release = (released: JobSpec): void => {
      free.cpus += released.cpus;
      free.gpus += released.gpus;
      free.memoryGb += released.memoryGb;
    };
    const releases = this.expectedReleases(machine, type);
    // Tasks that may be preempted for the job count as released now: they are stopped once its other slots are free.
    for (const { placement } of releases)
      if (this.isPreemptible(placement, job, rank)) release(placement.job.spec);
    takeSlots(this.inputs.now);
    for (const { at, placement } of releases) {
      if (times.length >= needed || at === Infinity) break;
      if (this.isPreemptible(placement, job, rank)) continue;
      release(placement.job.spec);
      takeSlots(at);
    }
    return times;
  }

  private isPreemptible(placement: Placement, job: Job, rank: number): boolean {
    if (placement.stop || priorityRank(placement.job.spec.priority) <= rank) return false;
    return this.inputs.mayPreempt(placement, job);
  }

  /** The expected releases of the tasks on a machine, soonest first. */
  private expectedReleases(machine: Machine, type: MachineType): readonly ExpectedRelease[] {
    const cached = this.releasesByMachine.get(machine);
    if (cached) return cached;
    const releases: ExpectedRelease[] = [];
    for (const placement of machine.placements) {
      if (!placement.ended) releases.push({ at: this.expectedReleaseAt(placement, type), placement });
    }
    releases.sort((a, b) => a.at - b.at);
    this.releasesByMachine.set(machine, releases);
    return releases;
  }

  private expectedReleaseAt(
    { job, stop, runningSince, imageReadySince }: Placement,
    type: MachineType,
  ): number {
    const { now, estimates } = this.inputs;
    const { spec } = job;
    if (stop) return Math.max(now, stop.at + 1000 * stop.graceS);
    if (spec.kind === 'service') return Infinity;
    if (runningSince !== undefined)
      return now + 1000 * estimates.remainingSeconds(spec, (now - runningSince) / 1000);
    const fetchS =
      imageReadySince === undefined ? spec.imageGb / Math.max(type.fetchGbPerS, MIN_FETCH_GB_PER_S) : 0;
    return now + 1000 * (fetchS + estimates.expectedSeconds(spec));
  }
}

function mayRunOn(job: Job, machine: Machine, type: MachineType, now: SteadyMs): boolean {
  const { spec } = job;
  if (machine.spot && !spec.spot) return false;
  if (spec.zone !== null && spec.zone !== machine.zone) return false;
  return fitsMachineType(spec, type) && (job.avoidedUntil.get(machine.id) ?? 0) <= now;
}
