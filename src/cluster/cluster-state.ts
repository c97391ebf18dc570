/**
 * The leader's in-memory state of the cluster: jobs, machines, plans, placements, and indexes over them. It is rebuilt from the
 * store at each failover. It sends no messages and writes nothing to the store: the code that commits a change applies it here.
 */
import type { SteadyMs } from '../transport/clock.js';
import type {
  Attempt,
  ImageName,
  JobId,
  MachineId,
  ModRevision,
  PlanId,
  HeartbeatSequence,
  AgentEpoch,
  StoreKey,
  TaskIndex,
  TeamName,
  Term,
  TypeName,
  ZoneName,
} from '../protocol/ids.js';
import { GpuSeconds } from './gpu-seconds.js';
import { addUsage, classGroup, teamGroup, type FairShareGroupKey } from './fair-share-groups.js';
import type { JobRecord } from '../storage/records.js';
import type { Job, Machine, OrphanTask, Placement, PlanState, ResourceUsage } from './entities.js';
import { ImageLocations, useImage } from './image-locations.js';
import { newJob, newMachine, newPlacement } from './new-entities.js';
import { RemovedMachines } from './removed-machines.js';

export type {
  Job,
  Machine,
  OrphanTask,
  Placement,
  PlanState,
  ResourceUsage,
  UnconfirmedCommand,
} from './entities.js';
export { maySchedule, mayWriteJob } from './job-writes.js';
export { failsEverywhere, teamUsageWithOrphans, waitingTaskCount, waitingTasks } from './counts.js';

/** From this number of retained exits on, a machine's agent is to obey a higher fencing token, and may then forget them. */
const RETAINED_EXITS_TO_FENCE = 64;

/** Changes of a job's record arrive within seconds of the job's completion, so remembering the last few thousand is enough. */
const MAX_ENDED_JOBS = 10_000;

/**
 * The state held by the leader of one term: jobs, machines, and the tasks that may run on them. A task is *possibly running* on
 * its machine from the commit of its plan until there is proof that it is not; missing heartbeats are no proof.
 */
export class ClusterState {
  readonly jobs = new Map<JobId, Job>();
  readonly machines = new Map<MachineId, Machine>();
  readonly plans = new Map<PlanId, PlanState>();
  /** Placements that ended and whose completion is not persisted yet. */
  readonly pendingCompletions = new Set<Placement>();
  /** Jobs that ended under this term: changes of their records may arrive after the end. */
  readonly endedJobs = new Set<JobId>();
  /** Store keys that are no longer needed; they are removed at the lowest priority. */
  readonly garbage = new Set<StoreKey>();

  /** GPU time by cause under this term. */
  readonly cardSeconds = new GpuSeconds();

  /** Tasks of heartbeats that were reconciled one by one; tests check that this stays low. */
  reconciledTaskCount = 0;

  /** Whether the cached images of any machine changed since they were last persisted. */
  imagesChanged = false;
  /** Images that earlier leaders persisted, by machine; used when a machine is added. */
  readonly rememberedImages = new Map<MachineId, { name: ImageName; gb: number }[]>();

  // Indexes, updated with every change: with thousands of machines, nothing may iterate over all of them per heartbeat or cycle.
  /** Resources that each team's live placements use. */
  readonly teamUsage = new Map<TeamName, ResourceUsage>();
  /** The same for each fair-share group, without production work, which is served first regardless of shares. */
  readonly groupUsage = new Map<FairShareGroupKey, ResourceUsage>();
  /** Number of jobs of each group that completed under this term. */
  readonly completedJobs = new Map<FairShareGroupKey, number>();
  private readonly imageLocations = new ImageLocations();
  private readonly removedMachines = new RemovedMachines();
  /** Placements whose stop request has not been sent to their agent yet. */
  readonly pendingStops = new Set<Placement>();
  /** Jobs with failures that the pipelines have not counted yet. */
  readonly jobsWithUncountedFailures = new Set<Job>();
  /** Jobs that have started while their records still say `queued`, and since when, in the order of their starts. */
  readonly pendingStatus = new Map<Job, SteadyMs>();
  /** Machines with orphan tasks. */
  readonly machinesWithOrphans = new Set<Machine>();
  /** Machines that retain `RETAINED_EXITS_TO_FENCE` exited attempts or more. */
  readonly machinesWithManyExits = new Set<Machine>();
  /** Sum of the retained exits of all machines. */
  totalRetainedExits = 0;
  /** Spot machines whose interruption the provider has announced. */
  readonly interruptedMachines = new Set<Machine>();
  /** Starts whose answer was lost: they may still be executed until their agent obeys a higher fencing token. */
  readonly inDoubtStarts = new Set<Placement>();
  /** Live jobs and plans that each completion batch names; a batch is garbage once none of them is left. */
  readonly completionBatchReferences = new Map<StoreKey, Set<JobId | PlanId>>();

  /** `term`: the leader's term, raised together with the fencing token. */
  constructor(public term: Term) {
    this.initialToken = term;
  }

