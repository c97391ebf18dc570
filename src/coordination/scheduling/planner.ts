import type { JobId, MachineId, TaskIndex, ZoneName } from '../../protocol/ids.js';
import type { FairShareGroupKey } from '../../cluster/fair-share-groups.js';
import {
  failsEverywhere,
  maySchedule,
  waitingTaskCount,
  waitingTasks,
  type Job,
} from '../../cluster/cluster-state.js';
import { isEligible, countTasksByZone } from './eligibility.js';
import { Borrowing } from './borrowing.js';
import { dueAt, isProduction, createQueueOrder } from './queue-order.js';
import { findJobsWithinGuarantee } from './guarantees.js';
import { MachineSelector } from './machine-selector.js';
import { CapacityIndex, type FreeCapacity } from './capacity-index.js';
import { hasCapacityFor, type ResourceAmounts } from './resources.js';
import {
  type PlannedTask,
  type CyclePlan,
  type SchedulingSnapshot,
  type UnplacedTasks,
  type PendingReason,
} from './snapshot.js';
import { DEFAULT_PATIENCE_S } from './objectives.js';
import { equivalenceClassOf, Preemption, type UnsatisfiableRequest } from './preemption.js';
import { TeamQuota } from './team-quota.js';

/** How many unplaced jobs, in queue order, are compared with the free capacity reserved for gangs. */
const MAX_JOBS_COMPARED_WITH_RESERVATIONS = 24;

/** Whether one task of the job fits into the free capacity of the machine. */
const fitsInto = ({ spec }: Job, capacity: FreeCapacity): boolean =>
  hasCapacityFor(capacity, spec) &&
  (spec.spot || !capacity.machine.spot) &&
  (spec.zone === null || spec.zone === capacity.machine.zone) &&
  (spec.types === null || spec.types.includes(capacity.machine.type));

/** Plans one scheduling cycle: places the tasks of waiting jobs in queue order, or records why they stay waiting. */
class CyclePlanner {
  private readonly capacityIndex = new CapacityIndex();
  private readonly tasks: PlannedTask[] = [];
  private readonly unplaced: UnplacedTasks[] = [];
  private readonly withinGuarantee: ReadonlySet<JobId>;
  private readonly jobsInPlan = new Set<JobId>();
  private readonly queueOrder: (a: Job, b: Job) => number;
  private readonly orphanTaskNames = new Set<string>();
  private readonly unsatisfiable: UnsatisfiableRequest[] = [];
  private readonly teamQuota: TeamQuota;
  private readonly borrowing: Borrowing;
  private readonly machineSelector: MachineSelector;
  private readonly preemption: Preemption;

  constructor(private readonly snapshot: SchedulingSnapshot) {
    this.teamQuota = new TeamQuota(snapshot.cluster, snapshot.teamLimits);
    this.withinGuarantee =
      snapshot.withinGuarantee ??
      findJobsWithinGuarantee(snapshot.cluster.jobs.values(), snapshot.teamLimits);
    const dueTimes = new Map<Job, number>();
    this.queueOrder = createQueueOrder(this.withinGuarantee, (job) => {
      let dueTime = dueTimes.get(job);
      if (dueTime === undefined) dueTimes.set(job, (dueTime = dueAt(job, snapshot)));
      return dueTime;
    });
    for (const machine of snapshot.cluster.machinesWithOrphans) {
      for (const task of machine.orphanTasks) this.orphanTaskNames.add(`${task.job}/${task.index}`);
    }
    for (const machine of snapshot.cluster.machines.values()) {
      const type = snapshot.machineTypes.get(machine.type);
      if (type && isEligible(machine, snapshot)) this.capacityIndex.add(machine, type);
    }
    this.borrowing = new Borrowing(snapshot);
    this.machineSelector = new MachineSelector(snapshot, this.capacityIndex);
    this.preemption = new Preemption(
      snapshot,
      this.capacityIndex,
      this.machineSelector,
      this.borrowing,
      this.withinGuarantee,
      this.queueOrder,
    );
  }

