import type { JobId, PipelineId } from '../../src/protocol/ids.js';
import type { JobCache } from '../../src/storage/job-cache.js';
import type { Pipeline, PipelineCache } from '../../src/storage/pipeline-cache.js';
import {
  parsePipelineKey,
  pipelineHeadSchema,
  PipelineKeys,
  pipelinePartSchema,
} from '../../src/storage/pipeline-records.js';
import { Prefix, unseal, type SealedRecord } from '../../src/storage/records.js';
import type { StoredKeys } from './transaction-checker.js';

/** The caches of one controller's process. */
export interface CheckedCaches {
  readonly jobCache: Pick<JobCache, 'appliedRevision'>;
  readonly pipelineCache: Pick<PipelineCache, 'all' | 'get' | 'stepOf'>;
}

/** What the checker reads of the state service. */
export interface CheckedStore extends StoredKeys {
  lastChangeUnder(prefix: string): number;
}

/**
 * Checks each controller's pipeline cache: what is derived from the records agrees with itself at any time, and with the state service
 * whenever the controller has applied its last change. A cache that keeps a part of what it dropped, or brings back what was removed,
 * violates it before any user is told anything wrong.
 */
export class CacheChecker {
  /** Called with each violation. */
  onViolation: (rule: string, detail: string) => void = () => undefined;
  private readonly caches = new Map<string, CheckedCaches>();
  private readonly reported = new Set<string>();

  constructor(private readonly store: CheckedStore) {}

  /** The caches of a process that starts; those of its earlier incarnation are gone. */
  register(member: string, caches: CheckedCaches): void {
    this.caches.set(member, caches);
  }

  check(): void {
    for (const [member, caches] of this.caches) {
      for (const pipeline of caches.pipelineCache.all()) this.checkSteps(member, caches, pipeline);
      if (caches.jobCache.appliedRevision >= BigInt(this.store.lastChangeUnder(Prefix.job)))
        this.checkAgainstStore(member, caches);
    }
  }

  private checkSteps(member: string, { pipelineCache }: CheckedCaches, { id, steps }: Pipeline): void {
    const unknown = steps.find(({ job }, index) => {
      const location = pipelineCache.stepOf(job.id);
      return location?.pipeline.id !== id || location.index !== index;
    });
    if (unknown) this.report(member, `does not find step ${unknown.job.id} of pipeline ${id}`);
  }

  private checkAgainstStore(member: string, { pipelineCache }: CheckedCaches): void {
    const stored = new Map<PipelineId, readonly JobId[]>();
    for (const key of this.store.keysUnder(Prefix.job)) {
      const parsed = parsePipelineKey(key);
      if (parsed?.kind !== 'head') continue;
      const steps = this.storedSteps(parsed.id);
      if (steps) stored.set(parsed.id, steps);
    }
    for (const [id, steps] of stored) {
      const cached = pipelineCache.get(id)?.steps.map(({ job }) => job.id);
      if (cached?.join() !== steps.join()) this.report(member, `does not know pipeline ${id}`);
    }
    for (const { id } of pipelineCache.all())
      if (!stored.has(id)) this.report(member, `knows pipeline ${id}, which the store does not hold`);
  }

  /** The steps of a pipeline whose head and parts are stored; undefined where a part that the head names is not. */
  private storedSteps(id: PipelineId): readonly JobId[] | undefined {
    const head = unseal(pipelineHeadSchema, this.store.valueOf(PipelineKeys.head(id)));
    if (!head.ok) return undefined;
    const steps: JobId[] = [];
    for (const [number, sum] of head.value.parts.entries()) {
      const value = this.store.valueOf(PipelineKeys.part(id, number)) as SealedRecord | undefined;
      if (value?.sum !== sum) return undefined;
      const part = unseal(pipelinePartSchema, value);
      if (part.ok) steps.push(...part.value.steps.map(({ job }) => job.id));
    }
    return steps;
  }

  private report(member: string, detail: string): void {
    const text = `${member} ${detail}`;
    if (this.reported.has(text)) return;
    this.reported.add(text);
    this.onViolation('cache_differs', text);
  }
}
