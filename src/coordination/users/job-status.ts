/**
 * Answers users' queries for the state of a job.
 *
 * Owns a cache of finished jobs. Every other answer is read after a sync with the store, so that no answer is older than
 * an earlier answer of any node. It never writes.
 */
import { RequestPriority } from '../../transport/rate-limiter.js';
import type { Reply } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import type { StallAwareClock } from '../../transport/stall-aware-clock.js';
import type { JobId } from '../../protocol/ids.js';
import { encodeJobAnswer, type JobAnswer } from '../../protocol/jobs.js';
import type { CachedJob, JobCache } from '../../storage/job-cache.js';
import { finishedJobSchema, Keys, unseal, type FinishedJobRecord } from '../../storage/records.js';
import type { StoreClient } from '../../storage/store-client.js';
import type { CancelledJobs } from '../election/cancelled-jobs.js';
import type { PipelineApi } from '../pipelines/pipeline-api.js';
import type { StepJobState } from '../pipelines/pipeline-status.js';
import { refuse } from './refusals.js';

/** Maximum number of finished jobs in memory. */
const MAX_CACHED_FINISHED_JOBS = 20_000;
/** The store counts as unreachable after this long without an answer; time in which this process stalled does not count. */
const STORE_UNREACHABLE_MS = 4000;

export interface TaskCounts {
  readonly done: number;
  readonly running: number;
}

export interface JobStatusDependencies {
  readonly stallAwareClock: Pick<StallAwareClock, 'since'>;
  readonly log: Log;
  readonly store: Pick<StoreClient, 'get' | 'lastContactAt'>;
  readonly jobCache: Pick<JobCache, 'get' | 'sync'>;
  readonly cancellations: Pick<CancelledJobs, 'add' | 'has'>;
  /** Pipeline steps are jobs, too; absent where no pipelines are served. */
  readonly pipelineSteps?: Pick<PipelineApi, 'jobState'> | undefined;
  /** Current task counts of a job, where this node has newer ones than the job record, as the leader does. */
  readonly liveTaskCounts: (id: JobId) => TaskCounts | undefined;
}

/** Reads the state of jobs for users. */
export class JobStatusReader {
  /** Final states never change, so they are answered from memory. */
  private readonly finished = new Map<JobId, FinishedJobRecord>();

  constructor(private readonly dependencies: JobStatusDependencies) {}

  get storeUnreachable(): boolean {
    const { stallAwareClock, store } = this.dependencies;
    return stallAwareClock.since(store.lastContactAt) > STORE_UNREACHABLE_MS;
  }

  /** The completion record of the job, if it is cached. */
  cachedCompletion(id: JobId): FinishedJobRecord | undefined {
    return this.finished.get(id);
  }

  /** The answer to a query for the job, as of a sync with the store. */
  async read(id: JobId): Promise<Reply> {
    const cached = this.finished.get(id);
    if (cached) return finishedReply(id, cached);
    if (this.storeUnreachable) return refuse('storeUnreachable');
    const { jobCache, pipelineSteps } = this.dependencies;
    if (!(await jobCache.sync())) return refuse('storeUnanswered');
    const job = jobCache.get(id);
    const step = pipelineSteps?.jobState(id);
    if (job) return this.liveReply(id, job, step);
    if (step === 'pending') return refuse('jobOfPendingPipeline');
    if (step) return jobReply({ id, ...step, running: 0 });
    const completion = await this.readCompletion(id);
    if (completion === 'unreachable') return refuse('storeUnanswered');
    return completion ? finishedReply(id, completion) : refuse('unknownJob');
  }

  /** Reads the completion record of the job from the store; undefined if it has none. */
  async readCompletion(id: JobId): Promise<FinishedJobRecord | undefined | 'unreachable'> {
    const { log, store } = this.dependencies;
    const entry = await store.get(Keys.finishedJob(id), RequestPriority.User);
    if (!entry.ok) return 'unreachable';
    if (!entry.value) return undefined;
    const completion = unseal(finishedJobSchema, entry.value.value);
    if (!completion.ok) {
      log.error('end-record-unreadable', { job: id, why: completion.error });
      return 'unreachable';
    }
    this.cacheCompletion(id, completion.value);
    return completion.value;
  }

  private cacheCompletion(id: JobId, completion: FinishedJobRecord): void {
    this.finished.set(id, completion);
    if (this.finished.size <= MAX_CACHED_FINISHED_JOBS) return;
    const oldest = this.finished.keys().next().value;
    if (oldest !== undefined) this.finished.delete(oldest);
  }

  private liveReply(id: JobId, { record }: CachedJob, step: StepJobState): Reply {
    const { cancellations, liveTaskCounts } = this.dependencies;
    const counts = liveTaskCounts(id) ?? { done: record.done, running: 0 };
    // A pipeline is cancelled as a whole: the job records of its steps do not show it. A cancellation that was confirmed while this
    // question waited for the store may be newer than the record.
    const state = isCancelledStep(step) || cancellations.has(id) ? 'cancelled' : record.state;
    // The cancellation is recorded before the user gets the answer, so that agents' heartbeats are answered accordingly, even
    // if this node learned of it from a pipeline step or from a commit that was never confirmed.
    if (state === 'cancelled') cancellations.add(id);
    return jobReply({ id, state, ...counts });
  }
}

export const isCancelledStep = (step: StepJobState): boolean =>
  typeof step === 'object' && step.state === 'cancelled';

export const jobReply = (answer: JobAnswer): Reply => ({ status: 200, body: encodeJobAnswer(answer) });

const finishedReply = (id: JobId, completion: FinishedJobRecord): Reply =>
  jobReply({ id, state: completion.state, done: completion.done, running: 0 });