  run(): CyclePlan {
    const waiting: Job[] = [];
    for (const job of this.snapshot.cluster.jobs.values()) {
      if (maySchedule(job) && waitingTaskCount(job) > 0) waiting.push(job);
    }
    waiting.sort(this.queueOrder);
    // Elastic jobs grow beyond their minimum width only into capacity that no other job uses.
    if (this.snapshot.elastic)
      waiting.sort(
        (a, b) => Number(this.borrowing.growsBeyondMinimum(a)) - Number(this.borrowing.growsBeyondMinimum(b)),
      );
    this.planUnderserved(waiting);
    for (let i = 0; i < waiting.length;) {
      const equalJobs = this.findEqualArrays(waiting, i);
      const overdueJobs = new Set<Job>();
      if (equalJobs.length > 1) {
        for (const job of equalJobs) {
          if (this.isOverdue(job)) overdueJobs.add(job);
          this.planJob(job, !overdueJobs.has(job));
        }
      }
      for (const job of equalJobs) if (!overdueJobs.has(job)) this.planJob(job);
      i += equalJobs.length;
    }
    return {
      tasks: this.tasks,
      preemptions: this.preemption.preemptions,
      unplaced: this.unplaced,
      reservedMachines: this.findReservedMachines(),
      preemptionSearches: this.preemption.searchedCount,
    };
  }

  /**
   * Plans the jobs of underserved classes and teams before all others except production work. Each group is served
   * only up to its deficit: tasks placed beyond it would be preempted again for work that precedes them in queue order.
   */
  private planUnderserved(waiting: readonly Job[]): void {
    const { fairShare } = this.snapshot;
    if (!fairShare) return;
    const urgencies = new Map<Job, number>();
    for (const job of waiting) {
      const urgency =
        isProduction(job) || this.borrowing.growsBeyondMinimum(job) ? 0 : fairShare.urgencyOf(job);
      if (urgency > 0) urgencies.set(job, urgency);
    }
    if (urgencies.size === 0) return;
    for (const job of waiting) if (isProduction(job)) this.planJob(job);
    const underserved = waiting.filter((job) => urgencies.has(job));
    underserved.sort((a, b) => urgencies.get(b)! - urgencies.get(a)!);
    const remainingDeficits = new Map<FairShareGroupKey, number>();
    for (const job of underserved) {
      const { group, gpus } = fairShare.deficitOf(job);
      const remainingGpus = remainingDeficits.get(group) ?? gpus;
      if (remainingGpus <= 0) continue;
      const gpuUnitsPerTask = job.spec.gpus + job.spec.cpus / 1000;
      const placedBefore = this.placedTasks.get(job)?.size ?? 0;
      this.planJob(job, false, Math.max(1, Math.ceil(remainingGpus / Math.max(gpuUnitsPerTask, 1e-6))));
      remainingDeficits.set(
        group,
        remainingGpus - gpuUnitsPerTask * ((this.placedTasks.get(job)?.size ?? 0) - placedBefore),
      );
    }
  }

  /** Machines whose free capacity is withheld for a gang while another waiting job would fit into it. */
  private findReservedMachines(): MachineId[] {
    const { fairShare } = this.snapshot;
    const reserved = [...this.preemption.reservedMachines];
    const waiting = this.unplaced
      .filter((unplacedTasks) => unplacedTasks.reason === 'no room' && !isProduction(unplacedTasks.job))
      .slice(0, MAX_JOBS_COMPARED_WITH_RESERVATIONS);
    if (!fairShare || waiting.length === 0) return reserved;
    for (const capacity of this.capacityIndex.all) {
      const reservation = fairShare.reservationOn(capacity.machine.id);
      if (reservation && waiting.some(({ job }) => job !== reservation.job && fitsInto(job, capacity)))
        reserved.push(capacity.machine.id);
    }
    return reserved;
  }

  /**
   * The job at this position of the queue order and, if it is an array, the arrays that directly follow it with the same
   * priority and guarantee status.
   */
  private findEqualArrays(waiting: readonly Job[], from: number): readonly Job[] {
    const first = waiting[from]!;
    let end = from + 1;
    if (first.spec.kind === 'array') {
      const isEqual = (other: Job): boolean =>
        other.spec.kind === 'array' &&
        other.spec.priority === first.spec.priority &&
        this.withinGuarantee.has(other.id) === this.withinGuarantee.has(first.id);
      while (end < waiting.length && isEqual(waiting[end]!)) end++;
    }
    return waiting.slice(from, end);
  }

  /**
   * Whether the array has waited for more than half of the longest finish objective of its class, or of its own deadline
   * where the class has none. Until then, arrays of
   * equal rank whose image is cached on a machine are placed before those that would have to fetch theirs. With placement
   * by due time alone, a full cluster spent a fifth of its GPU time on image fetches.
   */
  private isOverdue(job: Job): boolean {
    const objectivesS = this.snapshot.objectives.finishWithinSByClass.get(job.spec.class);
    const maxS =
      objectivesS && objectivesS.length > 0
        ? objectivesS[objectivesS.length - 1]!
        : (job.spec.deadlineS ?? DEFAULT_PATIENCE_S);
    return this.snapshot.now - job.acceptedAt > maxS * 500;
  }

