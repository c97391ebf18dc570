/**
 * Pipeline support of a controller node; created only where the operator enabled pipelines.
 *
 * Owns the pipeline cache and, on the leader, the retry state of steps. It starts no task: a released step becomes a job
 * record, which the scheduling loop handles like any other.
 */
import { plus, type Clock, type SteadyMs } from '../../transport/clock.js';
import type { Route } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import type { Metrics } from '../../transport/metrics.js';
import { NO_REVISION, type JobId, type PipelineId, type Term } from '../../protocol/ids.js';
import type { Change, Condition } from '../../protocol/state.js';
import { PipelineCache, type CachedPart } from '../../storage/pipeline-cache.js';
import { PipelineKeys } from '../../storage/pipeline-records.js';
import type { PipelinesClusterState } from '../leader/cluster-state-views.js';
import type { StepCompletion } from '../completion/transaction-part.js';
import { PipelineApi, type PipelineApiDependencies } from './pipeline-api.js';
import { PipelineCompletion } from './pipeline-completion.js';
import { isStepFinished, isBeforeStartTime, unmetDependencies } from './pipeline-transition.js';

/** Records of an interrupted acceptance are garbage-collected after this time. */
export const ABANDONED_ACCEPTANCE_MS = 120_000;
/** The longest back-off of a step, and after how many doublings it grows no more. */
const MAX_BACKOFF_S = 3600;
const MAX_BACKOFF_DOUBLINGS = 20;
/** Steps whose last delay is remembered. */
const MAX_REMEMBERED_DELAYS = 10_000;
/** Unmet dependencies that an explanation names. */
const MAX_EXPLAINED_DEPENDENCIES = 10;
/** Share of the store's write rate for releases of steps outside the transactions that record completions of their pipeline. */
const RELEASE_WRITE_SHARE = 0.3;

export interface PipelineManagerDependencies extends Omit<PipelineApiDependencies, 'pipelineCache'> {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Connects the pipeline cache, the pipeline API and, on the leader, the release and retry of steps. */
export class PipelineManager {
  readonly pipelineCache: PipelineCache;
  readonly api: PipelineApi;
  private cluster: PipelinesClusterState | undefined;
  private wake: () => void = () => undefined;
  private onCancelled: (id: JobId) => void = () => undefined;
  private countedFailures = new Map<JobId, number>();
  private readySince = new Map<JobId, SteadyMs>();
  /** For each step whose retry was delayed, the number of failures that the delay is for. */
  private delayedAfterFailures = new Map<JobId, number>();
  private releaseBudget = 0;
  private releaseBudgetUpdatedAt: SteadyMs;

  constructor(private readonly dependencies: PipelineManagerDependencies) {
    this.pipelineCache = new PipelineCache(dependencies.log);
    this.api = new PipelineApi({ ...dependencies, pipelineCache: this.pipelineCache });
    this.releaseBudgetUpdatedAt = dependencies.clock.now();
    dependencies.jobCache.auxiliaryCache = this.pipelineCache;
    this.pipelineCache.onChange = (id) => this.onPipelineChanged(id);
    dependencies.metrics.registerGauge('pipelines', () => this.pipelineCache.size);
  }

  get routes(): readonly Route[] {
    return this.api.routes;
  }

  // ---- on the leader ----------------------------------------------------------------------------------

  /** Starts a term; state kept from an earlier term is discarded. */
  onLeadershipAcquired(
    cluster: PipelinesClusterState,
    wake: () => void,
    onCancelled: (id: JobId) => void,
  ): void {
    this.cluster = cluster;
    this.wake = wake;
    this.onCancelled = onCancelled;
    this.countedFailures = new Map();
    this.readySince = new Map();
    this.delayedAfterFailures = new Map();
    for (const pipeline of this.pipelineCache.all()) {
      this.pipelineCache.pending.add(pipeline.id);
      this.onPipelineChanged(pipeline.id);
    }
  }

  onLeadershipLost(cluster: PipelinesClusterState | undefined): void {
    if (this.cluster === cluster) this.cluster = undefined;
  }

  /** Handles a job record that the leader just received: it may belong to a step that failed or whose pipeline was cancelled. */
  onJobRecordReceived(id: JobId): void {
    const step = this.pipelineCache.stepOf(id);
    if (step) this.onPipelineChanged(step.pipeline.id);
  }

  private onPipelineChanged(id: PipelineId): void {
    const { cluster } = this;
    const pipeline = this.pipelineCache.get(id);
    if (!pipeline) return;
    const { progress, cancelledAt } = pipeline.head;
    // Every node, leader or not, applies what its copy of the head says.
    if (cancelledAt !== null) {
      for (const index of progress.released)
        if (!isStepFinished(progress, index))
          this.dependencies.cancellations.add(pipeline.steps[index]!.job.id);
    }
    if (!cluster) return;
    for (const index of progress.released) {
      if (isStepFinished(progress, index)) continue;
      const job = cluster.jobs.get(pipeline.steps[index]!.job.id);
      if (!job) continue;
      const isFailed = progress.failed.has(index);
      if (job.backedOff && !isFailed) job.retryAt = 0 as SteadyMs;
      job.backedOff = isFailed;
      const failures = progress.failures.get(index) ?? 0;
      if (failures > 0 && !isFailed) this.delayRetry(job.id, failures, pipeline.steps[index]!.backoffS);
      if (cancelledAt !== null && job.cancelledAt === undefined) this.onCancelled(job.id);
    }
    this.wake();
  }

