/**
 * Answers about pipelines and their steps: about live pipelines from this node's cache, about ended ones from their completion
 * record.
 *
 * Owns a cache of ended pipelines. It never writes.
 */
import type { Clock } from '../../transport/clock.js';
import type { Reply } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import { RequestPriority } from '../../transport/rate-limiter.js';
import { PIPELINE_ID, type JobId, type PipelineId } from '../../protocol/ids.js';
import {
  encodePipelineAnswer,
  type PipelineAnswer,
  type PipelineState,
  type StepAnswer,
  type StepState,
} from '../../protocol/pipelines.js';
import { type JobState } from '../../protocol/wire.js';
import type { JobCache } from '../../storage/job-cache.js';
import type { Pipeline, PipelineCache } from '../../storage/pipeline-cache.js';
import {
  PipelineKeys,
  finishedPipelineSchema,
  type FinishedPipelineRecord,
} from '../../storage/pipeline-records.js';
import { unseal } from '../../storage/records.js';
import type { StoreClient } from '../../storage/store-client.js';
import { refuse } from '../users/refusals.js';
import { isBeforeStartTime, isStepHeld, unmetDependencies } from './pipeline-transition.js';

/**
 * State of a step's job according to its pipeline: `pending` while the pipeline is being accepted, undefined if the job is not a
 * step.
 */
export type StepJobState = { readonly state: JobState; readonly done: number } | 'pending' | undefined;

/** Maximum size of an answer, below the limit of a body. Further steps are returned by further requests. */
const MAX_ANSWER_BYTES = 56 * 1024;
/** Upper bound of the encoded size of a step without its texts. */
const STEP_BYTES = 64;
const MAX_CACHED_COMPLETION_RECORDS = 5000;
/** How many of the steps that a held step waits for an answer names. */
const MAX_NAMED_DEPENDENCIES = 5;

export interface PipelineStatusDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly store: Pick<StoreClient, 'get'>;
  readonly jobCache: Pick<JobCache, 'get' | 'sync'>;
  readonly pipelineCache: Pick<PipelineCache, 'get' | 'stepOf'>;
  /** Whether this node knows that a task of the job runs. */
  readonly isRunning: (id: JobId) => boolean;
}

export class PipelineStatusReader {
  private readonly completionRecords = new Map<PipelineId, FinishedPipelineRecord>();

  constructor(private readonly dependencies: PipelineStatusDependencies) {}

  /** Reads the completion record of the pipeline; undefined if it has none. */
  async readCompletionRecord(id: PipelineId): Promise<FinishedPipelineRecord | undefined | 'unreachable'> {
    const { log, store } = this.dependencies;
    const cached = this.completionRecords.get(id);
    if (cached) return cached;
    const entry = await store.get(PipelineKeys.finished(id), RequestPriority.User);
    if (!entry.ok) return 'unreachable';
    if (!entry.value) return undefined;
    const completionRecord = unseal(finishedPipelineSchema, entry.value.value);
    if (!completionRecord.ok) {
      log.error('end-record-unreadable', { pipeline: id, why: completionRecord.error });
      return 'unreachable';
    }
    this.completionRecords.set(id, completionRecord.value);
    if (this.completionRecords.size > MAX_CACHED_COMPLETION_RECORDS)
      this.completionRecords.delete(this.completionRecords.keys().next().value!);
    return completionRecord.value;
  }

  completionReply({ id, state, steps, done }: FinishedPipelineRecord): Reply {
    return pipelineReply({ id, state, steps, done, list: [], more: false });
  }

  /** The state of the pipeline, with its steps from the index `firstStep` on. */
  async show(idText: string, firstStep: number): Promise<Reply> {
    if (!PIPELINE_ID.test(idText)) return refuse('unknownPipeline');
    const id = idText as PipelineId;
    const { pipelineCache, jobCache } = this.dependencies;
    if (!(await jobCache.sync())) return refuse('storeUnanswered');
    const pipeline = pipelineCache.get(id);
    if (pipeline?.head.state === 'pending') return refuse('pipelinePending');
    if (pipeline) return this.liveReply(pipeline, firstStep);
    const completionRecord = await this.readCompletionRecord(id);
    if (completionRecord === 'unreachable') return refuse('storeUnanswered');
    return completionRecord ? this.completionReply(completionRecord) : refuse('unknownPipeline');
  }

