/**
 * Writes accepted submissions to the store.
 *
 * Owns the queue of submissions that wait to be written and their grouping into transactions. It never validates a
 * submission; `JobApi` does that first.
 *
 * Submissions are idempotent: a transaction conditions on the absence of the job record and of its completion record, so a
 * repeated submission, at whichever node, finds the existing job and is answered with its state.
 */
import { RequestPriority } from '../../transport/rate-limiter.js';
import type { Clock } from '../../transport/clock.js';
import type { Reply } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import { NO_REVISION, type JobId, type StoreKey } from '../../protocol/ids.js';
import type { JobSpec } from '../../protocol/jobs.js';
import type { Settings } from '../../protocol/settings.js';
import type { Change, Condition } from '../../protocol/state.js';
import type { JobCache } from '../../storage/job-cache.js';
import { Keys, type SealedRecord } from '../../storage/records.js';
import type { StoreClient, StoreFailure } from '../../storage/store-client.js';
import type { PipelineApi } from '../pipelines/pipeline-api.js';
import { AdmissionControl } from './admission-control.js';
import { jobReply, type JobStatusReader } from './job-status.js';
import { refusal, refusalReply, refuse } from './refusals.js';

/** Transactions in flight at the same time. */
const MAX_TRANSACTIONS_IN_FLIGHT = 2;
/** Smallest size to which throttling reduces a transaction, in jobs. */
const MIN_BATCH_SIZE = 2;
/** Fraction of the store's write rate guaranteed to submissions; the nodes share it equally. */
const GUARANTEED_WRITE_SHARE = 1 / 2;

export interface JobSubmissionDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly store: Pick<StoreClient, 'txn'>;
  readonly jobCache: Pick<JobCache, 'sync'>;
  readonly settings: Pick<Settings, 'store' | 'peers'>;
  readonly pipelineSteps?: Pick<PipelineApi, 'epochCondition' | 'jobState'> | undefined;
}

interface PendingSubmission {
  readonly spec: JobSpec;
  readonly record: SealedRecord;
  readonly answer: (reply: Reply) => void;
}

/** Accepts submissions in batches; those that arrive together share a transaction. */
export class JobSubmissionQueue {
  private queue: PendingSubmission[] = [];
  private transactionsInFlight = 0;
  private readonly admission: AdmissionControl;
  /** Jobs per transaction: reduced while the store throttles, raised with each success. */
  private batchSize: number;

  constructor(
    private readonly dependencies: JobSubmissionDependencies,
    private readonly status: JobStatusReader,
  ) {
    const { clock, settings } = dependencies;
    const nodes = settings.peers.length + 1;
    this.batchSize = settings.store.txnOps;
    this.admission = new AdmissionControl(clock, (settings.store.writeRps * GUARANTEED_WRITE_SHARE) / nodes);
  }

  /** Resolves once the job is accepted, found to exist already, or refused for now. */
  submit(spec: JobSpec, record: SealedRecord): Promise<Reply> {
    return new Promise((answer) => {
      this.queue.push({ spec, record, answer });
      if (this.admission.deferredCount > 0) this.sortByFirstAttempt();
      void this.drain();
    });
  }

  /** Jobs whose users have retried for longest go first. */
  private sortByFirstAttempt(): void {
    const firstAttemptAt = ({ spec }: PendingSubmission): number => this.admission.firstAttemptAt(spec.id);
    this.queue.sort((a, b) => firstAttemptAt(a) - firstAttemptAt(b));
  }

  /** Writes what is queued. The first submission does not wait for others. */
  private async drain(): Promise<void> {
    while (this.queue.length > 0 && this.transactionsInFlight < MAX_TRANSACTIONS_IN_FLIGHT) {
      this.transactionsInFlight++;
      await this.accept(this.takeBatch());
      this.transactionsInFlight--;
    }
  }

  /** Takes submissions of distinct jobs from the queue, in their order. */
  private takeBatch(): PendingSubmission[] {
    const batch: PendingSubmission[] = [];
    const rest: PendingSubmission[] = [];
    const ids = new Set<JobId>();
    for (const submission of this.queue) {
      const { id } = submission.spec;
      if (batch.length < this.batchSize && !ids.has(id)) {
        ids.add(id);
        batch.push(submission);
      } else rest.push(submission);
    }
    this.queue = rest;
    return batch;
  }