  /** The token with which this leader loaded its state: only commands of this leader carry this token or a higher one. */
  readonly initialToken: Term;

  /** Adds a job from its record. */
  addJob(
    record: JobRecord,
    modRevision: ModRevision,
    acceptedAt: SteadyMs,
    cancelledAt: SteadyMs | undefined,
  ): Job {
    const job = newJob({ record, modRevision, acceptedAt, cancelledAt });
    this.jobs.set(job.id, job);
    return job;
  }

  /** Adds a booting machine; images that an earlier leader persisted for it count as cached there. */
  addMachine(
    id: MachineId,
    type: TypeName,
    zone: ZoneName,
    spot: boolean,
    now: SteadyMs,
    rentedAt: SteadyMs,
  ): Machine {
    const machine = newMachine({ id, type, zone, spot, now, rentedAt });
    for (const { name, gb } of this.rememberedImages.get(id) ?? []) {
      machine.cachedImages.set(name, gb);
      this.imageLocations.add(machine, name);
    }
    this.machines.set(id, machine);
    return machine;
  }

  /** Adds a task that a committed plan starts: from now on it is possibly running on the machine. */
  addPlacement(
    job: Job,
    index: TaskIndex,
    attempt: Attempt,
    machine: Machine,
    agentEpoch: AgentEpoch,
    plan: PlanId,
    now: SteadyMs,
  ): Placement {
    const placement = newPlacement({ job, index, attempt, machine, agentEpoch, plan, addedAt: now });
    job.placements.set(index, placement);
    if (job.record.state === 'queued' && !this.pendingStatus.has(job)) this.pendingStatus.set(job, now);
    job.hasStarted = true;
    machine.placements.add(placement);
    machine.reconciledTasks = undefined;
    this.charge(placement, 1);
    this.imageLocations.add(machine, job.spec.image);
    return placement;
  }

  private charge(placement: Placement, sign: 1 | -1): void {
    const { spec } = placement.job;
    const { usage } = placement.machine;
    usage.cpus += sign * spec.cpus;
    usage.gpus += sign * spec.gpus;
    usage.memoryGb += sign * spec.memoryGb;
    usage.tasks += sign;
    if (spec.kind === 'service') usage.services += sign;
    addUsage(this.teamUsage, spec.team, spec, sign);
    if (spec.priority !== 'production') {
      addUsage(this.groupUsage, classGroup(spec), spec, sign);
      addUsage(this.groupUsage, teamGroup(spec), spec, sign);
    }
    // Sums of fractions accumulate rounding errors; without tasks, the usage is exactly zero.
    if (usage.tasks === 0) Object.assign(usage, { cpus: 0, gpus: 0, memoryGb: 0 });
  }

  /** Requests that a placement be stopped; only a cancellation replaces an earlier request. */
  requestStop(placement: Placement, graceS: number, reason: string, at: SteadyMs): void {
    if (placement.stop && !(reason === 'cancelled' && placement.stop.reason !== 'cancelled')) return;
    placement.stop = { graceS, reason, at, sent: false };
    placement.machine.reconciledTasks = undefined;
    if (!placement.ended) this.pendingStops.add(placement);
  }

  /** Marks a start that was sent and not answered: it may still be executed. */
  markInDoubt(placement: Placement): void {
    placement.startDelivery = 'inDoubt';
    placement.machine.reconciledTasks = undefined;
    this.inDoubtStarts.add(placement);
  }

  /** Clears the mark of a start that was executed, was refused, or can no longer be executed. */
  resolveInDoubt(placement: Placement): void {
    placement.startDelivery = undefined;
    this.inDoubtStarts.delete(placement);
  }

  /** Removes a placement that a later plan replaced; the later plan was made on proof that this attempt was gone. */
  discardPlacement(placement: Placement): void {
    if (!placement.ended) this.charge(placement, -1);
    placement.machine.placements.delete(placement);
    this.dropFromSets(placement);
  }

  private dropFromSets(placement: Placement): void {
    placement.machine.reconciledTasks = undefined;
    this.pendingCompletions.delete(placement);
    this.pendingStops.delete(placement);
    this.inDoubtStarts.delete(placement);
  }

  /** Replaces the machine's orphan tasks. */
  setOrphanTasks(machine: Machine, orphanTasks: readonly OrphanTask[]): void {
    machine.orphanTasks = orphanTasks;
    if (orphanTasks.length > 0) this.machinesWithOrphans.add(machine);
    else this.machinesWithOrphans.delete(machine);
  }

  /** Sets how many exited attempts the machine's agent must not forget yet. */
  setRetainedExits(machine: Machine, count: number): void {
    this.totalRetainedExits += count - machine.retainedExits;
    machine.retainedExits = count;
    if (count >= RETAINED_EXITS_TO_FENCE) this.machinesWithManyExits.add(machine);
    else this.machinesWithManyExits.delete(machine);
  }

