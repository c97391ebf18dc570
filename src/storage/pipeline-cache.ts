/**
 * This node's cache of the records of live pipelines: each has a head that changes, and parts that never do. A pipeline is known
 * once its head and all parts that the head names are cached. The cache never writes to the store.
 */
import { NO_REVISION, type JobId, type ModRevision, type PipelineId } from '../protocol/ids.js';
import type { StepSpec } from '../protocol/pipelines.js';
import type { Log } from '../transport/log.js';
import {
  pipelineHeadSchema,
  pipelinePartSchema,
  parsePipelineKey,
  PipelineKeys,
  type PipelineHead,
  type PipelinePart,
} from './pipeline-records.js';
import { checksum, unseal, type SealedRecord } from './records.js';

/** Receives from the job cache the keys under the jobs' prefix that are not job records. */
export interface AuxiliaryCache {
  put(key: string, value: unknown, modRevision: ModRevision): void;
  remove(key: string, modRevision: ModRevision): void;
  /** All keys were read again: a key that is not among these had been removed by this revision. */
  reloaded(keys: ReadonlySet<string>, modRevision: ModRevision): void;
}

/** A pipeline whose parts are all cached and are those that its head names. */
export interface Pipeline {
  readonly id: PipelineId;
  readonly head: PipelineHead;
  readonly modRevision: ModRevision;
  readonly steps: readonly StepSpec[];
  /** For each step, by its index, the indices of the steps that need it. */
  readonly dependents: readonly (readonly number[])[];
}

/** A step of a live pipeline. */
export interface StepLocation {
  readonly pipeline: Pipeline;
  readonly index: number;
}

/** A head as it was last read or written. */
export interface CachedHead {
  readonly value: PipelineHead;
  readonly modRevision: ModRevision;
}

/** A part, with the revision at which it was written. */
export type CachedPart = PipelinePart & { readonly modRevision: ModRevision };

/** The cached records of one pipeline, possibly incomplete. */
interface Draft {
  head: CachedHead | undefined;
  readonly parts: Map<
    number,
    { readonly part: PipelinePart; readonly sum: string; readonly modRevision: ModRevision }
  >;
}

/** Removed keys whose revisions are remembered. */
const MAX_TOMBSTONES = 4096;

/**
 * All live pipelines, as new as this node's job cache: the same watch fills both. A record that a leader wrote itself is
 * entered at once, with the revision of its commit.
 */
export class PipelineCache implements AuxiliaryCache {
  private readonly drafts = new Map<PipelineId, Draft>();
  /** Mod revisions of the cached keys. */
  private readonly revisions = new Map<string, ModRevision>();
  /** Revisions at which keys were removed: two answers may arrive in the wrong order. */
  private readonly removed = new Map<string, ModRevision>();
  private readonly complete = new Map<PipelineId, Pipeline>();
  private readonly stepsByJob = new Map<JobId, { readonly id: PipelineId; readonly index: number }>();
  /** Revision as of which all keys were last read. */
  private reloadedRevision: ModRevision = NO_REVISION;
  /** Mod revision of the key that every acceptance rewrites. */
  acceptanceRevision: ModRevision = NO_REVISION;
  /** Pipelines that changed and have not been processed since; the code that processes one removes it. */
  readonly pending = new Set<PipelineId>();
  /** Is called with each pipeline that changed. */
  onChange: (id: PipelineId) => void = () => undefined;

  constructor(private readonly log: Log) {}

  /** Returns a live pipeline; undefined where it is not completely cached. */
  get(id: PipelineId): Pipeline | undefined {
    return this.complete.get(id);
  }

  /** All live pipelines. */
  all(): IterableIterator<Pipeline> {
    return this.complete.values();
  }

  /** Number of live pipelines. */
  get size(): number {
    return this.complete.size;
  }

  /** Returns the step that the job belongs to; undefined for a job of no live pipeline. */
  stepOf(job: JobId): StepLocation | undefined {
    const step = this.stepsByJob.get(job);
    const pipeline = step && this.complete.get(step.id);
    return pipeline ? { pipeline, index: step.index } : undefined;
  }

  /** Yields parts without a head: of an acceptance in progress, or left by an interrupted one. */
  *partsWithoutHead(): IterableIterator<{ readonly id: PipelineId; readonly parts: readonly CachedPart[] }> {
    for (const [id, draft] of this.drafts) {
      if (draft.head || draft.parts.size === 0) continue;
      const parts = [...draft.parts.values()].map(({ part, modRevision }) => ({ ...part, modRevision }));
      yield { id, parts };
    }
  }

  /** Returns the checksums of the cached parts, by number. */
  partChecksums(id: PipelineId): ReadonlyMap<number, string> {
    return new Map([...(this.drafts.get(id)?.parts ?? [])].map(([n, part]) => [n, part.sum]));
  }

  /** Returns whether the first `count` cached parts have the same steps as the submission. */
  matches(spec: { readonly id: PipelineId; readonly steps: readonly StepSpec[] }, count: number): boolean {
    const parts = this.drafts.get(spec.id)?.parts;
    if (!parts) return false;
    const steps = Array.from({ length: count }, (_, n) => parts.get(n)?.part.steps ?? []).flat();
    return checksum(steps) === checksum(spec.steps);
  }

  /** Returns the head, whether or not its parts are cached. */
  headOf(id: PipelineId): CachedHead | undefined {
    return this.drafts.get(id)?.head;
  }

  /** Enters a head that this node itself wrote, unless news of a later change or of its removal came before the answer. */
  recordWrite(head: PipelineHead, modRevision: ModRevision): void {
    if (!this.advanceKey(PipelineKeys.head(head.id), modRevision)) return;
    const draft = this.draftOf(head.id);
    draft.head = { value: head, modRevision };
    this.assemble(head.id, draft);
  }