  /** Delays the retry by the step's own back-off. It may be later than the scheduler's back-off, never earlier. */
  private delayRetry(id: JobId, failures: number, backoffS: number): void {
    const job = this.cluster?.jobs.get(id);
    if (!job || this.delayedAfterFailures.get(id) === failures) return;
    this.delayedAfterFailures.set(id, failures);
    if (this.delayedAfterFailures.size > MAX_REMEMBERED_DELAYS)
      this.delayedAfterFailures.delete(this.delayedAfterFailures.keys().next().value!);
    const doublings = Math.min(MAX_BACKOFF_DOUBLINGS, failures - 1);
    const delayS = Math.min(MAX_BACKOFF_S, backoffS * 2 ** doublings);
    const until = plus(this.dependencies.clock.now(), delayS * 1000);
    if (until > job.retryAt) job.retryAt = until;
  }
  beginCompletion(cluster: PipelinesClusterState, term: Term): StepCompletion | undefined {
    const { dependencies } = this;
    if (this.pipelineCache.size === 0) return undefined;
    const now = dependencies.clock.now();
    const { writeRps, txnOps } = dependencies.settings.store;
    this.releaseBudget = Math.min(
      txnOps,
      this.releaseBudget + ((now - this.releaseBudgetUpdatedAt) / 1000) * RELEASE_WRITE_SHARE * writeRps,
    );
    this.releaseBudgetUpdatedAt = now;
    return new PipelineCompletion({
      pipelineCache: this.pipelineCache,
      cluster,
      term,
      log: dependencies.log,
      metrics: dependencies.metrics,
      wallTime: dependencies.clock.wall(),
      now,
      releaseBudget: Math.floor(this.releaseBudget),
      consumeReleaseBudget: (count) => (this.releaseBudget = Math.max(0, this.releaseBudget - count)),
      countedFailures: this.countedFailures,
      readySince: this.readySince,
    });
  }

  /**
   * Finds records of interrupted acceptances: parts without a head, and pending heads, whose reserved ids were never confirmed.
   * Each is removed on the condition that it has not changed, so an acceptance that resumes later conflicts and is tried again.
   */
  findAbandonedAcceptance(
    maxChanges: number,
  ): { readonly conditions: Condition[]; readonly changes: Change[]; readonly pipeline: string } | undefined {
    const writtenBefore = this.dependencies.clock.wall() - ABANDONED_ACCEPTANCE_MS;
    for (const { id, parts } of this.pipelineCache.partsWithoutHead()) {
      if (parts.some((p) => p.writtenAt > writtenBefore)) continue;
      // The parts of a pipeline that ended under this leader are garbage already.
      const batch = parts.filter((p) => !this.isGarbage(id, p)).slice(0, maxChanges);
      if (batch.length === 0) continue;
      return {
        conditions: [
          { key: PipelineKeys.head(id), modRevision: NO_REVISION },
          ...batch.map((p) => ({ key: PipelineKeys.part(id, p.n), modRevision: p.modRevision })),
        ],
        changes: batch.map((p) => ({ op: 'delete', key: PipelineKeys.part(id, p.n) })),
        pipeline: id,
      };
    }
    for (const pipeline of this.pipelineCache.all()) {
      if (pipeline.head.state !== 'pending' || pipeline.head.acceptedAt > writtenBefore) continue;
      return {
        conditions: [{ key: PipelineKeys.head(pipeline.id), modRevision: pipeline.modRevision }],
        changes: [{ op: 'delete', key: PipelineKeys.head(pipeline.id) }],
        pipeline: pipeline.id,
      };
    }
    return undefined;
  }

  private isGarbage(id: PipelineId, part: CachedPart): boolean {
    return this.cluster?.garbage.has(PipelineKeys.part(id, part.n)) ?? false;
  }

  /** Returns why a held step waits, as lines for users; undefined if the job is not a step. */
  explain(id: JobId): string[] | undefined {
    const location = this.pipelineCache.stepOf(id);
    if (!location) return undefined;
    const { pipeline, index } = location;
    const { progress, cancelledAt, startMs, state } = pipeline.head;
    const label = (step: number): string =>
      `'${pipeline.steps[step]!.name}' (${pipeline.steps[step]!.job.id})`;
    const lines = [`Step ${label(index)} of pipeline ${pipeline.id}.`];
    if (state === 'pending') return [...lines, 'The pipeline is being accepted.'];
    if (cancelledAt !== null) return [...lines, 'The pipeline was cancelled.'];
    if (progress.failed.has(index)) {
      const failures = progress.failures.get(index) ?? 0;
      return [...lines, `It was given up after ${failures} failures: cancel it, or 'pipeline retry' it.`];
    }
    if (progress.released.has(index) || isStepFinished(progress, index)) return lines;
    if (isBeforeStartTime(pipeline, this.dependencies.clock.wall()))
      lines.push(`The pipeline starts at ${new Date(startMs!).toISOString()}.`);
    for (const needed of unmetDependencies(pipeline, index).slice(0, MAX_EXPLAINED_DEPENDENCIES)) {
      const why = progress.cancelled.has(needed)
        ? ', which was cancelled: it waits until it is cancelled too'
        : progress.failed.has(needed)
          ? ', which was given up'
          : progress.released.has(needed)
            ? ', which is not done yet'
            : ', which waits itself';
      lines.push(`It waits for step ${label(needed)}${why}.`);
    }
    if (lines.length === 1) lines.push('All that it needs is done: it is released with the next write.');
    return lines;
  }
}

export const createPipelineManager = (dependencies: PipelineManagerDependencies): PipelineManager =>
  new PipelineManager(dependencies);
