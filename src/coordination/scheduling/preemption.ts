import type { SteadyMs } from '../../transport/clock.js';
import type { JobId, MachineId, ZoneName } from '../../protocol/ids.js';
import { priorityRank } from '../../protocol/jobs.js';
import { failsEverywhere, type Job, type Placement } from '../../cluster/cluster-state.js';
import { checkpointGraceS, reclaimGraceS } from './grace-periods.js';
import { countTasksByZone } from './eligibility.js';
import { ExpectedReleases } from './expected-releases.js';
import type { Borrowing } from './borrowing.js';
import { isProduction } from './queue-order.js';
import type { MachineSelector } from './machine-selector.js';
import type { CapacityIndex, FreeCapacity } from './capacity-index.js';
import { countFitting, hasCapacityFor, type ResourceAmounts } from './resources.js';
import type { CyclePlan, SchedulingSnapshot } from './snapshot.js';

/** Borrowed tasks count with a fraction of their loss, so that they are stopped before other tasks of equal loss. */
const BORROWED_LOSS_FACTOR = 0.1;

/** To save an image fetch shorter than this, no other work is preempted. */
const MIN_FETCH_FOR_PREEMPTION_S = 3;

/** Number of gangs, and of other jobs, for which one cycle searches for victims. Later jobs have their turn in later cycles. */
const MAX_SEARCHES = 24;

/** A request that found no capacity. Requests of the same equivalence class for at least as much find none either. */
export interface UnsatisfiableRequest {
  readonly equivalenceClass: string;
  readonly request: ResourceAmounts;
}

/** Selects running tasks to preempt for waiting jobs, and the grace period of each. */
export class Preemption {
  readonly preemptions: CyclePlan['preemptions'][number][] = [];
  /** Machines whose free capacity is withheld for gangs that do not find enough. */
  readonly reservedMachines: MachineId[] = [];
  /** How often a machine was searched for tasks to preempt. */
  searchedCount = 0;
  private readonly unsatisfiable: UnsatisfiableRequest[] = [];
  /** Jobs for which no machine with their image can be freed in this cycle. */
  private readonly jobsWithoutFreeableImage = new Set<JobId>();
  private readonly searches = { gangs: 0, others: 0 };
  private readonly expectedReleases: ExpectedReleases;

  constructor(
    private readonly snapshot: SchedulingSnapshot,
    private readonly capacityIndex: CapacityIndex,
    private readonly machineSelector: MachineSelector,
    private readonly borrowing: Borrowing,
    private readonly withinGuarantee: ReadonlySet<JobId>,
    private readonly queueOrder: (a: Job, b: Job) => number,
  ) {
    this.expectedReleases = new ExpectedReleases(snapshot, capacityIndex, machineSelector, withinGuarantee);
  }

  /** What this cycle preempts of each class, as a share of all machines. */
  private readonly preemptedShareByClass = new Map<string, number>();

  private preempt(placement: Placement, job: Job): void {
    this.borrowing.recordReclaim(placement);
    const { class: name } = placement.job.spec;
    this.preemptedShareByClass.set(
      name,
      (this.preemptedShareByClass.get(name) ?? 0) +
        (this.snapshot.fairShare?.preemptibleShareOf(placement.job).taskShare ?? 0),
    );
    const graceS = placement.job.spec.elastic
      ? reclaimGraceS(placement.job.spec)
      : checkpointGraceS(placement.job.spec);
    this.preemptions.push({ placement, graceS, forJob: job.id });
  }

  /** Borrowed tasks may be stopped for any job that is not elastic; other tasks by queue order and class share. */
  private mayPreempt(placement: Placement, job: Job): boolean {
    if (!placement.ended && !job.spec.elastic && this.borrowing.isBorrowed(placement)) return true;
    return (
      isPreemptible(placement, job, this.withinGuarantee, this.queueOrder) &&
      this.leavesClassItsShare(placement, job)
    );
  }

