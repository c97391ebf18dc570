/**
 * Accepts submitted pipelines.
 *
 * Owns the order of the checks that a submission passes. `PipelineValidator` judges it and `PipelineWriter` writes it.
 * Submissions are idempotent: a repeated one is recognised by its checksum and answered with the pipeline's state.
 */
import type { Clock } from '../../transport/clock.js';
import type { Reply } from '../../transport/http.js';
import type { Metrics } from '../../transport/metrics.js';
import { decodeAs, encode } from '../../protocol/codec.js';
import { pipelineSubmissionSchema, type PipelineSpec } from '../../protocol/pipelines.js';
import { F } from '../../protocol/wire.js';
import type { JobCache } from '../../storage/job-cache.js';
import type { PipelineCache } from '../../storage/pipeline-cache.js';
import { pipelineChecksum } from '../../storage/pipeline-records.js';
import { MAX_CONFLICT_ATTEMPTS, refuse } from '../users/refusals.js';
import type { PipelineStatusReader } from './pipeline-status.js';
import { PipelineValidator, type PipelineValidationDependencies } from './pipeline-validation.js';
import { PipelineWriter, type PipelineWriterDependencies } from './pipeline-writer.js';

export interface PipelineAcceptanceDependencies
  extends PipelineValidationDependencies, PipelineWriterDependencies {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly jobCache: Pick<JobCache, 'get' | 'sync'>;
  readonly pipelineCache: Pick<
    PipelineCache,
    'acceptanceRevision' | 'all' | 'headOf' | 'matches' | 'partChecksums' | 'stepOf'
  >;
}

export class PipelineAcceptance {
  private readonly validator: PipelineValidator;
  private readonly writer: PipelineWriter;

  constructor(
    private readonly dependencies: PipelineAcceptanceDependencies,
    private readonly status: PipelineStatusReader,
  ) {
    this.validator = new PipelineValidator(dependencies);
    this.writer = new PipelineWriter(dependencies);
  }

  /** The answer that a submission would get, apart from quotas and ids in use. Writes nothing. */
  check(body: Uint8Array): Reply {
    const parsed = decodeAs(pipelineSubmissionSchema, body);
    if (!parsed.ok) return refuse('malformedRequest', parsed.error);
    const { id, steps } = parsed.value;
    const refused = this.validator.refusalOf(parsed.value);
    return refused ?? { status: 200, body: encode({ [F.id]: id, [F.count]: steps.length }) };
  }

  async submit(body: Uint8Array): Promise<Reply> {
    const { clock, metrics } = this.dependencies;
    const startedAt = clock.now();
    const reply = await this.accept(body);
    metrics.recordDurationMs('pipeline-submit', clock.now() - startedAt);
    metrics.increment(`pipeline-submit-${reply.status}`);
    return reply;
  }

  private async accept(body: Uint8Array): Promise<Reply> {
    const parsed = decodeAs(pipelineSubmissionSchema, body);
    if (!parsed.ok) return refuse('malformedRequest', parsed.error);
    const checksum = pipelineChecksum(parsed.value);
    for (let attempt = 0; attempt < MAX_CONFLICT_ATTEMPTS; attempt++) {
      const reply = await this.tryAccept(parsed.value, checksum);
      if (reply) return reply;
    }
    return refuse('pipelineChanging');
  }

  /** Returns undefined if the records changed in the meantime. */
  private async tryAccept(spec: PipelineSpec, checksum: string): Promise<Reply | undefined> {
    const { pipelineCache, jobCache } = this.dependencies;
    if (!(await jobCache.sync())) return refuse('storeUnanswered');
    const head = pipelineCache.headOf(spec.id);
    if (head && head.value.sum !== checksum) return refuse('pipelineNameTaken', spec.id);
    if (head?.value.state === 'live') return this.status.show(spec.id, 0);
    if (!head) {
      const ended = await this.endedReply(spec, checksum);
      if (ended) return ended;
    }
    // Machine types and limits are checked only here, so a repeated submission of an accepted pipeline is never refused because
    // they changed.
    const refused = this.validator.refusalOf(spec) ?? this.validator.quotaRefusalOf(spec);
    return refused ?? this.writer.write(spec, checksum, head);
  }

  /** The answer if a pipeline of this name has ended; undefined if none has. */
  private async endedReply(spec: PipelineSpec, checksum: string): Promise<Reply | undefined> {
    const completionRecord = await this.status.readCompletionRecord(spec.id);
    if (completionRecord === 'unreachable') return refuse('storeUnanswered');
    if (!completionRecord) return undefined;
    return completionRecord.sum === checksum
      ? this.status.completionReply(completionRecord)
      : refuse('pipelineNameUsed', spec.id);
  }
}
