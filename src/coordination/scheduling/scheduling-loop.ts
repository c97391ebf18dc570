import { RequestPriority } from '../../transport/rate-limiter.js';
import { sleep, type SteadyMs } from '../../transport/clock.js';
import type { JobId } from '../../protocol/ids.js';
import { maySchedule, waitingTaskCount, type Machine } from '../../cluster/cluster-state.js';
import type { CommandDispatcher } from '../dispatch/command-dispatcher.js';
import type { HeartbeatMonitor } from '../heartbeats/heartbeat-monitor.js';
import { clearFailuresOfSoundJobs } from '../heartbeats/task-failures.js';
import type { SchedulingClusterState } from '../leader/cluster-state-views.js';
import type { FencedWriter } from '../leader/fenced-writer.js';
import type { LeaderContext } from '../leader/leader-context.js';
import { isEligible, type EligibilityContext } from './eligibility.js';
import { GangReservations } from './gang-reservations.js';
import { reclaimGraceS } from './grace-periods.js';
import { findJobsWithinGuarantee } from './guarantees.js';
import { schedulingObjectives, type SchedulingObjectives } from './objectives.js';
import { CHANGES_PER_COMMIT, CONDITIONS_BESIDE_JOBS, PlanCommitter } from './plan-committer.js';
import { planSchedulingCycle } from './planner.js';
import type { PlannedPreemption, SchedulingSnapshot, UnplacedTasks } from './snapshot.js';

/** How old the list of jobs within their team's guarantee may be. */
const GUARANTEES_MAX_AGE_MS = 300;

/**
 * Cycles run at least this often: time alone also changes the state, as back-offs end and machines become
 * unresponsive.
 */
const MAX_IDLE_MS = 1000;

/** The longest interval between cycles while there is work. */
const MAX_CYCLE_INTERVAL_MS = 2000;

/** An interval is at least so many times the planning time, so that planning takes at most a fifth of the time. */
const INTERVAL_PER_PLAN_TIME = 4;

/** The interval grows with the records that wait for removal: a tenth of the time that removing them would take. */
const INTERVAL_MS_PER_REMOVAL_S = 100;

/** The weight of a plan that is kept, relative to a record that waits for removal. */
const KEPT_PLAN_WEIGHT = 1 / 4;

/** The weight of the newest cycle in the smoothed planning time. */
const PLAN_TIME_SMOOTHING = 0.3;

/** Machines get no new tasks when their last heartbeat is older than two and a half heartbeat intervals. */
const STALE_MS_PER_INTERVAL_S = 2500;

/** How long a job waits before running work is preempted for it. */
const PREEMPT_AFTER_MS = 1500;

/** Conditions that the store admits for each change of a transaction. */
const CONDITIONS_PER_CHANGE = 4;

/** Numbers of records of earlier cycles that the garbage collector still has to remove, and of plans that are kept. */
export interface OutstandingRecords {
  readonly waiting: number;
  readonly plans: number;
}

/**
 * The interval between the starts of two cycles, in milliseconds. Planning may take a fifth of the time, so a larger
 * cluster has larger cycles rather than more of them.
 *
 * Each cycle leaves a plan and a receipt behind. Removing them costs two more changes at the lowest priority, and a
 * thousand such records have piled up. The interval therefore grows with the records that wait for removal, by a tenth
 * of the time that removing them would take.
 *
 * Plans that are kept have little weight: a replica keeps its plan for as long as it runs, and a failover reads hundreds
 * of them in a few pages. With full weight they set cycles two seconds apart while two thousand GPUs were free and as
 * many tasks waited.
 */
export const cycleIntervalMs = (
  planMs: number,
  minIntervalMs: number,
  records: OutstandingRecords,
  writesPerSecond: number,
): number => {
  const removalS = (records.waiting + records.plans * KEPT_PLAN_WEIGHT) / writesPerSecond;
  return Math.min(
    MAX_CYCLE_INTERVAL_MS,
    Math.max(minIntervalMs, INTERVAL_PER_PLAN_TIME * planMs, removalS * INTERVAL_MS_PER_REMOVAL_S),
  );
};

export interface SchedulingLoopDependencies {
  readonly context: LeaderContext<SchedulingClusterState>;
  readonly writer: FencedWriter;
  readonly commands: CommandDispatcher;
  readonly heartbeats: HeartbeatMonitor;
  /** Notified of machines for which tasks have just been committed. */
  readonly onCommitted: (machines: readonly Machine[]) => void;
}