  /** Whether the task's class keeps its share if the task is stopped. Production work may preempt below that share. */
  private leavesClassItsShare(placement: Placement, job: Job): boolean {
    const { fairShare } = this.snapshot;
    if (!fairShare || isProduction(job)) return true;
    const { surplus, taskShare } = fairShare.preemptibleShareOf(placement.job);
    return surplus - (this.preemptedShareByClass.get(placement.job.spec.class) ?? 0) >= taskShare;
  }

  /**
   * Reserves a machine that holds the job's image when free capacity exists only on machines that would have to fetch it.
   * Arrays of lower priority on the machine are preempted if that loses less work than the fetch would take.
   */
  reserveMachineWithImage(job: Job, tasksByZone: ReadonlyMap<ZoneName, number>): boolean {
    const { spec } = job;
    if (
      !this.snapshot.objectives.startWithinSByClass.has(spec.class) ||
      this.jobsWithoutFreeableImage.has(job.id)
    )
      return false;
    let best: { capacity: FreeCapacity; victims: Placement[]; loss: number } | undefined;
    for (const machine of this.snapshot.cluster.machinesWithImage(spec.image)) {
      const capacity = this.capacityIndex.findByMachine(machine);
      if (!capacity || capacity.reserved || !this.machineSelector.hasImage(machine, job)) continue;
      if (
        !this.machineSelector.isFeasible(job, tasksByZone, capacity) ||
        !hasCapacityFor(capacity.type, spec)
      )
        continue;
      const fetchS = spec.imageGb / Math.max(capacity.type.fetchGbPerS, 1e-3);
      if (fetchS < MIN_FETCH_FOR_PREEMPTION_S) continue;
      const free = { cpus: capacity.cpus, gpus: capacity.gpus, memoryGb: capacity.memoryGb };
      const addFreed = (placement: Placement): void => {
        free.cpus += placement.job.spec.cpus;
        free.gpus += placement.job.spec.gpus;
        free.memoryGb += placement.job.spec.memoryGb;
      };
      const placements = [...capacity.machine.placements].filter((placement) => !placement.ended);
      for (const placement of placements) if (placement.stop) addFreed(placement);
      const victims: Placement[] = [];
      let loss = 0;
      if (!hasCapacityFor(free, spec)) {
        const eligibleVictims = placements
          .filter((placement) => !placement.stop && placement.job.spec.kind === 'array')
          .filter((placement) => priorityRank(placement.job.spec.priority) > priorityRank(spec.priority))
          .filter(
            (placement) =>
              isPreemptible(placement, job, this.withinGuarantee, this.queueOrder) &&
              this.leavesClassItsShare(placement, job),
          )
          .sort((a, b) => preemptionLoss(a, this.snapshot.now) - preemptionLoss(b, this.snapshot.now));
        for (const placement of eligibleVictims) {
          addFreed(placement);
          victims.push(placement);
          loss += preemptionLoss(placement, this.snapshot.now);
          if (hasCapacityFor(free, spec)) break;
        }
      }
      if (!hasCapacityFor(free, spec) || loss > fetchS * (spec.gpus + spec.cpus / 100)) continue;
      if (!best || loss < best.loss) best = { capacity, victims, loss };
    }
    if (!best) {
      this.jobsWithoutFreeableImage.add(job.id);
      return false;
    }
    best.capacity.reserved = true;
    for (const placement of best.victims) this.preempt(placement, job);
    return true;
  }

