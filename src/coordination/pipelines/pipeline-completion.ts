/**
 * The part of a completion transaction that pipelines add: heads that record completed steps, and job records of released steps.
 *
 * Owns nothing beyond one transaction. It builds conditions and changes; the completion writer commits them.
 */
import type { SteadyMs, WallMs } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Metrics } from '../../transport/metrics.js';
import { NO_REVISION, type JobId, type ModRevision, type PipelineId, type Term } from '../../protocol/ids.js';
import type { JobSpec } from '../../protocol/jobs.js';
import type { Change, Condition } from '../../protocol/state.js';
import type { Pipeline, PipelineCache } from '../../storage/pipeline-cache.js';
import { PipelineKeys, sealPipelineHead, type PipelineHead } from '../../storage/pipeline-records.js';
import { Keys, seal, type FinishedJobRecord, type JobRecord } from '../../storage/records.js';
import type { Job } from '../../cluster/cluster-state.js';
import type { PipelinesClusterState } from '../leader/cluster-state-views.js';
import type { TransactionPart, StepCompletion } from '../completion/transaction-part.js';
import {
  computeTransition,
  isBeforeStartTime,
  type PipelineTransition,
  type StepOutcomes,
} from './pipeline-transition.js';

interface RecordedOutcomes {
  readonly done: number[];
  readonly cancelled: number[];
  readonly failures: Map<number, number>;
}

export interface PipelineCompletionDependencies {
  readonly pipelineCache: PipelineCache;
  readonly cluster: PipelinesClusterState;
  readonly term: Term;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly wallTime: WallMs;
  readonly now: SteadyMs;
  /** Job and completion records that pipelines without a completion in this transaction may write; the rest is written later. */
  readonly releaseBudget: number;
  readonly consumeReleaseBudget: (count: number) => void;
  /** Failures of each job that the head already counts, since this leader's term began. */
  readonly countedFailures: Map<JobId, number>;
  /** When a step's dependencies were met, if that was found before its release. */
  readonly readySince: Map<JobId, SteadyMs>;
}

/**
 * What pipelines add to one completion transaction. The completion of a step's job, its change of the pipeline's head, and the
 * job records of the steps that it releases go in one transaction. What does not fit goes in later ones, each of which writes job
 * records together with the head that lists them as released. All are conditional on the head's mod revision, which a user's
 * cancellation changes.
 */
export class PipelineCompletion implements StepCompletion {
  private readonly outcomes = new Map<PipelineId, RecordedOutcomes>();

  constructor(private readonly dependencies: PipelineCompletionDependencies) {}

  get reservedChanges(): number {
    return this.outcomes.size;
  }

  /** Additional changes for the completion of this job: its pipeline's head, once for all completions of one transaction. */
  extraChangesFor(job: Job): number {
    const step = this.dependencies.pipelineCache.stepOf(job.id);
    return step && !this.outcomes.has(step.pipeline.id) ? 1 : 0;
  }

  recordJobCompletion(job: Job, how: 'done' | 'cancelled'): void {
    const step = this.dependencies.pipelineCache.stepOf(job.id);
    if (step) this.outcomesOf(step.pipeline.id)[how].push(step.index);
  }

  private outcomesOf(id: PipelineId): RecordedOutcomes {
    let recorded = this.outcomes.get(id);
    if (!recorded) this.outcomes.set(id, (recorded = { done: [], cancelled: [], failures: new Map() }));
    return recorded;
  }

