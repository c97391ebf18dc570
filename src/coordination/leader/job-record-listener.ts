import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { JobId, ModRevision } from '../../protocol/ids.js';
import type { Condition } from '../../protocol/state.js';
import type { ClusterState, Job } from '../../cluster/cluster-state.js';
import type { CachedJob } from '../../storage/job-cache.js';
import { jobIdOfKey, withMinimumGeneration } from '../../storage/records.js';
import type { CommandDispatcher } from '../dispatch/command-dispatcher.js';
import type { CancelledJobs } from '../election/cancelled-jobs.js';
import { steadyTimeOf } from '../failover/load-cluster-state.js';
import type { PipelineManager } from '../pipelines/pipeline-manager.js';

/**
 * Applies job records written by other controllers to the leader's cluster state: accepted jobs and cancellations. Writes nothing
 * to the store.
 */

export interface JobRecordListenerDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly cluster: Pick<ClusterState, 'jobs' | 'endedJobs' | 'addJob' | 'requestStop'>;
  readonly cancelledJobs: Pick<CancelledJobs, 'has'>;
  readonly dispatcher: Pick<CommandDispatcher, 'scheduleStops'>;
  /** Present only where pipelines are served. */
  readonly pipelines: Pick<PipelineManager, 'onJobRecordReceived'> | undefined;
  readonly isActive: () => boolean;
  readonly wake: () => void;
  /** Begins a new term, which loads the cluster state from the store again. */
  readonly restartTerm: (reason: string) => void;
}

/** Listens to the job cache on behalf of one term's leader. */
export class JobRecordListener {
  constructor(private readonly dependencies: JobRecordListenerDependencies) {}

  /** Applies a record as it is in the cache; `cached` is undefined where it was removed. */
  onRecord(id: JobId, cached: CachedJob | undefined, modRevision: ModRevision): void {
    const { cluster, isActive } = this.dependencies;
    if (!isActive()) return;
    const job = cluster.jobs.get(id);
    if (!cached) {
      if (job) this.checkRemoval(job, modRevision);
      return;
    }
    if (job) this.update(job, cached, modRevision);
    else if (!cluster.endedJobs.has(id)) this.add(id, cached, modRevision);
  }

  /** Applies a cancellation received from a peer, possibly before the record that contains it. */
  onCancellation(id: JobId): void {
    const job = this.dependencies.cluster.jobs.get(id);
    if (job) this.cancel(job);
  }

  /** Sets a job aside whose record the store refused as a condition, until the record is read again. */
  onConditionRefused({ key, modRevision }: Condition): void {
    const id = jobIdOfKey(key);
    const job = id === undefined ? undefined : this.dependencies.cluster.jobs.get(id);
    if (job?.modRevision === modRevision) job.refusedRevision = modRevision;
  }

  /** Only the leader removes records, with the completion of the job. Any other removal shows that the cluster state is wrong. */
  private checkRemoval(job: Job, modRevision: ModRevision): void {
    if (modRevision <= job.modRevision || job.unansweredWrite === 'completion') return;
    this.dependencies.log.error('job-record-missing', { job: job.id });
    this.dependencies.restartTerm('the record of a job that has not ended is gone');
  }

  private add(id: JobId, { record }: CachedJob, modRevision: ModRevision): void {
    const { clock, log, cluster, cancelledJobs, pipelines, wake } = this.dependencies;
    const acceptedAt = steadyTimeOf(clock, record.acceptedAt);
    const cancelledAt = record.state === 'cancelled' ? clock.now() : undefined;
    const job = cluster.addJob(record, modRevision, acceptedAt, cancelledAt);
    log.info('job-added', { job: id, class: job.spec.class, tasks: job.spec.tasks });
    if (cancelledJobs.has(id)) this.cancel(job);
    pipelines?.onJobRecordReceived(id);
    wake();
  }

  private update(job: Job, { record }: CachedJob, modRevision: ModRevision): void {
    if (modRevision <= job.modRevision) return;
    job.modRevision = modRevision;
    job.record = withMinimumGeneration(record, job.record.generation);
    if (record.state === 'cancelled') this.cancel(job);
  }

  private cancel(job: Job): void {
    if (job.cancelledAt !== undefined) return;
    const { clock, log, cluster, dispatcher, wake } = this.dependencies;
    const now = clock.now();
    job.cancelledAt = now;
    log.info('job-cancelled', { job: job.id, tasks: job.placements.size });
    for (const placement of job.placements.values()) cluster.requestStop(placement, 0, 'cancelled', now);
    if (job.placements.size > 0) dispatcher.scheduleStops();
    wake();
  }
}