  /**
   * Called when no machine has free capacity for the job. Reserves machines for it, so that jobs later in queue order do
   * not take them, and preempts work that may be stopped for it where the loss is least.
   */
  selectVictims(job: Job, count: number): void {
    const { spec } = job;
    if (failsEverywhere(job)) return;
    // Gangs have a search budget of their own, which a backlog of arrays before them cannot use up.
    const searchKind = spec.kind === 'gang' && spec.tasks > 1 ? 'gangs' : 'others';
    if (++this.searches[searchKind] > MAX_SEARCHES) return;
    const tasksByZone = countTasksByZone(job);
    // Services and classes with a start objective do not wait for releases while elastic jobs borrow capacity.
    const mayWaitForReleases =
      !(spec.kind === 'service' || this.snapshot.objectives.startWithinSByClass.has(spec.class)) ||
      !this.borrowing.hasAnyBorrowed();
    let missing = Math.min(
      count - (mayWaitForReleases ? this.expectedReleases.countServedByReleases(job, count, tasksByZone) : 0),
      64,
    );
    if (missing <= 0) return;
    // Jobs come in queue order and free capacity only shrinks. If a job found no victims, a later job that may preempt no
    // more than that one finds none either.
    const equivalenceClass = equivalenceClassOf(job, tasksByZone, this.snapshot.now);
    const isWithinGuarantee = this.withinGuarantee.has(job.id);
    const requestClass = `${equivalenceClass ?? ''}/${spec.priority}/${isWithinGuarantee ? spec.team : '-'}`;
    if (
      equivalenceClass !== undefined &&
      this.unsatisfiable.some(
        (known) => known.equivalenceClass === requestClass && hasCapacityFor(spec, known.request),
      )
    )
      return;
    const candidates: Candidate[] = [];
    for (const capacity of this.capacityIndex.all) {
      if (
        capacity.reserved ||
        !this.machineSelector.isFeasible(job, tasksByZone, capacity) ||
        !hasCapacityFor(capacity.type, spec)
      )
        continue;
      const found = this.findCandidate(job, capacity);
      if (found) candidates.push(found);
    }
    if (candidates.length === 0 && equivalenceClass !== undefined)
      this.unsatisfiable.push({ equivalenceClass: requestClass, request: spec });
    const imageRank = (candidate: Candidate): number =>
      Number(this.machineSelector.hasImage(candidate.capacity.machine, job));
    const serviceCount = (candidate: Candidate): number =>
      spec.kind === 'service' ? candidate.capacity.machine.usage.services : 0;
    candidates.sort(
      (a, b) =>
        Number(b.isFreeWithoutPreemption) - Number(a.isFreeWithoutPreemption) ||
        imageRank(b) - imageRank(a) ||
        serviceCount(b) - serviceCount(a) ||
        a.loss - b.loss,
    );
    const zone = spec.oneZone
      ? this.selectZone(candidates, missing, this.snapshot.fairShare?.reservedZoneOf(job))
      : undefined;
    const isTooEarly = this.snapshot.now - job.acceptedAt < this.snapshot.preemptAfterMs;
    // Nothing is preempted for a gang that would still not find all its machines. The capacity that it does find is
    // withheld from other jobs for a limited time (`gang-reservations.ts`).
    const totalTasks = candidates.reduce(
      (total, candidate) =>
        total + (zone === undefined || candidate.capacity.machine.zone === zone ? candidate.taskCapacity : 0),
      0,
    );
    const incomplete = spec.kind === 'gang' && totalTasks < missing;
    for (const candidate of candidates) {
      if (missing <= 0) break;
      if (zone !== undefined && candidate.capacity.machine.zone !== zone) continue;
      missing -= candidate.taskCapacity;
      if (incomplete) {
        const { id } = candidate.capacity.machine;
        if (this.snapshot.mayReserve?.(id) === false) continue;
        this.reservedMachines.push(id);
      }
      candidate.capacity.reserved = true;
      if (
        incomplete ||
        (isTooEarly && !candidate.victims.every((placement) => this.borrowing.isBorrowed(placement)))
      )
        continue;
      for (const placement of candidate.victims) this.preempt(placement, job);
    }
  }

  /** Summary of the machine's tasks, computed once a cycle: it rules machines without any victim out at once. */
  private summaryOf(capacity: FreeCapacity): PlacementSummary {
    let summary = this.summaries.get(capacity);
    if (summary) return summary;
    summary = {
      maxPriorityRank: -1,
      hasTaskOutsideGuarantee: false,
      hasStoppingTask: false,
      hasBorrowedTask: false,
    };
    for (const placement of capacity.machine.placements) {
      if (placement.ended) continue;
      if (placement.stop) summary.hasStoppingTask = true;
      else {
        summary.maxPriorityRank = Math.max(
          summary.maxPriorityRank,
          priorityRank(placement.job.spec.priority),
        );
        if (!this.withinGuarantee.has(placement.job.id)) summary.hasTaskOutsideGuarantee = true;
        if (this.borrowing.isBorrowed(placement)) summary.hasBorrowedTask = true;
      }
    }
    this.summaries.set(capacity, summary);
    return summary;
  }

