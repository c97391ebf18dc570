/**
 * Requests to reclaim capacity from elastic jobs, each with a bound on the time it may take.
 *
 * Owns the open requests and their deadlines. It stops no task and fences no machine: callers do so for what `collectOverdue`
 * returns.
 */
import { plus, type SteadyMs } from '../../transport/clock.js';
import type { JobId, MachineId } from '../../protocol/ids.js';
import type { Placement, ClusterState } from '../../cluster/cluster-state.js';
import type { ElasticDependencies } from './elastic-job-manager.js';
import { reclaimGraceS } from '../scheduling/grace-periods.js';

interface ReclaimRequest {
  readonly placement: Placement;
  readonly requestedFor: string;
  readonly requestedAt: SteadyMs;
  /** When the stop request is repeated without time to save. */
  readonly forceAt: SteadyMs;
  /** When the task's machine is to be returned, if the task has not ended. */
  readonly deadlineAt: SteadyMs;
  forced: boolean;
  deadlineMissed: boolean;
}

/** How long a job may not grow after one of its tasks missed the deadline, which costs the machine. */
const GROWTH_SUSPENSION_MS = 120_000;

/**
 * Tracks requests to reclaim capacity. Each request has a bound, measured on the steady clock from the time of the request: first
 * the task has time to save, then it has to stop without saving, and at last its machine is returned. The duration of
 * every request is recorded as a metric, and that of each job's last request is kept.
 */
export class Reclamations {
  private readonly openRequests = new Map<Placement, ReclaimRequest>();
  private readonly lastByJob = new Map<
    JobId,
    { readonly requestedFor: string; readonly requestedAt: SteadyMs; tookS: number | undefined }
  >();
  private readonly growthSuspendedUntil = new Map<JobId, SteadyMs>();

  constructor(
    private readonly dependencies: ElasticDependencies,
    private readonly cluster: ClusterState,
  ) {}

  /** Records the request; to be called once the stop of the task was requested. */
  recordRequest(placement: Placement, requestedFor: string, now: SteadyMs): void {
    const { elastic } = placement.job.spec;
    if (!elastic || this.openRequests.has(placement)) return;
    const boundMs = elastic.giveBackS * 1000;
    // An agent that receives the command directly acts at once; any other receives it with its next heartbeat.
    const commandDelayMs = Math.min(this.dependencies.settings.workers.reportS * 1250, boundMs * 0.2);
    const forceMs = Math.min(reclaimGraceS(placement.job.spec) * 1000 + commandDelayMs, boundMs * 0.6);
    this.openRequests.set(placement, {
      placement,
      requestedFor,
      requestedAt: now,
      forceAt: plus(now, forceMs),
      deadlineAt: plus(now, boundMs * 0.8),
      forced: false,
      deadlineMissed: false,
    });
    this.lastByJob.set(placement.job.id, { requestedFor, requestedAt: now, tookS: undefined });
  }

  /**
   * Called periodically. Closes the requests of tasks that ended. Returns the tasks whose stop request is to be sent again,
   * now without time to save, and the machines of tasks that missed the deadline.
   */
  collectOverdue(now: SteadyMs): {
    readonly tasksToStop: Placement[];
    readonly machinesToReturn: MachineId[];
  } {
    const tasksToStop: Placement[] = [];
    const machinesToReturn: MachineId[] = [];
    for (const [placement, request] of this.openRequests) {
      if (placement.ended) {
        this.openRequests.delete(placement);
        const tookS = (placement.ended.at - request.requestedAt) / 1000;
        this.dependencies.metrics.recordDurationMs('reclaim', tookS * 1000);
        const lastReclaim = this.lastByJob.get(placement.job.id);
        if (lastReclaim?.requestedAt === request.requestedAt) lastReclaim.tookS = tookS;
        continue;
      }
      if (now >= request.deadlineAt) {
        if (!request.deadlineMissed) {
          request.deadlineMissed = true;
          this.growthSuspendedUntil.set(placement.job.id, plus(now, GROWTH_SUSPENSION_MS));
          this.dependencies.log.info('reclaim-deadline-missed', {
            task: `${placement.job.id}/${placement.index}`,
            machine: placement.machine.id,
          });
        }
        machinesToReturn.push(placement.machine.id);
      } else if (now >= request.forceAt && !request.forced && placement.stop) {
        request.forced = true;
        placement.stop.graceS = 0;
        tasksToStop.push(placement);
        this.dependencies.log.info('reclaim-forced', {
          task: `${placement.job.id}/${placement.index}`,
          machine: placement.machine.id,
        });
      }
    }
    for (const id of this.lastByJob.keys()) if (!this.cluster.jobs.has(id)) this.lastByJob.delete(id);
    return { tasksToStop, machinesToReturn };
  }

  isGrowthSuspended(id: JobId): boolean {
    const until = this.growthSuspendedUntil.get(id);
    if (until === undefined) return false;
    if (until > this.dependencies.clock.now()) return true;
    this.growthSuspendedUntil.delete(id);
    return false;
  }

  lastReclamation(
    id: JobId,
  ): { readonly requestedFor: string; readonly tookS: number | undefined } | undefined {
    return this.lastByJob.get(id);
  }
}
