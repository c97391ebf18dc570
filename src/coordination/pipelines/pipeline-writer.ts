/**
 * Writes an accepted pipeline to the store, so that an interruption leaves all of it or nothing.
 *
 * Owns the transactions of an acceptance. A small pipeline takes one. A larger one takes several: its parts, then a
 * pending head that reserves the job ids, then a check of all ids, and only then the live head. What an interruption
 * leaves at any point is continued by a repeated submission at any node, or garbage-collected.
 */
import type { Clock } from '../../transport/clock.js';
import type { Reply } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import { RequestPriority } from '../../transport/rate-limiter.js';
import { NO_REVISION, type JobId, type ModRevision, type StoreKey, type Term } from '../../protocol/ids.js';
import { encodePipelineAnswer, type PipelineSpec, type StepFault } from '../../protocol/pipelines.js';
import type { Settings } from '../../protocol/settings.js';
import type { Change, Condition } from '../../protocol/state.js';
import type { JobCache } from '../../storage/job-cache.js';
import type { PipelineCache } from '../../storage/pipeline-cache.js';
import {
  NO_PROGRESS,
  packPipelineParts,
  PipelineKeys,
  sealPipelineHead,
  type PipelineHead,
} from '../../storage/pipeline-records.js';
import { Keys, seal, type SealedRecord } from '../../storage/records.js';
import type { StoreClient } from '../../storage/store-client.js';
import { refuse, refuseSteps } from '../users/refusals.js';

/** Maximum size of a transaction that the store accepts, less its framing. */
const MAX_TRANSACTION_BYTES = 60 * 1024;
/** Bytes reserved for the head and the acceptance record when a pipeline is written in one transaction. */
const HEAD_BYTES = 4096;
/** The store accepts this many conditions in one transaction for each change that it accepts. */
const CONDITIONS_PER_CHANGE = 4;
/** Changes of an acceptance beside its parts: the head and the acceptance record. */
const FIXED_CHANGES = 2;

export interface PipelineWriterDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly store: Pick<StoreClient, 'txn'>;
  readonly jobCache: Pick<JobCache, 'get' | 'sync'>;
  readonly pipelineCache: Pick<
    PipelineCache,
    'acceptanceRevision' | 'headOf' | 'matches' | 'partChecksums' | 'stepOf'
  >;
  readonly settings: Pick<Settings, 'store'>;
}

/** A head that an earlier submission of the same pipeline wrote, and its revision. */
export interface VersionedHead {
  readonly value: PipelineHead;
  readonly modRevision: ModRevision;
}

export class PipelineWriter {
  constructor(private readonly dependencies: PipelineWriterDependencies) {}

  /** Returns the answer to the user; undefined if the records changed in the meantime and have to be read again. */
  async write(
    spec: PipelineSpec,
    checksum: string,
    pending: VersionedHead | undefined,
  ): Promise<Reply | undefined> {
    const { pipelineCache, clock, settings } = this.dependencies;
    const parts = packPipelineParts(spec, settings.store.valueKb, clock.wall());
    if (!parts.ok) return refuse('stepTooLarge', parts.error);
    if (pending) return this.confirm(spec, pending.value, pending.modRevision);
    const clash = this.clashBeforeHead(spec);
    if (clash) return clash === 'changed' ? undefined : clash;
    const head = newHead(spec, checksum, parts.value, clock);
    const ownConditions: Condition[] = [
      absent(PipelineKeys.head(spec.id)),
      absent(PipelineKeys.finished(spec.id)),
      { key: PipelineKeys.acceptance, modRevision: pipelineCache.acceptanceRevision },
    ];
    const idConditions = spec.steps.flatMap(({ job }) => [
      absent(Keys.job(job.id)),
      absent(Keys.finishedJob(job.id)),
    ]);
    const conditions = [...ownConditions, ...idConditions];
    return this.fitsOneTransaction(parts.value, conditions.length)
      ? this.writeInOneTransaction(spec, head, parts.value, conditions)
      : this.writeInSeveralTransactions(spec, head, parts.value);
  }

  private fitsOneTransaction(parts: readonly SealedRecord[], conditions: number): boolean {
    const { txnOps } = this.dependencies.settings.store;
    const bytes = parts.reduce((sum, part) => sum + JSON.stringify(part).length, 0);
    return (
      parts.length + FIXED_CHANGES <= txnOps &&
      bytes <= MAX_TRANSACTION_BYTES - HEAD_BYTES &&
      conditions + parts.length <= CONDITIONS_PER_CHANGE * txnOps
    );
  }