  private readonly summaries = new Map<FreeCapacity, PlacementSummary>();

  /** How many of the job's tasks the machine could take after its eligible victims are gone, and at what loss. */
  private findCandidate(job: Job, capacity: FreeCapacity): Candidate | undefined {
    const { spec } = job;
    const summary = this.summaryOf(capacity);
    const mayPreempt =
      summary.maxPriorityRank > priorityRank(spec.priority) ||
      (summary.hasTaskOutsideGuarantee && this.withinGuarantee.has(job.id)) ||
      (summary.hasBorrowedTask && !spec.elastic);
    // No task is stopping and none may be preempted, so the machine's free capacity will not grow.
    if (!mayPreempt && !summary.hasStoppingTask && !hasCapacityFor(capacity, spec)) return undefined;
    this.searchedCount++;
    const free = { cpus: capacity.cpus, gpus: capacity.gpus, memoryGb: capacity.memoryGb };
    const addFreed = (placement: Placement): void => {
      free.cpus += placement.job.spec.cpus;
      free.gpus += placement.job.spec.gpus;
      free.memoryGb += placement.job.spec.memoryGb;
    };
    const taskCapacity = (): number =>
      spec.kind === 'gang' && spec.tasks > 1 ? countFitting(free, spec) : 1;
    for (const placement of capacity.machine.placements)
      if (!placement.ended && placement.stop) addFreed(placement);
    if (hasCapacityFor(free, spec))
      return { capacity, victims: [], loss: 0, isFreeWithoutPreemption: true, taskCapacity: taskCapacity() };
    if (!mayPreempt) return undefined;
    const cost = (placement: Placement): number =>
      preemptionLoss(placement, this.snapshot.now) *
      (this.borrowing.isBorrowed(placement) ? BORROWED_LOSS_FACTOR : 1);
    const eligibleVictims = [...capacity.machine.placements]
      .filter((placement) => !placement.stop && this.mayPreempt(placement, job))
      .sort((a, b) => cost(a) - cost(b));
    const victims: Placement[] = [];
    let loss = 0;
    const selectedByJob = new Map<Job, number>();
    for (const placement of eligibleVictims) {
      // Of an elastic job no more than its borrowed tasks are taken, unless the queue order allows more.
      const alreadySelected = selectedByJob.get(placement.job) ?? 0;
      const mayReclaim = this.borrowing.mayReclaim(placement, alreadySelected);
      if (
        placement.job.spec.elastic &&
        !mayReclaim &&
        !isPreemptible(placement, job, this.withinGuarantee, this.queueOrder)
      )
        continue;
      selectedByJob.set(placement.job, alreadySelected + 1);
      addFreed(placement);
      victims.push(placement);
      loss += cost(placement) * placement.job.placements.size ** (placement.job.spec.kind === 'gang' ? 1 : 0);
      if (hasCapacityFor(free, spec))
        return { capacity, victims, loss, isFreeWithoutPreemption: false, taskCapacity: taskCapacity() };
    }
    return undefined;
  }