  liveReply(pipeline: Pipeline, firstStep: number): Reply {
    const { id, head, steps } = pipeline;
    const list: StepAnswer[] = [];
    let bytes = 0;
    let more = false;
    for (let index = Math.max(0, firstStep); index < steps.length; index++) {
      const step = this.stepAnswer(pipeline, index);
      bytes += answerBytes(step);
      if (bytes > MAX_ANSWER_BYTES) {
        more = true;
        break;
      }
      list.push(step);
    }
    const state = pipelineState(pipeline);
    return pipelineReply({ id, state, steps: steps.length, done: head.progress.done.size, list, more });
  }

  private stepAnswer(pipeline: Pipeline, index: number): StepAnswer {
    const step = pipeline.steps[index]!;
    const held = isStepHeld(pipeline.head.progress, index);
    const unmet = held ? unmetDependencies(pipeline, index) : [];
    return {
      name: step.name,
      job: step.job.id,
      state: this.stepState(pipeline, index),
      waitsFor: unmet.slice(0, MAX_NAMED_DEPENDENCIES).map((needed) => stepName(pipeline, needed)),
      why: held ? this.whyHeld(pipeline, unmet) : whyFailed(pipeline, index),
    };
  }

  private whyHeld(pipeline: Pipeline, unmet: readonly number[]): string | null {
    const { progress, startMs } = pipeline.head;
    if (isBeforeStartTime(pipeline, this.dependencies.clock.wall())) {
      return `starts at ${new Date(startMs!).toISOString()}`;
    }
    const cancelled = unmet.find((needed) => progress.cancelled.has(needed));
    return cancelled === undefined ? null : `'${stepName(pipeline, cancelled)}' was cancelled`;
  }

  private stepState(pipeline: Pipeline, index: number): StepState {
    const { progress, cancelledAt } = pipeline.head;
    if (progress.done.has(index)) return 'done';
    if (progress.cancelled.has(index) || cancelledAt !== null) return 'cancelled';
    if (progress.failed.has(index)) return 'failed';
    if (!progress.released.has(index)) return 'held';
    return this.releasedState(pipeline.steps[index]!.job.id);
  }

  private releasedState(id: JobId): StepState {
    const { isRunning, jobCache } = this.dependencies;
    const state = jobCache.get(id)?.record.state;
    if (state === 'cancelled') return 'cancelled';
    return state === 'running' || isRunning(id) ? 'running' : 'queued';
  }

  /** The state of a step's job that users see when no job record states it. */
  jobState(id: JobId): StepJobState {
    const step = this.dependencies.pipelineCache.stepOf(id);
    if (!step) return undefined;
    const { head, steps } = step.pipeline;
    if (head.state === 'pending') return 'pending';
    const { progress, cancelledAt } = head;
    if (progress.done.has(step.index)) return { state: 'done', done: steps[step.index]!.job.tasks };
    if (progress.cancelled.has(step.index) || cancelledAt !== null) return { state: 'cancelled', done: 0 };
    return { state: 'queued', done: 0 };
  }
}

const pipelineReply = (answer: PipelineAnswer): Reply => ({
  status: 200,
  body: encodePipelineAnswer(answer),
});

const stepName = (pipeline: Pipeline, index: number): string => pipeline.steps[index]!.name;

const answerBytes = (step: StepAnswer): number =>
  step.name.length + step.waitsFor.join(',').length + (step.why?.length ?? 0) + STEP_BYTES;

function whyFailed(pipeline: Pipeline, index: number): string | null {
  const { failed, failures } = pipeline.head.progress;
  return failed.has(index) ? `given up after ${failures.get(index) ?? 0} failures` : null;
}

function pipelineState({ head }: Pipeline): PipelineState {
  if (head.cancelledAt !== null) return 'cancelled';
  return head.progress.released.size > 0 ? 'running' : 'held';
}