  transactionParts(maxChanges: number): TransactionPart[] {
    const { pipelineCache } = this.dependencies;
    const withCompletions = [...this.outcomes.keys()];
    let remainingChanges = maxChanges - withCompletions.length;
    const parts: TransactionPart[] = [];
    for (const id of withCompletions) {
      const pipeline = pipelineCache.get(id);
      if (!pipeline) continue;
      const part = this.partFor(pipeline, remainingChanges, true);
      remainingChanges -= part.changes.length - 1;
      parts.push(part);
    }
    let remainingBudget = this.dependencies.releaseBudget;
    this.recordFailures();
    for (const id of [...pipelineCache.pending]) {
      if (this.outcomes.has(id) && withCompletions.includes(id)) continue;
      const pipeline = pipelineCache.get(id);
      if (!pipeline) {
        pipelineCache.pending.delete(id);
        continue;
      }
      if (remainingChanges < 2) break;
      const part = this.partFor(pipeline, Math.min(remainingChanges - 1, remainingBudget), false);
      if (part.changes.length === 0) continue;
      remainingChanges -= part.changes.length;
      remainingBudget -= part.changes.length - 1;
      parts.push(part);
    }
    return parts;
  }

  /** Records new failures of steps that limit their retries. */
  private recordFailures(): void {
    const { pipelineCache, cluster, countedFailures } = this.dependencies;
    for (const job of cluster.jobsWithUncountedFailures) {
      const step = pipelineCache.stepOf(job.id);
      const uncounted = job.totalFailures - (countedFailures.get(job.id) ?? 0);
      if (!step || uncounted <= 0 || step.pipeline.steps[step.index]!.retries === null) {
        cluster.jobsWithUncountedFailures.delete(job);
        continue;
      }
      this.outcomesOf(step.pipeline.id).failures.set(step.index, uncounted);
      pipelineCache.pending.add(step.pipeline.id);
    }
  }

  private partFor(pipeline: Pipeline, maxRecords: number, hasCompletions: boolean): TransactionPart {
    const { dependencies } = this;
    const outcomes: StepOutcomes = this.outcomes.get(pipeline.id) ?? {
      done: [],
      cancelled: [],
      failures: new Map(),
    };
    const head = pipeline.head;
    if (head.state !== 'live') {
      dependencies.pipelineCache.pending.delete(pipeline.id);
      return EMPTY_PART;
    }
    const transition = computeTransition(pipeline, outcomes, dependencies.wallTime, maxRecords);
    if (!transition.changed && !hasCompletions) {
      // Nothing is due until the pipeline changes or its start time comes. One that waits for its start time stays pending.
      if (!transition.hasMore && !isBeforeStartTime(pipeline, dependencies.wallTime))
        dependencies.pipelineCache.pending.delete(pipeline.id);
      return EMPTY_PART;
    }
    return this.buildPart(pipeline, transition, maxRecords, outcomes, hasCompletions);
  }

  private buildPart(
    pipeline: Pipeline,
    transition: PipelineTransition,
    maxRecords: number,
    outcomes: StepOutcomes,
    hasCompletions: boolean,
  ): TransactionPart {
    const { dependencies } = this;
    const { id, head, steps } = pipeline;
    const jobRecords = transition.release.map((index) => this.jobRecordOf(pipeline, index));
    const recordCount = transition.release.length + transition.withdraw.length;
    const isEnded = transition.completionRecord !== undefined && recordCount < maxRecords;
    const nextHead: PipelineHead = {
      ...head,
      progress: transition.progress,
      generation: head.generation + 1,
      term: dependencies.term,
    };
    const headKey = PipelineKeys.head(id);
    const changes: Change[] = isEnded
      ? [
          { op: 'delete', key: headKey },
          { op: 'put', key: PipelineKeys.finished(id), value: seal(transition.completionRecord) },
        ]
      : [{ op: 'put', key: headKey, value: sealPipelineHead(nextHead) }];
    const conditions: Condition[] = [{ key: headKey, modRevision: pipeline.modRevision }];
    for (const record of jobRecords) {
      conditions.push({ key: Keys.job(record.spec.id), modRevision: NO_REVISION });
      changes.push({ op: 'put', key: Keys.job(record.spec.id), value: seal(record) });
    }
    for (const index of transition.withdraw) {
      const finishedJob: FinishedJobRecord = { state: 'cancelled', done: 0 };
      changes.push({ op: 'put', key: Keys.finishedJob(steps[index]!.job.id), value: seal(finishedJob) });
    }
    return {
      conditions,
      changes,
      placementCount: 0,
      apply: (modRevision) =>
        this.apply(
          pipeline,
          transition,
          isEnded ? undefined : nextHead,
          jobRecords,
          outcomes,
          hasCompletions,
          modRevision,
        ),
    };
  }

