/**
 * Cancellation of jobs by users.
 *
 * Owns the compare-and-swap that marks a job as cancelled. It never stops a task: the leader does that once it sees the
 * record.
 */
import type { Clock } from '../../transport/clock.js';
import type { Reply } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import { RequestPriority } from '../../transport/rate-limiter.js';
import type { JobId } from '../../protocol/ids.js';
import type { CachedJob, JobCache } from '../../storage/job-cache.js';
import { Keys, seal, type JobRecord } from '../../storage/records.js';
import type { StoreClient } from '../../storage/store-client.js';
import type { CancelledJobs } from '../election/cancelled-jobs.js';
import type { PipelineApi } from '../pipelines/pipeline-api.js';
import { isCancelledStep, jobReply, type JobStatusReader } from './job-status.js';
import { MAX_CONFLICT_ATTEMPTS, refuse } from './refusals.js';

export interface JobCancellationDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly store: Pick<StoreClient, 'txn'>;
  readonly jobCache: Pick<JobCache, 'get' | 'sync'>;
  readonly cancellations: Pick<CancelledJobs, 'add'>;
  /** Notifies the other nodes of a cancellation that this one is about to confirm. */
  readonly broadcastCancellation: (id: JobId) => void;
  readonly pipelineSteps?: Pick<PipelineApi, 'jobState' | 'cancelHeld'> | undefined;
}

/** Cancels jobs. Repeating a cancellation gives the same answer. */
export class JobCancellation {
  constructor(
    private readonly dependencies: JobCancellationDependencies,
    private readonly status: JobStatusReader,
  ) {}

  async cancel(id: JobId): Promise<Reply> {
    for (let attempt = 0; attempt < MAX_CONFLICT_ATTEMPTS; attempt++) {
      const reply = await this.tryCancel(id);
      if (reply) return reply;
    }
    return refuse('jobChanging');
  }

  /** Undefined if the job changed concurrently. */
  private async tryCancel(id: JobId): Promise<Reply | undefined> {
    const { cancellations, jobCache, pipelineSteps } = this.dependencies;
    const completion = this.status.cachedCompletion(id);
    if (completion) return jobReply({ id, state: completion.state });
    if (this.status.storeUnreachable || !(await jobCache.sync())) return refuse('storeUnanswered');
    const job = jobCache.get(id);
    if (!job) return this.cancelWithoutRecord(id);
    if (job.record.state === 'cancelled' || isCancelledStep(pipelineSteps?.jobState(id))) {
      cancellations.add(id);
      return jobReply({ id, state: 'cancelled' });
    }
    return this.writeCancellation(id, job);
  }

  /** A job without a record is a held step, has ended, or does not exist. */
  private async cancelWithoutRecord(id: JobId): Promise<Reply | undefined> {
    const { jobCache, pipelineSteps } = this.dependencies;
    const held = await pipelineSteps?.cancelHeld(id);
    if (held) return held;
    // The step was released concurrently and has a job record now: try again with it.
    if (pipelineSteps?.jobState(id) !== undefined && jobCache.get(id)) return undefined;
    const completion = await this.status.readCompletion(id);
    if (completion === 'unreachable') return refuse('storeUnanswered');
    return completion ? jobReply({ id, state: completion.state }) : refuse('unknownJob');
  }

  private async writeCancellation(id: JobId, job: CachedJob): Promise<Reply | undefined> {
    const { cancellations, clock, jobCache, log, store } = this.dependencies;
    const record: JobRecord = {
      ...job.record,
      state: 'cancelled',
      generation: job.record.generation + 1,
      cancelledAt: clock.wall(),
    };
    const outcome = await store.txn(
      [{ key: Keys.job(id), modRevision: job.modRevision }],
      [{ op: 'put', key: Keys.job(id), value: seal(record) }],
      RequestPriority.User,
    );
    if (!outcome.ok) return refuse('storeWriteFailed');
    if (outcome.value.kind !== 'committed') return undefined;
    log.info('cancellation-accepted', { job: id });
    cancellations.add(id);
    this.dependencies.broadcastCancellation(id);
    void jobCache.sync();
    return jobReply({ id, state: 'cancelled' });
  }
}