/**
 * The scheduling loop of one term: it takes a snapshot, plans a cycle, carries out its preemptions and commits its
 * tasks. It owns the interval between cycles and the state that is carried from one to the next. It never starts a task
 * that is not committed (`plan-committer.ts`), and never decides placements itself (`planner.ts`).
 */
export class SchedulingLoop {
  /** The tasks that the last cycle left waiting, with the reasons. */
  unplaced: readonly UnplacedTasks[] = [];
  /** When the last cycle was planned. */
  plannedAt = 0 as SteadyMs;
  private isDirty = true;
  private wakeUp: (() => void) | undefined;
  private readonly context: LeaderContext<SchedulingClusterState>;
  private readonly commands: CommandDispatcher;
  private readonly heartbeats: HeartbeatMonitor;
  private readonly objectives: SchedulingObjectives;
  private readonly committer: PlanCommitter;
  private readonly reservations = new GangReservations();
  private withinGuarantee: ReadonlySet<JobId> = new Set();
  private guaranteesAt = -Infinity;
  /** How long planning takes, smoothed. */
  private planMs = 0;

  constructor({ context, commands, heartbeats, writer, onCommitted }: SchedulingLoopDependencies) {
    this.context = context;
    this.commands = commands;
    this.heartbeats = heartbeats;
    this.objectives = schedulingObjectives(context.dependencies.settings.objectives);
    this.committer = new PlanCommitter({ context, commands, writer, onCommitted });
  }

  /** Requests a cycle after a change that may let work start. */
  wake(): void {
    this.isDirty = true;
    this.wakeUp?.();
  }

  /** Runs cycles until the term ends. */
  async run(): Promise<void> {
    const { context } = this;
    const { clock, election, types } = context.dependencies;
    let lastCycleAt = (clock.now() - MAX_IDLE_MS) as SteadyMs;
    while (context.isActive()) {
      if (!this.isDirty) {
        const timer = clock.after(MAX_IDLE_MS, () => this.wakeUp?.());
        await new Promise<void>((resolve) => (this.wakeUp = resolve));
        timer.cancel();
      }
      const waitMs = this.intervalMs() - (clock.now() - lastCycleAt);
      if (waitMs > 0) await sleep(clock, waitMs);
      if (!context.isActive()) return;
      this.isDirty = false;
      lastCycleAt = clock.now();
      if (election.canDecide() && types.isLoaded()) await this.runCycle();
    }
  }

  /** The inputs for the eligibility of machines at this time. */
  eligibilityContext(now: SteadyMs): EligibilityContext {
    const { stallAwareClock, settings } = this.context.dependencies;
    return {
      now,
      staleMs: settings.workers.reportS * STALE_MS_PER_INTERVAL_S,
      silentMs: (since) => stallAwareClock.since(since),
      unresponsiveZones: this.commands.unresponsiveZones,
    };
  }

  private intervalMs(): number {
    const { cluster, dependencies } = this.context;
    const records = { waiting: cluster?.garbage.size ?? 0, plans: cluster?.plans.size ?? 0 };
    const { operator, settings } = dependencies;
    return cycleIntervalMs(this.planMs, operator.minCycleIntervalMs, records, settings.store.writeRps);
  }

  private async runCycle(): Promise<void> {
    const { cluster, dependencies } = this.context;
    if (!cluster) return;
    clearFailuresOfSoundJobs(cluster.jobs.values(), dependencies.clock.now());
    const reserved = hasWaitingTasks(cluster) ? CHANGES_PER_COMMIT : 0;
    // Writes are reserved before planning: a plan made before a long wait for them would rest on stale state.
    if (reserved > 0 && !(await dependencies.store.reserveWrites(reserved, RequestPriority.Scheduling))) {
      this.isDirty = true;
      return;
    }
    const used = this.context.isActive() ? await this.planAndCommit(cluster) : 0;
    dependencies.store.releaseWrites(reserved - used, RequestPriority.Scheduling);
  }