  /**
   * Selects the zone for a job that needs all its tasks in one: the zone that can hold the whole job at the least loss.
   * If none can, the zone that can hold most of it, and the victims are dropped: its capacity is only reserved, because
   * preempting there would not let the job start.
   */
  private selectZone(
    candidates: Candidate[],
    missing: number,
    reservedZone: ZoneName | undefined,
  ): ZoneName | undefined {
    const totalsByZone = new Map<ZoneName, { taskCapacity: number; loss: number }>();
    for (const candidate of candidates) {
      const total = totalsByZone.get(candidate.capacity.machine.zone) ?? { taskCapacity: 0, loss: 0 };
      if (total.taskCapacity < missing) total.loss += candidate.loss;
      total.taskCapacity += candidate.taskCapacity;
      totalsByZone.set(candidate.capacity.machine.zone, total);
    }
    let best: { zone: ZoneName; taskCapacity: number; loss: number } | undefined;
    for (const [zone, { taskCapacity, loss }] of totalsByZone) {
      const tasks = Math.min(taskCapacity, missing);
      // If machines are reserved for the job, work is preempted in their zone or nowhere.
      if (reservedZone !== undefined && zone !== reservedZone) continue;
      if (!best || tasks > best.taskCapacity || (tasks === best.taskCapacity && loss < best.loss)) {
        best = { zone, taskCapacity: tasks, loss };
      }
    }
    if (best && best.taskCapacity < missing) {
      for (const candidate of candidates) candidate.victims.length = 0;
    }
    return best?.zone;
  }
}

/** What the tasks on one machine have in common as possible victims. */
interface PlacementSummary {
  /** Rank of the running task with the lowest priority; -1 if nothing runs. */
  maxPriorityRank: number;
  /** Whether a task runs whose job is not within its team's guarantee. */
  hasTaskOutsideGuarantee: boolean;
  /** Whether a task is being stopped. */
  hasStoppingTask: boolean;
  /** Whether a borrowed task of an elastic job runs. */
  hasBorrowedTask: boolean;
}

/** A machine on which tasks of the job could run after preemption. */
interface Candidate {
  readonly capacity: FreeCapacity;
  readonly victims: Placement[];
  readonly loss: number;
  /** Whether the capacity is free now, or will be when the tasks that are being stopped are gone. */
  readonly isFreeWithoutPreemption: boolean;
  /** How many tasks of the job the machine would take. */
  readonly taskCapacity: number;
}

/** A key shared by jobs that may run on the same machines; undefined if the job avoids machines or is
 * bound by the zones of its placed tasks. */
export function equivalenceClassOf(
  job: Job,
  tasksByZone: ReadonlyMap<ZoneName, number>,
  now: SteadyMs,
): string | undefined {
  const { spec } = job;
  for (const until of job.avoidedUntil.values()) if (until > now) return undefined;
  if ((spec.spread || spec.oneZone) && tasksByZone.size > 0) return undefined;
  return `${spec.spot}/${spec.zone ?? '*'}/${spec.types?.join(',') ?? '*'}`;
}

/**
 * Whether a task may be preempted for a job: it has lower priority, or the job is within its team's guarantee and the
 * task, of another team, is not within its own. The job must also precede the task's job in queue order. Otherwise the
 * preempted task is first in the next cycle and takes the capacity back, and the two displace each other without end;
 * this has cost a thousand starts in one day.
 */
function isPreemptible(
  placement: Placement,
  job: Job,
  withinGuarantee: ReadonlySet<JobId>,
  queueOrder: (a: Job, b: Job) => number,
): boolean {
  if (placement.ended || placement.job.id === job.id) return false;
  const hasLowerPriority = priorityRank(placement.job.spec.priority) > priorityRank(job.spec.priority);
  const isDueByGuarantee = (): boolean =>
    withinGuarantee.has(job.id) &&
    !withinGuarantee.has(placement.job.id) &&
    placement.job.spec.team !== job.spec.team;
  // The queue order is the costliest check and comes last: a full cluster is checked for every task of every machine.
  return (hasLowerPriority || isDueByGuarantee()) && queueOrder(placement.job, job) >= 0;
}

/**
 * Work lost if the task is stopped, weighted by its resources: its runtime so far, or the time to save if it checkpoints.
 */
function preemptionLoss(placement: Placement, now: SteadyMs): number {
  const ranS = placement.runningSince === undefined ? 0 : (now - placement.runningSince) / 1000;
  const lostS = placement.job.spec.checkpointS > 0 ? placement.job.spec.saveS : ranS;
  return (1 + lostS) * (placement.job.spec.gpus + placement.job.spec.cpus / 100);
}