  /** Removes the head of a pipeline whose completion this node itself wrote; older changes of it may still arrive. */
  recordRemoval(id: PipelineId, modRevision: ModRevision): void {
    this.remove(PipelineKeys.head(id), modRevision);
  }

  /** Notes a write of the key; returns false if a change as new as that is known already. */
  private advanceKey(storeKey: string, modRevision: ModRevision): boolean {
    if (modRevision <= this.knownRevision(storeKey)) return false;
    this.revisions.set(storeKey, modRevision);
    this.removed.delete(storeKey);
    return true;
  }

  private forgetKey(storeKey: string, modRevision: ModRevision): void {
    this.revisions.delete(storeKey);
    this.removed.set(storeKey, modRevision);
    if (this.removed.size > MAX_TOMBSTONES) this.removed.delete(this.removed.keys().next().value!);
  }

  put(storeKey: string, value: unknown, modRevision: ModRevision): void {
    const key = parsePipelineKey(storeKey);
    if (!key || !this.advanceKey(storeKey, modRevision)) return;
    if (key.kind === 'epoch') {
      if (modRevision > this.acceptanceRevision) this.acceptanceRevision = modRevision;
      return;
    }
    const draft = this.draftOf(key.id);
    if (key.kind === 'head') {
      const head = unseal(pipelineHeadSchema, value);
      if (!head.ok)
        return this.log.error('pipeline-record-unreadable', { pipeline: key.id, why: head.error });
      draft.head = { value: head.value, modRevision };
    } else {
      const part = unseal(pipelinePartSchema, value);
      if (!part.ok)
        return this.log.error('pipeline-record-unreadable', { pipeline: key.id, why: part.error });
      draft.parts.set(key.n, { part: part.value, sum: (value as SealedRecord).sum, modRevision });
    }
    this.assemble(key.id, draft);
  }

  remove(storeKey: string, modRevision: ModRevision): void {
    const key = parsePipelineKey(storeKey);
    if (!key || modRevision <= this.knownRevision(storeKey)) return;
    this.forgetKey(storeKey, modRevision);
    if (key.kind === 'epoch') return;
    const draft = this.drafts.get(key.id);
    if (!draft) return;
    if (key.kind === 'head') draft.head = undefined;
    else draft.parts.delete(key.n);
    this.assemble(key.id, draft);
    if (!draft.head && draft.parts.size === 0) this.drafts.delete(key.id);
    this.onChange(key.id);
  }

  reloaded(keys: ReadonlySet<string>, modRevision: ModRevision): void {
    for (const [storeKey, known] of [...this.revisions])
      if (!keys.has(storeKey) && known <= modRevision) this.remove(storeKey, modRevision);
    if (modRevision > this.reloadedRevision) this.reloadedRevision = modRevision;
  }

  /** The revision up to which the key's changes are known. A key that was absent when all were read again had no later one. */
  private knownRevision(storeKey: string): ModRevision {
    const written = this.revisions.get(storeKey);
    if (written !== undefined) return written;
    const removed = this.removed.get(storeKey) ?? NO_REVISION;
    return removed > this.reloadedRevision ? removed : this.reloadedRevision;
  }

  private draftOf(id: PipelineId): Draft {
    const known = this.drafts.get(id);
    if (known) return known;
    const draft: Draft = { head: undefined, parts: new Map() };
    this.drafts.set(id, draft);
    return draft;
  }

  /** Makes the pipeline known if its head and exactly the parts that the head names are cached, and unknown otherwise. */
  private assemble(id: PipelineId, draft: Draft): void {
    const { head } = draft;
    if (!head || !hasNamedParts(head.value, draft)) return this.drop(id);
    let known = this.complete.get(id);
    if (known && !hasSameParts(known.head, head.value)) {
      this.drop(id);
      known = undefined;
    }
    const { steps, dependents } = known ?? structureOf(head.value, draft);
    if (!known) steps.forEach(({ job }, index) => this.stepsByJob.set(job.id, { id, index }));
    this.complete.set(id, { id, head: head.value, modRevision: head.modRevision, steps, dependents });
    this.pending.add(id);
    this.onChange(id);
  }

  /** Removes everything that was derived from the records of the pipeline. */
  private drop(id: PipelineId): void {
    const pipeline = this.complete.get(id);
    if (!pipeline) return;
    for (const { job } of pipeline.steps) {
      if (this.stepsByJob.get(job.id)?.id === id) this.stepsByJob.delete(job.id);
    }
    this.complete.delete(id);
    this.pending.delete(id);
  }
}

const hasNamedParts = (head: PipelineHead, { parts }: Draft): boolean =>
  head.parts.every((sum, number) => parts.get(number)?.sum === sum);

const hasSameParts = (a: PipelineHead, b: PipelineHead): boolean =>
  a.parts.length === b.parts.length && a.parts.every((sum, number) => b.parts[number] === sum);

/** Returns the steps of the parts that the head names, all of which are cached. */
function structureOf(head: PipelineHead, { parts }: Draft): Pick<Pipeline, 'steps' | 'dependents'> {
  const steps = head.parts.flatMap((_, number) => parts.get(number)!.part.steps);
  return { steps, dependents: dependentsOf(steps) };
}

/** Returns for each step the indices of the steps that need it. */
function dependentsOf(steps: readonly StepSpec[]): readonly (readonly number[])[] {
  const dependents: number[][] = steps.map(() => []);
  steps.forEach((step, i) => {
    for (const needed of step.needs) dependents[needed]?.push(i);
  });
  return dependents;
}