  /** Plans a cycle and commits it; returns how many of the reserved writes it used. */
  private async planAndCommit(cluster: SchedulingClusterState): Promise<number> {
    const { clock } = this.context.dependencies;
    const startedAt = clock.now();
    this.commands.unresponsiveZones = this.heartbeats.unresponsiveZones();
    this.updateGuarantees(cluster, startedAt);
    this.reclaimSurplusWidth(cluster, startedAt);
    const eligibility = this.eligibilityContext(startedAt);
    this.updateFairShare(cluster, eligibility);
    const plan = planSchedulingCycle(this.snapshot(cluster, eligibility));
    this.reservations.recordReserved(plan.reservedMachines, startedAt);
    this.unplaced = plan.unplaced;
    this.plannedAt = startedAt;
    const now = clock.now();
    this.planMs = (1 - PLAN_TIME_SMOOTHING) * this.planMs + PLAN_TIME_SMOOTHING * (now - startedAt);
    for (const preemption of plan.preemptions) this.preempt(cluster, preemption, now);
    this.commands.sendPendingStops();
    if (plan.tasks.length === 0) return 0;
    const outcome = await this.committer.commit(cluster, plan.tasks, this.planMs);
    if (outcome === 'nothing-to-commit') return 0;
    if (outcome === 'committed' || outcome === 'refused') this.isDirty = true;
    return CHANGES_PER_COMMIT;
  }

  private updateGuarantees(cluster: SchedulingClusterState, now: SteadyMs): void {
    if (now - this.guaranteesAt < GUARANTEES_MAX_AGE_MS) return;
    this.withinGuarantee = findJobsWithinGuarantee(cluster.jobs.values(), this.context.dependencies.teams);
    this.guaranteesAt = now;
  }

  /** Reclaims tasks of elastic jobs beyond their target width, with a grace period for saving. */
  private reclaimSurplusWidth(cluster: SchedulingClusterState, now: SteadyMs): void {
    const { elastic, dependencies } = this.context;
    if (!elastic) return;
    for (const placement of elastic.update(this.unplaced, now)) {
      const { job, index, machine } = placement;
      cluster.requestStop(placement, reclaimGraceS(job.spec), 'width', now);
      elastic.reclamations.recordRequest(placement, 'its width', now);
      dependencies.log.info('elastic-task-reclaimed', { task: `${job.id}/${index}`, machine: machine.id });
    }
  }

  private updateFairShare(cluster: SchedulingClusterState, eligibility: EligibilityContext): void {
    const { context } = this;
    context.fairShare?.update({
      now: eligibility.now,
      cluster,
      types: context.dependencies.types.all(),
      estimates: context.estimates,
      usable: (machine) => isEligible(machine, eligibility),
      withinGuarantee: this.withinGuarantee,
      unplaced: this.unplaced,
    });
  }

  private snapshot(cluster: SchedulingClusterState, eligibility: EligibilityContext): SchedulingSnapshot {
    const { context } = this;
    const { operator, settings, teams, types } = context.dependencies;
    return {
      ...eligibility,
      withinGuarantee: this.withinGuarantee,
      cluster,
      machineTypes: types.all(),
      teamLimits: teams,
      maxTasks: operator.maxTasksPerPlan,
      maxJobs: CONDITIONS_PER_CHANGE * settings.store.txnOps - CONDITIONS_BESIDE_JOBS,
      preemptAfterMs: PREEMPT_AFTER_MS,
      estimates: context.estimates,
      objectives: this.objectives,
      elastic: context.elastic,
      fairShare: context.fairShare,
      mayReserve: (machine) => this.reservations.mayReserve(machine, eligibility.now),
    };
  }

  /** Stops the preempted task, or the whole gang that it belongs to: the other tasks cannot continue without it. */
  private preempt(
    cluster: SchedulingClusterState,
    { placement, graceS, forJob }: PlannedPreemption,
    now: SteadyMs,
  ): void {
    const { elastic, dependencies } = this.context;
    const { job, index, machine } = placement;
    const stopped = job.spec.kind === 'gang' ? job.placements.values() : [placement];
    for (const task of stopped) {
      cluster.requestStop(task, graceS, 'preempted', now);
      elastic?.reclamations.recordRequest(task, forJob, now);
    }
    dependencies.log.info('task-preempted', {
      task: `${job.id}/${index}`,
      machine: machine.id,
      for: forJob,
    });
  }
}

function hasWaitingTasks(cluster: SchedulingClusterState): boolean {
  for (const job of cluster.jobs.values()) {
    if (maySchedule(job) && waitingTaskCount(job) > 0) return true;
  }
  return false;
}
