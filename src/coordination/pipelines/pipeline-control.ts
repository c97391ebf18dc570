/**
 * Changes that users make to live pipelines: cancelling a pipeline, cancelling a held step, retrying a failed step.
 *
 * Owns the compare-and-swap of a pipeline's head on behalf of users. It stops no task: the leader does that once it sees
 * the head.
 */
import type { Clock } from '../../transport/clock.js';
import type { Reply } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import { RequestPriority } from '../../transport/rate-limiter.js';
import {
  NO_REVISION,
  PIPELINE_ID,
  type JobId,
  type ModRevision,
  type PipelineId,
} from '../../protocol/ids.js';
import { encodeJobAnswer } from '../../protocol/jobs.js';
import type { JobState } from '../../protocol/wire.js';
import type { JobCache } from '../../storage/job-cache.js';
import type { Pipeline, PipelineCache, StepLocation } from '../../storage/pipeline-cache.js';
import { PipelineKeys, sealPipelineHead, type PipelineHead } from '../../storage/pipeline-records.js';
import { Keys, seal, type FinishedJobRecord } from '../../storage/records.js';
import type { StoreClient } from '../../storage/store-client.js';
import type { CancelledJobs } from '../election/cancelled-jobs.js';
import { MAX_CONFLICT_ATTEMPTS, refuse } from '../users/refusals.js';
import type { PipelineStatusReader } from './pipeline-status.js';
import { isStepFinished, isStepHeld } from './pipeline-transition.js';

export interface PipelineControlDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly store: Pick<StoreClient, 'txn'>;
  readonly jobCache: Pick<JobCache, 'sync'>;
  readonly pipelineCache: Pick<PipelineCache, 'get' | 'recordWrite' | 'stepOf'>;
  readonly cancellations: Pick<CancelledJobs, 'add'>;
}

/** Returns the changed head; undefined if the pipeline is already in the requested state. */
type HeadChange = (pipeline: Pipeline) => PipelineHead | undefined;

export class PipelineControl {
  constructor(
    private readonly dependencies: PipelineControlDependencies,
    private readonly status: PipelineStatusReader,
  ) {}

  /**
   * Cancels the whole pipeline with one write of its head. From then on no step is released, and every node reports each
   * unfinished job as cancelled. The leader stops running steps: it receives the head by the same watch as cancellations of
   * single jobs.
   */
  async cancel(idText: string): Promise<Reply> {
    if (!PIPELINE_ID.test(idText)) return refuse('unknownPipeline');
    const id = idText as PipelineId;
    const refused = await this.changeHead(id, ({ head }) =>
      head.cancelledAt === null ? { ...head, cancelledAt: this.dependencies.clock.wall() } : undefined,
    );
    return refused ?? this.cancelledReply(id);
  }

  private async cancelledReply(id: PipelineId): Promise<Reply> {
    const { pipelineCache, cancellations, log } = this.dependencies;
    const pipeline = pipelineCache.get(id);
    if (!pipeline) return this.status.show(id, 0);
    const { progress } = pipeline.head;
    for (const index of progress.released) {
      if (!isStepFinished(progress, index)) cancellations.add(pipeline.steps[index]!.job.id);
    }
    log.info('pipeline-cancelled', { pipeline: id });
    return this.status.liveReply(pipeline, 0);
  }

  /** Retries a failed step, named by its job id or its name, with its failures forgotten. */
  async retry(idText: string, jobIdOrName: string): Promise<Reply> {
    if (!PIPELINE_ID.test(idText)) return refuse('unknownPipeline');
    const id = idText as PipelineId;
    let stepExists = true;
    const refused = await this.changeHead(id, (pipeline) => {
      const index = pipeline.steps.findIndex(
        ({ job, name }) => job.id === jobIdOrName || name === jobIdOrName,
      );
      stepExists = index >= 0;
      return pipeline.head.progress.failed.has(index) ? withoutFailures(pipeline.head, index) : undefined;
    });
    // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- the callback sets it
    if (!stepExists) return refuse('unknownStep');
    return refused ?? this.status.show(id, 0);
  }

  /** Applies the change to the head, with retries on conflict. Returns undefined on success, else the answer to the user. */
  private async changeHead(id: PipelineId, change: HeadChange): Promise<Reply | undefined> {
    for (let attempt = 0; attempt < MAX_CONFLICT_ATTEMPTS; attempt++) {
      const result = await this.tryChangeHead(id, change);
      if (result === 'changed') return undefined;
      if (result !== 'conflict') return result;
    }
    return refuse('pipelineChanging');
  }

