/**
 * The job API of every node: submits, shows and cancels jobs directly in the store.
 *
 * Owns the validation of submissions, and delegates reads, writes and cancellations to their modules. It needs no leader
 * and never schedules anything.
 */
import type { StallAwareClock } from '../../transport/stall-aware-clock.js';
import type { Clock } from '../../transport/clock.js';
import type { Reply } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import { decodeAs } from '../../protocol/codec.js';
import { JOB_ID, type JobId, type Term } from '../../protocol/ids.js';
import { elasticSpecError, jobSubmissionSchema, type JobSpec } from '../../protocol/jobs.js';
import type { Settings } from '../../protocol/settings.js';
import type { JobCache } from '../../storage/job-cache.js';
import { fitsStoreValue, seal, type JobRecord } from '../../storage/records.js';
import type { StoreClient } from '../../storage/store-client.js';
import type { CancelledJobs } from '../election/cancelled-jobs.js';
import type { MachineTypeCatalog } from '../fleet/machine-type-catalog.js';
import type { PipelineApi } from '../pipelines/pipeline-api.js';
import type { FeasibilityChecker } from './feasibility-checker.js';
import { JobCancellation } from './job-cancellation.js';
import { JobStatusReader, type TaskCounts } from './job-status.js';
import { JobSubmissionQueue } from './job-submission.js';
import { refusal, refusalReply, refuse, type Refusal } from './refusals.js';

export interface JobApiDependencies {
  readonly clock: Clock;
  readonly stallAwareClock: Pick<StallAwareClock, 'since'>;
  readonly log: Log;
  readonly store: Pick<StoreClient, 'get' | 'lastContactAt' | 'txn'>;
  readonly jobCache: Pick<JobCache, 'get' | 'sync'>;
  readonly types: Pick<MachineTypeCatalog, 'isLoaded'>;
  readonly cancellations: Pick<CancelledJobs, 'add' | 'has'>;
  /** Notifies the other nodes of a cancellation that this one is about to confirm. */
  readonly broadcastCancellation: (id: JobId) => void;
  readonly settings: Pick<Settings, 'store' | 'peers'>;
  readonly feasibility: Pick<FeasibilityChecker, 'check'>;
  /** Whether elastic jobs are supported. If not, their fields are ignored, like unknown fields. */
  readonly elasticEnabled: boolean;
  /** Users address pipeline steps as jobs, too; absent where no pipelines are served. */
  readonly pipelineSteps?: Pick<PipelineApi, 'epochCondition' | 'jobState' | 'cancelHeld'> | undefined;
  /** Current task counts of a job, where this node has newer ones than the job record, as the leader does. */
  readonly liveTaskCounts: (id: JobId) => TaskCounts | undefined;
}

/** Handles the users' requests for single jobs. */
export class JobApi {
  private readonly status: JobStatusReader;
  private readonly submissions: JobSubmissionQueue;
  private readonly cancellation: JobCancellation;

  constructor(private readonly dependencies: JobApiDependencies) {
    this.status = new JobStatusReader(dependencies);
    this.submissions = new JobSubmissionQueue(dependencies, this.status);
    this.cancellation = new JobCancellation(dependencies, this.status);
  }

  /** Why no job can be accepted now; undefined if jobs can be. */
  unreadyReason(): Refusal | undefined {
    if (this.status.storeUnreachable) return refusal('storeUnreachable');
    return this.dependencies.types.isLoaded() ? undefined : refusal('machineTypesUnknown');
  }

  /** Accepts a job, or answers with the state of the existing job with this id. */
  async submit(body: Uint8Array): Promise<Reply> {
    const { clock, elasticEnabled, settings } = this.dependencies;
    const parsed = decodeAs(jobSubmissionSchema, body);
    if (!parsed.ok) return refuse('malformedRequest', parsed.error);
    const spec = elasticEnabled ? parsed.value : withoutElasticFields(parsed.value);
    const elasticError = elasticSpecError(spec);
    if (elasticError !== undefined) return refuse('malformedRequest', elasticError);
    if (this.isKnown(spec.id)) return this.status.read(spec.id);

    const unready = this.unreadyReason();
    if (unready) return refusalReply(unready);
    const verdict = this.dependencies.feasibility.check(spec);
    if (verdict.kind !== 'feasible') return this.answerNotFeasible(spec.id, verdict.refusal);

    const record = seal(newJobRecord(spec, clock));
    if (!fitsStoreValue(record, settings.store.valueKb)) return refuse('submissionTooLarge');
    return this.submissions.submit(spec, record);
  }

  async show(id: string): Promise<Reply> {
    return JOB_ID.test(id) ? this.status.read(id as JobId) : refuse('unknownJob');
  }

  async cancel(id: string): Promise<Reply> {
    return JOB_ID.test(id) ? this.cancellation.cancel(id as JobId) : refuse('unknownJob');
  }

  /** Whether this node knows of a job with this id, which makes the submission a repeated one. */
  private isKnown(id: JobId): boolean {
    const { jobCache, pipelineSteps } = this.dependencies;
    return (
      this.status.cachedCompletion(id) !== undefined ||
      jobCache.get(id) !== undefined ||
      pipelineSteps?.jobState(id) !== undefined
    );
  }

  /** A repeated submission of an accepted job must not be refused, whatever became of the machine types since. */
  private async answerNotFeasible(id: JobId, reason: Refusal): Promise<Reply> {
    const current = await this.status.read(id);
    return current.status === 404 ? refusalReply(reason) : current;
  }
}

const newJobRecord = (spec: JobSpec, clock: Clock): JobRecord => ({
  spec,
  state: 'queued',
  generation: 0,
  term: 0n as Term,
  attempt: 0,
  done: 0,
  acceptedAt: clock.wall(),
  cancelledAt: null,
});

type Writable<T> = { -readonly [Key in keyof T]: T[Key] };

function withoutElasticFields(spec: JobSpec): JobSpec {
  const copy: Writable<JobSpec> = { ...spec };
  delete copy.elastic;
  delete copy.headRoom;
  return copy;
}