  private apply(
    pipeline: Pipeline,
    transition: PipelineTransition,
    nextHead: PipelineHead | undefined,
    jobRecords: readonly JobRecord[],
    outcomes: StepOutcomes,
    hasCompletions: boolean,
    modRevision: ModRevision,
  ): void {
    const { dependencies } = this;
    const { id, steps } = pipeline;
    for (const [index, count] of outcomes.failures) {
      const job = steps[index]!.job.id;
      dependencies.countedFailures.set(job, (dependencies.countedFailures.get(job) ?? 0) + count);
      const liveJob = dependencies.cluster.jobs.get(job);
      if (liveJob) dependencies.cluster.jobsWithUncountedFailures.delete(liveJob);
    }
    if (!hasCompletions) dependencies.consumeReleaseBudget(jobRecords.length + transition.withdraw.length);
    if (nextHead) dependencies.pipelineCache.recordWrite(nextHead, modRevision);
    else {
      dependencies.pipelineCache.recordRemoval(id, modRevision);
      pipeline.head.parts.forEach((_, number) =>
        dependencies.cluster.garbage.add(PipelineKeys.part(id, number)),
      );
      dependencies.log.info('pipeline-ended', {
        pipeline: id,
        state: transition.completionRecord?.state,
        done: transition.completionRecord?.done,
      });
    }
    for (const record of jobRecords) {
      const job = record.spec.id;
      if (!dependencies.cluster.jobs.has(job))
        dependencies.cluster.addJob(record, modRevision, dependencies.now, undefined);
      const since = dependencies.readySince.get(job);
      dependencies.readySince.delete(job);
      dependencies.metrics.recordDurationMs(
        'step-release',
        since === undefined ? 0 : dependencies.now - since,
      );
      dependencies.log.info('step-released', { pipeline: id, job });
    }
    for (const index of transition.withdraw)
      dependencies.log.info('step-withdrawn', { pipeline: id, job: steps[index]!.job.id });
    for (const index of transition.progress.failed) {
      if (pipeline.head.progress.failed.has(index)) continue;
      dependencies.log.info('step-failed', {
        pipeline: id,
        job: steps[index]!.job.id,
        tries: transition.progress.failures.get(index) ?? 0,
      });
    }
    if (transition.hasMore) this.recordReadySteps(pipeline, transition);
  }

  /** Records since when the steps have been ready that did not fit in this transaction. */
  private recordReadySteps(pipeline: Pipeline, transition: PipelineTransition): void {
    const { dependencies } = this;
    const unbounded = computeTransition(
      { ...pipeline, head: { ...pipeline.head, progress: transition.progress } },
      NO_OUTCOMES,
      dependencies.wallTime,
      Infinity,
    );
    for (const index of unbounded.release) {
      const job = pipeline.steps[index]!.job.id;
      if (!dependencies.readySince.has(job)) dependencies.readySince.set(job, dependencies.now);
    }
  }

  /** The job record, as if a user submitted the job at its release. A deadline at a fixed time becomes the seconds until it. */
  private jobRecordOf(pipeline: Pipeline, index: number): JobRecord {
    const { job, dueMs } = pipeline.steps[index]!;
    const spec: JobSpec =
      dueMs === null
        ? job
        : { ...job, deadlineS: Math.max(1, Math.round((dueMs - this.dependencies.wallTime) / 1000)) };
    return {
      spec,
      state: 'queued',
      generation: 0,
      term: this.dependencies.term,
      attempt: 0,
      done: 0,
      acceptedAt: this.dependencies.wallTime,
      cancelledAt: null,
    };
  }
}

const EMPTY_PART: TransactionPart = {
  conditions: [],
  changes: [],
  placementCount: 0,
  apply: () => undefined,
};
const NO_OUTCOMES: StepOutcomes = { done: [], cancelled: [], failures: new Map() };