  private async tryChangeHead(id: PipelineId, change: HeadChange): Promise<Reply | 'changed' | 'conflict'> {
    const { pipelineCache, jobCache, store } = this.dependencies;
    if (!(await jobCache.sync())) return refuse('storeUnanswered');
    const pipeline = pipelineCache.get(id);
    if (!pipeline) return this.endedReply(id);
    if (pipeline.head.state === 'pending') return refuse('pipelinePending');
    const changed = change(pipeline);
    if (!changed) return 'changed';
    // A cancelled pipeline does not change any more.
    if (pipeline.head.cancelledAt !== null) return 'changed';
    const head: PipelineHead = { ...changed, generation: changed.generation + 1 };
    const key = PipelineKeys.head(id);
    const outcome = await store.txn(
      [{ key, modRevision: pipeline.modRevision }],
      [{ op: 'put', key, value: sealPipelineHead(head) }],
      RequestPriority.User,
    );
    if (!outcome.ok) return refuse('storeWriteFailed');
    if (outcome.value.kind !== 'committed') return 'conflict';
    // The cache is updated before the user receives the answer.
    pipelineCache.recordWrite(head, outcome.value.revision as unknown as ModRevision);
    return 'changed';
  }

  private async endedReply(id: PipelineId): Promise<Reply> {
    const completionRecord = await this.status.readCompletionRecord(id);
    if (completionRecord === 'unreachable') return refuse('storeUnanswered');
    return completionRecord ? this.status.completionReply(completionRecord) : refuse('unknownPipeline');
  }

  /** Cancels a held step; undefined if the step is no longer held, and its job record or completion record states what it is. */
  async cancelHeld(id: JobId): Promise<Reply | undefined> {
    const { pipelineCache, jobCache } = this.dependencies;
    for (let attempt = 0; attempt < MAX_CONFLICT_ATTEMPTS; attempt++) {
      const step = pipelineCache.stepOf(id);
      if (!step) return undefined;
      const job = this.status.jobState(id);
      if (job === 'pending') return refuse('pipelinePending');
      if (job?.state === 'done' || job?.state === 'cancelled') return jobStateReply(id, job.state);
      if (!isStepHeld(step.pipeline.head.progress, step.index)) return undefined;
      const reply = await this.withdrawStep(step, id);
      if (reply) return reply;
      if (!(await jobCache.sync())) return refuse('storeUnanswered');
    }
    return refuse('pipelineChanging');
  }

  /** Returns undefined if the pipeline changed in the meantime. */
  private async withdrawStep({ pipeline, index }: StepLocation, id: JobId): Promise<Reply | undefined> {
    const { pipelineCache, log, store } = this.dependencies;
    const { head, modRevision } = pipeline;
    const key = PipelineKeys.head(head.id);
    const next = withCancelledStep(head, index);
    const finishedJob: FinishedJobRecord = { state: 'cancelled', done: 0 };
    const outcome = await store.txn(
      [
        { key, modRevision },
        { key: Keys.job(id), modRevision: NO_REVISION },
      ],
      [
        { op: 'put', key, value: sealPipelineHead(next) },
        { op: 'put', key: Keys.finishedJob(id), value: seal(finishedJob) },
      ],
      RequestPriority.User,
    );
    if (!outcome.ok) return refuse('storeWriteFailed');
    if (outcome.value.kind !== 'committed') return undefined;
    pipelineCache.recordWrite(next, outcome.value.revision as unknown as ModRevision);
    log.info('step-cancelled', { pipeline: head.id, job: id });
    return jobStateReply(id, 'cancelled');
  }
}

function withCancelledStep(head: PipelineHead, index: number): PipelineHead {
  const cancelled = new Set([...head.progress.cancelled, index]);
  return { ...head, progress: { ...head.progress, cancelled }, generation: head.generation + 1 };
}

function withoutFailures(head: PipelineHead, index: number): PipelineHead {
  const failed = new Set(head.progress.failed);
  const failures = new Map(head.progress.failures);
  failed.delete(index);
  failures.delete(index);
  return { ...head, progress: { ...head.progress, failed, failures } };
}

const jobStateReply = (id: JobId, state: JobState): Reply => ({
  status: 200,
  body: encodeJobAnswer({ id, state }),
});