  /** Records proof that the task has left its machine. It can't be planned again before `completePlacement`. */
  endPlacement(
    placement: Placement,
    outcome: NonNullable<Placement['ended']>['outcome'],
    now: SteadyMs,
  ): void {
    if (placement.ended) return;
    // An in-doubt start could still be executed after this; only the end of the machine or of its agent's epoch rules that out.
    if (placement.startDelivery !== undefined && outcome !== 'gone') return;
    placement.ended = { outcome, at: now };
    this.cardSeconds.recordTaskEnd(placement, now);
    placement.machine.reconciledTasks = undefined;
    this.charge(placement, -1);
    this.pendingStops.delete(placement);
    this.inDoubtStarts.delete(placement);
    this.pendingCompletions.add(placement);
    if (placement.machine.usage.tasks === 0) placement.machine.idleSince = now;
  }

  /** Removes a placement whose completion is persisted: its task is done, or waits again. */
  completePlacement(placement: Placement): void {
    this.dropFromSets(placement);
    placement.machine.placements.delete(placement);
    if (placement.job.placements.get(placement.index) === placement)
      placement.job.placements.delete(placement.index);
    if (placement.index < placement.job.waitingCursor) placement.job.waitingCursor = placement.index;
  }

  /** Records that the image was just used on the machine; the cache keeps the most recently used images. */
  recordImage(machine: Machine, image: ImageName, gb: number, cacheGb: number): void {
    if (!useImage(machine, image, gb, cacheGb)) return;
    this.imageLocations.add(machine, image);
    this.imagesChanged = true;
  }

  /** Yields machines that hold the image, or are fetching it for a task placed there. */
  machinesWithImage(image: ImageName): IterableIterator<Machine> {
    return this.imageLocations.machinesWith(image);
  }

  /** Removes a job that is over; completion batches that name no other live job or plan become garbage. */
  removeJob(job: Job): void {
    if (this.jobs.delete(job.id) && job.done.count === job.spec.tasks) {
      for (const key of [classGroup(job.spec), teamGroup(job.spec)]) {
        this.completedJobs.set(key, (this.completedJobs.get(key) ?? 0) + 1);
      }
    }
    this.pendingStatus.delete(job);
    this.jobsWithUncountedFailures.delete(job);
    for (const key of job.completionBatches) this.unreferenceBatch(job, key);
  }

  /** Records that a completion batch in the store names tasks of the job. */
  referenceBatchFromJob(job: Job, key: StoreKey): void {
    job.completionBatches.add(key);
    this.referencesOf(key).add(job.id);
  }

  /** Records that a completion batch in the store says which tasks of the plan went back to waiting. */
  referenceBatchFromPlan(plan: PlanState, key: StoreKey): void {
    plan.completionBatches.add(key);
    this.referencesOf(key).add(plan.id);
  }

  private referencesOf(key: StoreKey): Set<JobId | PlanId> {
    let references = this.completionBatchReferences.get(key);
    if (!references) this.completionBatchReferences.set(key, (references = new Set()));
    return references;
  }

  /** Records that the job no longer needs the completion batch. */
  unreferenceBatch(job: Job, key: StoreKey): void {
    job.completionBatches.delete(key);
    this.removeReference(key, job.id);
  }

  private removeReference(key: StoreKey, id: JobId | PlanId): void {
    const references = this.completionBatchReferences.get(key);
    references?.delete(id);
    if (references && references.size > 0) return;
    this.completionBatchReferences.delete(key);
    this.garbage.add(key);
  }

  /**
   * Removes a plan that has no open task. Its keys are removed before any record of its tasks' ends: a plan that is loaded
   * without those records would count its tasks as possibly running. Garbage is removed in the order in which it was added.
   */
  removePlan(plan: PlanState, keys: readonly StoreKey[]): void {
    this.plans.delete(plan.id);
    for (const key of keys) this.garbage.add(key);
    for (const key of plan.completionBatches) this.removeReference(key, plan.id);
  }

  /** Remembers a job that is over, so that a late change of its record does not bring it back. */
  recordEndedJob(id: JobId): void {
    this.endedJobs.add(id);
    if (this.endedJobs.size <= MAX_ENDED_JOBS) return;
    const oldest = this.endedJobs.values().next().value;
    if (oldest !== undefined) this.endedJobs.delete(oldest);
  }

  /** Returns whether a heartbeat with this epoch and sequence number was sent before its machine was removed. */
  isFromRemovedMachine(id: MachineId, agentEpoch: AgentEpoch, sequence: HeartbeatSequence): boolean {
    return this.removedMachines.precedesRemoval(id, agentEpoch, sequence);
  }

  /** Removes a machine and everything on it. `cannotReturn`: any further message of the machine is a late one. */
  removeMachine(machine: Machine, now: SteadyMs, cannotReturn = false): void {
    this.removedMachines.add(machine.id, machine.agentEpoch, machine.heartbeatSequence, cannotReturn);
    for (const placement of machine.placements) this.endPlacement(placement, 'gone', now);
    machine.state = 'gone';
    this.machines.delete(machine.id);
    this.interruptedMachines.delete(machine);
    this.machinesWithOrphans.delete(machine);
    this.setRetainedExits(machine, 0);
  }
}
