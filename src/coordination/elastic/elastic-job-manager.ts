/**
 * Decides the target widths of elastic jobs, and which provisioned machines run only borrowed tasks and are to be released.
 *
 * Owns the target width of each elastic job during one term. It starts and stops no task itself: the scheduling loop and the
 * fleet manager act on what it returns.
 */
import type { Clock, SteadyMs } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Metrics } from '../../transport/metrics.js';
import type { JobId, MachineId, TeamName, TypeName } from '../../protocol/ids.js';
import type { MachineType } from '../../protocol/cloud.js';
import type { JobSpec } from '../../protocol/jobs.js';
import type { Settings, TeamLimits } from '../../protocol/settings.js';
import type { Job, Placement, ClusterState } from '../../cluster/cluster-state.js';
import type { UnplacedTasks } from '../scheduling/snapshot.js';
import {
  applyHysteresis,
  computeTargetWidths,
  type WidthDecision,
  type ElasticJobView,
} from './target-widths.js';
import { Reclamations } from './reclamations.js';
import { currentWidth } from '../scheduling/elastic-job.js';
import type { ElasticPlacementRules } from '../scheduling/snapshot.js';

export interface ElasticDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly settings: Settings;
  readonly teams: ReadonlyMap<TeamName, TeamLimits>;
  readonly types: () => ReadonlyMap<TypeName, MachineType>;
}

const UPDATE_INTERVAL_MS = 1000;
/** How long a provisioned machine may run only borrowed tasks before it is released, as a multiple of its type's boot time. */
const BORROWED_ONLY_LIMIT_BOOT_TIMES = 0.3;

/** Units of one task: its GPUs, or its processors if it needs no GPU. */
const unitsPerTask = (spec: JobSpec): number => (spec.gpus > 0 ? spec.gpus : Math.max(spec.cpus, 1e-3));
export const isElastic = (job: Job): boolean => job.spec.elastic !== undefined;

/**
 * The target widths of all elastic jobs in one term, and the reason for each. Scheduling cycles and the fleet manager close the
 * gap between target and current width.
 */
export class ElasticJobManager implements ElasticPlacementRules {
  private readonly decisions = new Map<JobId, WidthDecision>();
  private readonly reasons = new Map<JobId, string>();
  private computedAt = -Infinity;
  private readonly borrowedOnlySince = new Map<MachineId, SteadyMs>();
  private readonly closedMachines = new Set<MachineId>();
  readonly reclamations: Reclamations;

  constructor(
    private readonly dependencies: ElasticDependencies,
    private readonly cluster: ClusterState,
  ) {
    this.reclamations = new Reclamations(dependencies, cluster);
  }

  /** Whether any job is elastic; without one, an update computes nothing. */
  private get hasElasticJobs(): boolean {
    for (const job of this.cluster.jobs.values()) if (isElastic(job)) return true;
    return false;
  }

  /**
   * Recomputes the target widths before a scheduling cycle, from what the previous cycle left unplaced. Returns the tasks to
   * stop: of each job first those that lose the least work.
   */
  update(unplaced: readonly UnplacedTasks[], now: SteadyMs): Placement[] {
    if (now - this.computedAt < UPDATE_INTERVAL_MS) return [];
    this.computedAt = now;
    if (!this.hasElasticJobs) {
      this.decisions.clear();
      return [];
    }
    const jobs = [...this.cluster.jobs.values()].filter(
      (job) => isElastic(job) && job.cancelledAt === undefined,
    );
    const waitingUnits = this.countWaitingUnits(unplaced);
    const idleUnits = this.countIdleUnits(now);
    const headRoomUnits = this.countHeadRoomUnits();
    const targetWidths = computeTargetWidths({
      jobs: jobs.map((job) => this.viewOf(job)),
      idleUnits,
      waitingUnits,
      headRoomUnits,
    });
    const tasksToStop: Placement[] = [];
    for (const job of jobs) {
      const previous = this.decisions.get(job.id) ?? persistedDecision(job, now);
      const next = applyHysteresis(
        previous,
        targetWidths.get(job.id) ?? 0,
        waitingUnits > 0 || headRoomUnits > 0,
        now,
      );
      this.decisions.set(job.id, next);
      if (next.width !== previous?.width)
        this.recordWidthChange(job, previous?.width, next.width, { idleUnits, waitingUnits, headRoomUnits });
      tasksToStop.push(...this.surplusOf(job, next.width));
    }
    for (const id of this.decisions.keys()) if (!this.cluster.jobs.has(id)) this.decisions.delete(id);
    return tasksToStop;
  }