  private async accept(submissions: readonly PendingSubmission[]): Promise<void> {
    const batch = this.withoutSteps(submissions);
    if (batch.length === 0) return;
    const outcome = await this.dependencies.store.txn(
      this.conditionsOf(batch),
      batch.map(({ spec, record }): Change => ({ op: 'put', key: Keys.job(spec.id), value: record })),
      RequestPriority.User,
    );
    if (!outcome.ok) return this.handleFailure(batch, outcome.error);
    if (outcome.value.kind === 'committed') {
      this.confirm(batch);
      return;
    }
    return this.handleConflict(batch, new Set(outcome.value.failed));
  }

  /**
   * Answers submissions that are pipeline steps and returns the others. It runs in the same event loop turn that reads the
   * pipeline epoch on which the transaction conditions. If steps were recognised only on arrival, those of a pipeline that
   * is accepted while they are queued would become separate jobs and run before the steps they depend on.
   */
  private withoutSteps(batch: readonly PendingSubmission[]): readonly PendingSubmission[] {
    const { pipelineSteps } = this.dependencies;
    if (!pipelineSteps) return batch;
    const isStep = ({ spec }: PendingSubmission): boolean => pipelineSteps.jobState(spec.id) !== undefined;
    for (const submission of batch.filter(isStep)) this.answerWithState(submission);
    return batch.filter((submission) => !isStep(submission));
  }

  private conditionsOf(batch: readonly PendingSubmission[]): Condition[] {
    const { pipelineSteps } = this.dependencies;
    return [
      ...(pipelineSteps ? [pipelineSteps.epochCondition()] : []),
      ...batch.flatMap(({ spec }): Condition[] => [
        { key: Keys.job(spec.id), modRevision: NO_REVISION },
        { key: Keys.finishedJob(spec.id), modRevision: NO_REVISION },
      ]),
    ];
  }

  private confirm(batch: readonly PendingSubmission[]): void {
    const { log, settings } = this.dependencies;
    this.admission.recordAccepted(batch.map(({ spec }) => spec.id));
    this.batchSize = Math.min(settings.store.txnOps, this.batchSize + 1);
    for (const { spec, answer } of batch) {
      log.info('job-accepted', { job: spec.id, class: spec.class });
      answer({ ...jobReply({ id: spec.id, state: 'queued' }), status: 201 });
    }
  }

  /** A refusal is safe even if the transaction is applied later: the next submission of the job then finds it accepted. */
  private async handleFailure(batch: readonly PendingSubmission[], failure: StoreFailure): Promise<void> {
    this.dependencies.log.info('job-accept-failed', { jobs: batch.length, why: failure.why });
    if (failure.kind === 'refused' && batch.length > 1) {
      // The transaction may be too large; none of its records was written.
      const half = batch.length >> 1;
      await this.accept(batch.slice(0, half));
      return this.accept(batch.slice(half));
    }
    const throttled = failure.throttled === true;
    // A transaction is throttled as a whole: a smaller one passes where a large one does not.
    if (throttled) this.batchSize = Math.max(MIN_BATCH_SIZE, this.batchSize >> 1);
    for (const { spec, answer } of batch) {
      const retryAfterS = throttled ? this.admission.recordThrottled(spec.id) : undefined;
      answer(refusalReply(refusal('storeWriteFailed'), retryAfterS));
    }
  }

  private async handleConflict(
    batch: readonly PendingSubmission[],
    failed: ReadonlySet<StoreKey>,
  ): Promise<void> {
    const { jobCache, pipelineSteps } = this.dependencies;
    // A pipeline was accepted concurrently and may have taken one of these ids.
    const epochChanged = pipelineSteps !== undefined && failed.has(pipelineSteps.epochCondition().key);
    if (epochChanged && !(await jobCache.sync())) {
      for (const { answer } of batch) answer(refuse('storeUnanswered'));
      return;
    }
    const exists = ({ id }: JobSpec): boolean =>
      (epochChanged && pipelineSteps.jobState(id) !== undefined) ||
      failed.has(Keys.job(id)) ||
      failed.has(Keys.finishedJob(id));
    const retries: PendingSubmission[] = [];
    for (const submission of batch) {
      if (exists(submission.spec)) this.answerWithState(submission);
      else retries.push(submission);
    }
    if (retries.length > 0) await this.accept(retries);
  }

  /** The promise needs no handler: the status reader never rejects, and store failures become replies. */
  private answerWithState({ spec, answer }: PendingSubmission): void {
    void this.status
      .read(spec.id)
      .then((reply) => answer(reply.status === 404 ? refuse('jobChanging') : reply));
  }
}