  private async writeInOneTransaction(
    spec: PipelineSpec,
    head: PipelineHead,
    parts: readonly SealedRecord[],
    conditions: readonly Condition[],
  ): Promise<Reply | undefined> {
    const outcome = await this.dependencies.store.txn(
      [...conditions, ...parts.map((_, number) => absent(PipelineKeys.part(spec.id, number)))],
      [
        ...acceptanceChanges({ ...head, state: 'live' }),
        ...parts.map((value, number) => putPart(spec, number, value)),
      ],
      RequestPriority.User,
    );
    if (!outcome.ok) return refuse('storeWriteFailed');
    if (outcome.value.kind === 'committed') return this.accepted(spec);
    return conflictReply(spec, outcome.value.failed);
  }

  private async writeInSeveralTransactions(
    spec: PipelineSpec,
    head: PipelineHead,
    parts: readonly SealedRecord[],
  ): Promise<Reply | undefined> {
    const { pipelineCache, jobCache, store } = this.dependencies;
    if (!(await this.writeMissingParts(spec, parts))) return refuse('storeWriteFailed');
    if (!(await jobCache.sync())) return refuse('storeUnanswered');
    // An earlier submission may have written the parts, so the head lists the checksums of the stored parts.
    const checksums = pipelineCache.partChecksums(spec.id);
    if (parts.some((_, number) => !checksums.has(number))) return undefined;
    if (!pipelineCache.matches(spec, parts.length)) return refuse('abandonedPartsRemain');
    // The head is conditioned on the acceptances known by now, so its ids are compared with these, not with those known before the parts
    // were written.
    const clash = this.clashBeforeHead(spec);
    if (clash) return clash === 'changed' ? undefined : clash;
    const pending: PipelineHead = {
      ...head,
      state: 'pending',
      parts: parts.map((_, number) => checksums.get(number)!),
    };
    const outcome = await store.txn(
      [
        absent(PipelineKeys.head(spec.id)),
        absent(PipelineKeys.finished(spec.id)),
        { key: PipelineKeys.acceptance, modRevision: pipelineCache.acceptanceRevision },
      ],
      acceptanceChanges(pending),
      RequestPriority.User,
    );
    if (!outcome.ok) return refuse('storeWriteFailed');
    if (outcome.value.kind !== 'committed') return undefined;
    return this.confirm(spec, pending, outcome.value.revision as unknown as ModRevision);
  }

  /** Returns false if the store failed. A conflict means that another submission wrote the part, and is no failure. */
  private async writeMissingParts(spec: PipelineSpec, parts: readonly SealedRecord[]): Promise<boolean> {
    const { pipelineCache, settings, store } = this.dependencies;
    const { txnOps, valueKb } = settings.store;
    const present = pipelineCache.partChecksums(spec.id);
    const batchSize = Math.max(1, Math.min(txnOps, Math.floor(MAX_TRANSACTION_BYTES / (valueKb * 1024))));
    const missing = parts
      .map((value, number) => ({ value, number }))
      .filter(({ number }) => !present.has(number));
    for (let start = 0; start < missing.length; start += batchSize) {
      const batch = missing.slice(start, start + batchSize);
      const outcome = await store.txn(
        batch.map(({ number }) => absent(PipelineKeys.part(spec.id, number))),
        batch.map(({ value, number }) => putPart(spec, number, value)),
        RequestPriority.User,
      );
      if (!outcome.ok) return false;
    }
    return true;
  }

  /**
   * Accepts a pipeline whose pending head reserves its job ids. From the pending head on, no job with such an id is
   * accepted; an id that a job took before is seen here, and the head is removed.
   */
  private async confirm(
    spec: PipelineSpec,
    pending: PipelineHead,
    modRevision: ModRevision,
  ): Promise<Reply | undefined> {
    const { jobCache, log, store } = this.dependencies;
    if (!(await jobCache.sync())) return refuse('storeUnanswered');
    const key = PipelineKeys.head(spec.id);
    const unchanged: Condition = { key, modRevision };
    const clash = this.knownIdClashes(spec) ?? (await this.finishedIdClashes(spec));
    // It is not known whether an id is taken. The head stays, and a repeated submission continues from it.
    if (clash === 'unknown') {
      log.info('pipeline-ids-unknown', { pipeline: spec.id });
      return refuse('storeUnanswered');
    }
    if (clash) {
      const removed = await store.txn([unchanged], [{ op: 'delete', key }], RequestPriority.User);
      if (!removed.ok) return refuse('storeWriteFailed');
      // The head has changed, so another submission may have accepted the pipeline: the ids may be taken by its own steps.
      if (removed.value.kind === 'conflict') return undefined;
      log.info('pipeline-ids-taken', { pipeline: spec.id });
      return clash;
    }
    const live: PipelineHead = { ...pending, state: 'live' };
    const outcome = await store.txn(
      [unchanged],
      [{ op: 'put', key, value: sealPipelineHead(live) }],
      RequestPriority.User,
    );
    if (!outcome.ok) return refuse('storeWriteFailed');
    return outcome.value.kind === 'committed' ? this.accepted(spec) : undefined;
  }