  /** The tasks of each job that this cycle has placed. */
  private readonly placedTasks = new Map<Job, Set<TaskIndex>>();
  /** The zones of each job's tasks: those placed in this cycle and those that possibly run. */
  private readonly tasksByZone = new Map<Job, Map<ZoneName, number>>();

  /** Jobs whose full turn in this cycle is over. */
  private readonly plannedJobs = new Set<Job>();

  /**
   * Places tasks of the job. With `withImageOnly`, only machines that hold or fetch its image are used; with `maxTasks`,
   * so many tasks at most. In both cases a full turn of the job follows in the same cycle, so that neither unplaced tasks
   * are recorded nor victims searched for the tasks that find no machine.
   */
  private planJob(job: Job, withImageOnly = false, maxTasks = Infinity): void {
    if (this.plannedJobs.has(job)) return;
    const { spec } = job;
    const isFullTurn = maxTasks === Infinity || spec.kind === 'gang';
    if (isFullTurn && !withImageOnly) this.plannedJobs.add(job);
    const placedBefore = this.placedTasks.get(job);
    const count = Math.min(
      waitingTaskCount(job) - (placedBefore?.size ?? 0),
      this.borrowing.remainingWidth(job, placedBefore),
      maxTasks,
    );
    if (count <= 0) return;
    const isGrowth = this.borrowing.growsBeyondMinimum(job);
    const reportUnplaced = (reason: PendingReason, tasks: number): void => {
      if (withImageOnly || !isFullTurn) return;
      // Tasks that the team's limit keeps from running need no capacity; in particular no machine is provisioned for them.
      const allowed = reason === 'no room' ? Math.min(tasks, this.teamQuota.remainingTasks(spec)) : tasks;
      // A job that fails on all machines is placed only into free capacity: no machine is provisioned or preempted for it.
      if (reason === 'no room' && failsEverywhere(job) && this.capacityIndex.all.length > 0)
        reason = 'backing off';
      if (allowed > 0) this.unplaced.push({ job, count: allowed, reason });
      if (allowed < tasks) this.unplaced.push({ job, count: tasks - allowed, reason: 'team limit' });
    };
    if (job.retryAt > this.snapshot.now) return reportUnplaced('backing off', count);
    if (spec.kind === 'gang') return this.planGang(job, count, reportUnplaced);
    if (!this.teamQuota.isWithinLimit(spec, 1)) return reportUnplaced('team limit', count);
    if (!this.fitsIntoPlan(job, 1)) return reportUnplaced('round full', count);
    const tasksByZone = this.tasksByZone.get(job) ?? countTasksByZone(job);
    this.tasksByZone.set(job, tasksByZone);
    const equivalenceClass = equivalenceClassOf(job, tasksByZone, this.snapshot.now);
    if (equivalenceClass !== undefined && this.isKnownUnsatisfiable(equivalenceClass, spec)) {
      if (isGrowth) return reportUnplaced('no idle room', count);
      if (!withImageOnly && isFullTurn) this.preemption.selectVictims(job, count);
      return reportUnplaced('no room', count);
    }
    const remainingTasks = Math.max(1, this.snapshot.maxTasks - this.tasks.length);
    // Placed tasks are excluded by index, not by count: an earlier pass may have skipped a task and placed a later one.
    // A count would then put tasks into one plan twice.
    const waiting = waitingTasks(job, remainingTasks + (placedBefore?.size ?? 0))
      .filter((i) => !placedBefore?.has(i) && !this.orphanTaskNames.has(`${job.id}/${i}`))
      .slice(0, count);
    const machinesWithImage = this.machineSelector.findCandidatesWithImage(job);
    if (withImageOnly && machinesWithImage.length === 0) return;
    let deferred = 0;
    for (let position = 0; position < waiting.length; position++) {
      const remaining = count - position;
      if (!this.teamQuota.isWithinLimit(spec, 1)) return reportUnplaced('team limit', remaining + deferred);
      if (!this.fitsIntoPlan(job, 1)) return reportUnplaced('round full', remaining + deferred);
      const capacity = withImageOnly
        ? this.machineSelector.selectWithImage(job, tasksByZone, machinesWithImage)
        : this.machineSelector.select(job, tasksByZone, machinesWithImage);
      if (!capacity) {
        if (withImageOnly) return;
        if (isGrowth) return reportUnplaced('no idle room', remaining + deferred);
        if (equivalenceClass !== undefined && position === 0)
          this.unsatisfiable.push({ equivalenceClass, request: spec });
        if (isFullTurn) this.preemption.selectVictims(job, remaining);
        return reportUnplaced('no room', remaining + deferred);
      }
      if (
        !this.machineSelector.hasImage(capacity.machine, job) &&
        this.preemption.reserveMachineWithImage(job, tasksByZone)
      ) {
        deferred++;
        continue;
      }
      tasksByZone.set(capacity.machine.zone, (tasksByZone.get(capacity.machine.zone) ?? 0) + 1);
      this.accept(job, [waiting[position]!], [capacity]);
      if (!machinesWithImage.includes(capacity)) machinesWithImage.push(capacity);
    }
    const remaining = count - waiting.length;
    if (remaining + deferred > 0) reportUnplaced('round full', remaining + deferred);
  }