  private recordWidthChange(
    job: Job,
    from: number | undefined,
    to: number,
    units: { idleUnits: number; waitingUnits: number; headRoomUnits: number },
  ): void {
    // The width belongs to the record's next generation. The status writer persists the record at low priority, or the next
    // plan with tasks of the job claims it.
    job.record = { ...job.record, generation: job.record.generation + 1, width: to };
    if (!this.cluster.pendingStatus.has(job))
      this.cluster.pendingStatus.set(job, this.dependencies.clock.now());
    const rounded = (value: number): string => String(Math.round(value * 10) / 10);
    const why =
      units.waitingUnits > 0
        ? `other work waits for ${rounded(units.waitingUnits)}`
        : units.headRoomUnits > 0 && from !== undefined && to < from
          ? `services keep ${rounded(units.headRoomUnits)} at hand`
          : `${rounded(units.idleUnits)} are idle`;
    this.reasons.set(job.id, why);
    this.dependencies.log.info('width', { job: job.id, from: from ?? 0, to, why });
    this.dependencies.metrics.increment('width-changes');
  }

  private viewOf(job: Job): ElasticJobView {
    const { spec } = job;
    const team = this.dependencies.teams.get(spec.team);
    const usage = this.cluster.teamUsage.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const width = currentWidth(job);
    const additionalWithinLimit = (max: number, used: number, perTask: number): number =>
      max <= 0 || perTask <= 0 ? Infinity : Math.max(0, Math.floor((max - used) / perTask + 1e-9));
    const additionalTasks = team
      ? Math.min(
          additionalWithinLimit(team.cpusMax, usage.cpus, spec.cpus),
          additionalWithinLimit(team.gpusMax, usage.gpus, spec.gpus),
        )
      : 0;
    return {
      id: job.id,
      elastic: spec.elastic!,
      priority: spec.priority,
      weight: Math.max(1, (spec.gpus > 0 ? team?.gpus : team?.cpus) ?? 1),
      unitsPerTask: unitsPerTask(spec),
      unfinishedTasks: spec.tasks - job.done.count,
      currentWidth: width,
      quotaWidth: width + additionalTasks,
    };
  }

  /** Units that waiting tasks of other jobs need and that elastic jobs could give back. */
  private countWaitingUnits(unplaced: readonly UnplacedTasks[]): number {
    let units = 0;
    for (const tasks of unplaced) {
      if (tasks.reason === 'no room' && !isElastic(tasks.job))
        units += tasks.count * unitsPerTask(tasks.job.spec);
    }
    return units;
  }

  private countIdleUnits(now: SteadyMs): number {
    let units = 0;
    const types = this.dependencies.types();
    for (const machine of this.cluster.machines.values()) {
      if (
        machine.state !== 'up' ||
        !machine.fenced ||
        machine.interruptionAt !== undefined ||
        machine.quarantinedUntil > now ||
        this.closedMachines.has(machine.id)
      )
        continue;
      const type = types.get(machine.type);
      if (type)
        units += Math.max(0, type.gpus > 0 ? type.gpus - machine.usage.gpus : type.cpus - machine.usage.cpus);
    }
    return units;
  }

  /** Units of head room that services ask for. Free capacity counts toward it: elastic jobs stop growing when only it is left. */
  private countHeadRoomUnits(): number {
    let units = 0;
    for (const job of this.cluster.jobs.values()) {
      const { spec } = job;
      if (spec.headRoom !== undefined && job.cancelledAt === undefined)
        units += spec.headRoom * spec.tasks * unitsPerTask(spec);
    }
    return units;
  }

  /** Tasks beyond the width that have no stop request yet: first those that lose the least work. */
  private surplusOf(job: Job, width: number): Placement[] {
    const surplus = currentWidth(job) - width;
    if (surplus <= 0) return [];
    const now = this.dependencies.clock.now();
    const live = [...job.placements.values()].filter((p) => !p.ended && !p.stop);
    return live.sort((a, b) => lostWorkSeconds(a, now) - lostWorkSeconds(b, now)).slice(0, surplus);
  }

  // ---- for scheduling cycles --------------------------------------------------------------------------

  growthAllowance(job: Job): number | undefined {
    if (!isElastic(job)) return undefined;
    const width = Math.max(this.decisions.get(job.id)?.width ?? job.spec.elastic!.least, 0);
    const least = Math.min(job.spec.elastic!.least, job.spec.tasks);
    const growthSuspended = this.reclamations.isGrowthSuspended(job.id);
    let occupied = 0;
    // A task with a stop request that has not ended yet still counts, so that a job that is shrunk while it grows ends with just
    // its target number of tasks.
    for (const placement of job.placements.values()) if (!placement.ended) occupied++;
    return Math.max(0, (growthSuspended ? Math.min(width, least) : Math.max(width, least)) - occupied);
  }

  borrowedTasks(job: Job): number {
    return isElastic(job) ? Math.max(0, currentWidth(job) - job.spec.elastic!.least) : 0;
  }