  private accepted(spec: PipelineSpec): Reply {
    const { jobCache, log } = this.dependencies;
    const steps = spec.steps.length;
    log.info('pipeline-accepted', { pipeline: spec.id, steps });
    void jobCache.sync();
    const answer = { id: spec.id, state: 'held', steps, done: 0, list: [], more: true } as const;
    return { status: 201, body: encodePipelineAnswer(answer) };
  }

  /**
   * Checks for ids in use before a head is written. `changed`: another submission of this pipeline has written one since the records
   * were read, and jobs with these ids may be its steps.
   */
  private clashBeforeHead(spec: PipelineSpec): Reply | 'changed' | undefined {
    return this.dependencies.pipelineCache.headOf(spec.id) ? 'changed' : this.knownIdClashes(spec);
  }

  /** Checks for ids of jobs, or of steps of other pipelines, in this node's caches. */
  private knownIdClashes(spec: PipelineSpec): Reply | undefined {
    const { pipelineCache, jobCache } = this.dependencies;
    return idClashes(spec, (id) => {
      const owner = pipelineCache.stepOf(id)?.pipeline.id;
      return jobCache.get(id) !== undefined || (owner !== undefined && owner !== spec.id);
    });
  }

  /**
   * Checks for ids of finished jobs; one transaction without changes compares many of them. `unknown`: the store gave no answer,
   * refused the request, or named none of the ids, which says nothing about them.
   */
  private async finishedIdClashes(spec: PipelineSpec): Promise<Reply | undefined | 'unknown'> {
    const { settings, store } = this.dependencies;
    const batchSize = CONDITIONS_PER_CHANGE * settings.store.txnOps;
    for (let start = 0; start < spec.steps.length; start += batchSize) {
      const batch = spec.steps.slice(start, start + batchSize);
      const outcome = await store.txn(
        batch.map(({ job }) => absent(Keys.finishedJob(job.id))),
        [],
        RequestPriority.User,
      );
      if (!outcome.ok) return 'unknown';
      if (outcome.value.kind === 'committed') continue;
      return idClashesIn(spec, outcome.value.failed) ?? 'unknown';
    }
    return undefined;
  }
}

const absent = (key: StoreKey): Condition => ({ key, modRevision: NO_REVISION });

const putPart = (spec: PipelineSpec, number: number, value: SealedRecord): Change => ({
  op: 'put',
  key: PipelineKeys.part(spec.id, number),
  value,
});

/** Changes that write the head, and the record that every acceptance rewrites and that acceptances of jobs use as a condition. */
const acceptanceChanges = (head: PipelineHead): Change[] => [
  { op: 'put', key: PipelineKeys.head(head.id), value: sealPipelineHead(head) },
  { op: 'put', key: PipelineKeys.acceptance, value: seal({ pipeline: head.id }) },
];

const newHead = (
  spec: PipelineSpec,
  sum: string,
  parts: readonly SealedRecord[],
  clock: Clock,
): PipelineHead => ({
  id: spec.id,
  sum,
  parts: parts.map((part) => part.sum),
  steps: spec.steps.length,
  state: 'pending',
  acceptedAt: clock.wall(),
  startMs: spec.startMs,
  missed: spec.missed,
  lateS: spec.lateS,
  onCancel: spec.onCancel,
  cancelledAt: null,
  generation: 0,
  term: 0n as Term,
  progress: NO_PROGRESS,
});

/** A conflict on the pipeline's own keys means that another submission was first; one on job ids, that they are in use. */
function conflictReply(spec: PipelineSpec, failed: readonly StoreKey[]): Reply | undefined {
  const ownKeys: readonly StoreKey[] = [
    PipelineKeys.head(spec.id),
    PipelineKeys.finished(spec.id),
    PipelineKeys.acceptance,
  ];
  if (failed.some((key) => ownKeys.includes(key))) return undefined;
  return idClashesIn(spec, failed);
}

function idClashesIn(spec: PipelineSpec, failed: readonly StoreKey[]): Reply | undefined {
  const keys = new Set(failed);
  return idClashes(spec, (id) => keys.has(Keys.job(id)) || keys.has(Keys.finishedJob(id)));
}

function idClashes(spec: PipelineSpec, isTaken: (id: JobId) => boolean): Reply | undefined {
  const faults = spec.steps
    .filter(({ job }) => isTaken(job.id))
    .map(({ name, job }): StepFault => ({
      step: name,
      message: `the id ${job.id} is taken by another job`,
    }));
  return faults.length > 0 ? refuseSteps('jobIdsTaken', faults) : undefined;
}