  private planGang(
    job: Job,
    count: number,
    reportUnplaced: (reason: PendingReason, tasks: number) => void,
  ): void {
    const { spec } = job;
    // Gangs start as a whole: a new attempt waits until every task of the old one is gone.
    if (job.placements.size > 0 || job.done.count > 0) return reportUnplaced('old attempt not gone', count);
    if (!this.teamQuota.isWithinLimit(spec, spec.tasks)) return reportUnplaced('team limit', count);
    if (!this.fitsIntoPlan(job, spec.tasks)) return reportUnplaced('round full', count);
    const waiting = waitingTasks(job, spec.tasks).filter((i) => !this.orphanTaskNames.has(`${job.id}/${i}`));
    if (waiting.length < spec.tasks) return reportUnplaced('old attempt not gone', count);
    const equivalenceClass =
      spec.tasks === 1 ? equivalenceClassOf(job, new Map(), this.snapshot.now) : undefined;
    if (equivalenceClass !== undefined && this.isKnownUnsatisfiable(equivalenceClass, spec)) {
      this.preemption.selectVictims(job, 1);
      return reportUnplaced('no room', count);
    }
    const selected = this.machineSelector.selectForGang(job, waiting);
    if (!selected) {
      if (equivalenceClass !== undefined) this.unsatisfiable.push({ equivalenceClass, request: spec });
      this.preemption.selectVictims(job, waiting.length);
      return reportUnplaced('no room', count);
    }
    if (spec.tasks === 1 && !this.machineSelector.hasImage(selected[0]!.machine, job)) {
      this.capacityIndex.allocate(selected[0]!, spec, -1);
      if (this.preemption.reserveMachineWithImage(job, countTasksByZone(job)))
        return reportUnplaced('no room', count);
      this.capacityIndex.allocate(selected[0]!, spec, 1);
    }
    this.accept(job, waiting, selected);
  }

  /** Whether a request of the same class that asked for no more found no capacity in this cycle. */
  private isKnownUnsatisfiable(equivalenceClass: string, request: ResourceAmounts): boolean {
    return this.unsatisfiable.some(
      (unsatisfiable) =>
        unsatisfiable.equivalenceClass === equivalenceClass && hasCapacityFor(request, unsatisfiable.request),
    );
  }

  /** Whether the plan may take so many more tasks of the job. A plan's first job may exceed the limit of tasks. */
  private fitsIntoPlan(job: Job, tasks: number): boolean {
    const isFirst = this.tasks.length === 0;
    if (!this.jobsInPlan.has(job.id) && this.jobsInPlan.size >= this.snapshot.maxJobs) return false;
    return isFirst || this.tasks.length + tasks <= this.snapshot.maxTasks;
  }

  /** Adds tasks to the plan. The capacity for the tasks of a gang has been allocated already. */
  private accept(job: Job, indices: readonly TaskIndex[], capacities: readonly FreeCapacity[]): void {
    this.jobsInPlan.add(job.id);
    const placed = this.placedTasks.get(job);
    if (placed) for (const i of indices) placed.add(i);
    else this.placedTasks.set(job, new Set(indices));
    indices.forEach((index, k) => this.tasks.push({ job, index, machine: capacities[k]!.machine }));
    for (let k = 0; k < indices.length; k++) {
      if (job.spec.kind !== 'gang') this.capacityIndex.allocate(capacities[k]!, job.spec, 1);
      this.capacityIndex.recordPlacement(capacities[k]!, job.spec);
    }
    this.teamQuota.charge(job.spec, indices.length);
  }
}

/** Plans one scheduling cycle. */
export const planSchedulingCycle = (snapshot: SchedulingSnapshot): CyclePlan =>
  new CyclePlanner(snapshot).run();