  isClosedToElastic(machine: MachineId): boolean {
    return this.closedMachines.has(machine);
  }

  targetWidth(job: Job): number | undefined {
    return isElastic(job) ? this.decisions.get(job.id)?.width : undefined;
  }

  // ---- provisioned machines ---------------------------------------------------------------------------

  /**
   * Releases machines that stay provisioned only for borrowed tasks, unless the job's own price limit (`rentUpTo`) covers the
   * machine. A released machine accepts no more elastic tasks, so that it becomes idle and is returned. Returns its tasks, which
   * are to be stopped with time to save.
   */
  releaseBorrowedOnlyMachines(
    preProvisioned: ReadonlySet<string>,
    isQuiet: boolean,
    now: SteadyMs,
  ): Placement[] {
    const tasksToStop: Placement[] = [];
    const types = this.dependencies.types();
    /** Tasks released in this pass, by job: they no longer count as borrowed on the machines that follow. */
    const releasedTasks = new Map<Job, number>();
    for (const machine of this.cluster.machines.values()) {
      const type = types.get(machine.type);
      if (machine.state !== 'up' || preProvisioned.has(machine.id) || !type) continue;
      const live = [...machine.placements].filter((p) => !p.ended && !p.stop);
      const pricePerGpu = (machine.spot ? type.spotPrice : type.price) / Math.max(1, type.gpus);
      if (live.some((p) => (p.job.spec.elastic?.rentUpTo ?? Infinity) >= pricePerGpu)) {
        // The machine runs tasks that are not elastic, or tasks of a job whose price limit covers it.
        this.closedMachines.delete(machine.id);
        this.borrowedOnlySince.delete(machine.id);
        continue;
      }
      if (this.closedMachines.has(machine.id) || live.length === 0) continue;
      const tasksByJob = new Map<Job, number>();
      for (const p of live) tasksByJob.set(p.job, (tasksByJob.get(p.job) ?? 0) + 1);
      const allBorrowed = [...tasksByJob].every(
        ([job, count]) => this.borrowedTasks(job) - (releasedTasks.get(job) ?? 0) >= count,
      );
      if (!allBorrowed || !isQuiet) {
        this.borrowedOnlySince.delete(machine.id);
        continue;
      }
      const since = this.borrowedOnlySince.get(machine.id) ?? now;
      this.borrowedOnlySince.set(machine.id, since);
      if (now - since < Math.max(10, type.bootS * BORROWED_ONLY_LIMIT_BOOT_TIMES) * 1000) continue;
      for (const [job, count] of tasksByJob) releasedTasks.set(job, (releasedTasks.get(job) ?? 0) + count);
      this.closedMachines.add(machine.id);
      this.borrowedOnlySince.delete(machine.id);
      tasksToStop.push(...live);
    }
    for (const id of this.closedMachines) if (!this.cluster.machines.has(id)) this.closedMachines.delete(id);
    return tasksToStop;
  }

  // ---- for operators ----------------------------------------------------------------------------------

  explain(id: JobId): string[] {
    const job = this.cluster.jobs.get(id);
    if (!job || !isElastic(job)) return [];
    const { least, most } = job.spec.elastic!;
    const width = this.decisions.get(id)?.width ?? least;
    const lines = [
      `Elastic, ${least} to ${most} wide: ${width} wanted, ${currentWidth(job)} on machines, since ${this.reasons.get(id) ?? 'it was accepted'}.`,
    ];
    const lastReclaim = this.reclamations.lastReclamation(id);
    if (lastReclaim)
      lines.push(
        `Room was last asked back for ${lastReclaim.requestedFor}; it took ${lastReclaim.tookS === undefined ? 'until now' : `${lastReclaim.tookS.toFixed(1)} s`}.`,
      );
    if (this.reclamations.isGrowthSuspended(id))
      lines.push('It ignored requests to give back, so it does not grow for now.');
    return lines;
  }
}

const persistedDecision = (job: Job, now: SteadyMs): WidthDecision | undefined =>
  job.record.width === undefined ? undefined : { width: job.record.width, decidedAtMs: now };

/** Work that stopping the task would lose, in seconds: its run since the last checkpoint, or all of it without checkpoints. */
export function lostWorkSeconds(placement: Placement, now: SteadyMs): number {
  if (placement.runningSince === undefined) return 0;
  const ranS = (now - placement.runningSince) / 1000;
  const { checkpointS, saveS } = placement.job.spec;
  return checkpointS > 0 ? Math.min(ranS % checkpointS, saveS) : ranS;
}

export const createElasticJobManager = (
  dependencies: ElasticDependencies,
  cluster: ClusterState,
): ElasticJobManager => new ElasticJobManager(dependencies, cluster);
