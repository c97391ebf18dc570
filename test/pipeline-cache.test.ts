import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { JobId, ModRevision, PipelineId, StoreKey, Term } from '../src/protocol/ids.js';
import { PipelineCache } from '../src/storage/pipeline-cache.js';
import {
  NO_PROGRESS,
  packPipelineParts,
  PipelineKeys,
  sealPipelineHead,
  type PipelineHead,
} from '../src/storage/pipeline-records.js';
import type { SealedRecord } from '../src/storage/records.js';
import type { WallMs } from '../src/transport/clock.js';
import { silentLog } from '../src/transport/log.js';
import { buildJobSpec } from './simulator/cluster-state-builders.js';

/**
 * Guards against a cache that keeps a part of what it dropped: accepted steps were unknown, since the index of the steps was not filled again when
 * a head was removed and written again (review, case 4).
 */
const ID = 'nightly' as PipelineId;
const HEAD = PipelineKeys.head(ID);
const STEPS = 30;
/** Small values, so that the steps take several parts. */
const VALUE_KB = 1;

const jobId = (index: number): JobId => `req-${String(100 + index)}` as JobId;

const steps = Array.from({ length: STEPS }, (_, index) => ({
  name: `step-${index}`,
  job: buildJobSpec(jobId(index)),
  needs: index === 0 ? [] : [index - 1],
  when: 'succeeded' as const,
  retries: null,
  backoffS: 1,
  dueMs: null,
}));

/** The parts as one submission writes them: a later one of the same pipeline writes other values. */
function partsOf(writtenAt: number): readonly SealedRecord[] {
  const spec = {
    id: ID,
    steps,
    startMs: null,
    missed: 'run' as const,
    lateS: 1,
    onCancel: 'hold' as const,
  };
  const parts = packPipelineParts(spec, VALUE_KB, writtenAt as WallMs);
  assert.ok(parts.ok && parts.value.length > 2);
  return parts.value;
}

const headOf = (parts: readonly SealedRecord[], generation = 0): PipelineHead => ({
  id: ID,
  sum: 'sum',
  parts: parts.map((part) => part.sum),
  steps: STEPS,
  state: 'live',
  acceptedAt: 0 as WallMs,
  startMs: null,
  missed: 'run',
  lateS: 1,
  onCancel: 'hold',
  cancelledAt: null,
  generation,
  term: 1n as Term,
  progress: NO_PROGRESS,
});

/** A cache, and the store's keys as its news change them. */
class CacheHarness {
  readonly cache = new PipelineCache(silentLog);
  revision = 0n;

  put(key: StoreKey, value: unknown): ModRevision {
    const modRevision = ++this.revision as ModRevision;
    this.cache.put(key, value, modRevision);
    return modRevision;
  }

  remove(key: StoreKey): ModRevision {
    const modRevision = ++this.revision as ModRevision;
    this.cache.remove(key, modRevision);
    return modRevision;
  }

  putParts(parts: readonly SealedRecord[]): void {
    parts.forEach((part, number) => this.put(PipelineKeys.part(ID, number), part));
  }

  /** The steps that are found by their jobs. */
  knownSteps(): number {
    return steps.filter(({ job }, index) => this.cache.stepOf(job.id)?.index === index).length;
  }
}

describe('PipelineCache', () => {
  it('finds the steps of a pipeline whose head was removed and written again', () => {
    const harness = new CacheHarness();
    const parts = partsOf(1);
    harness.putParts(parts);
    harness.put(HEAD, sealPipelineHead(headOf(parts)));
    assert.equal(harness.knownSteps(), STEPS);
    harness.remove(HEAD);
    assert.equal(harness.knownSteps(), 0);
    harness.put(HEAD, sealPipelineHead(headOf(parts, 1)));
    assert.equal(harness.knownSteps(), STEPS);
  });

  it('knows no pipeline of which a part was removed, and knows it again with the parts of a later submission', () => {
    const harness = new CacheHarness();
    const [first, second] = [partsOf(1), partsOf(2)];
    harness.putParts(first);
    harness.put(HEAD, sealPipelineHead(headOf(first)));
    harness.remove(HEAD);
    harness.remove(PipelineKeys.part(ID, 1));
    harness.put(HEAD, sealPipelineHead(headOf(first, 1)));
    assert.equal(harness.cache.get(ID), undefined);
    assert.equal(harness.knownSteps(), 0);
    harness.putParts(second);
    harness.put(HEAD, sealPipelineHead(headOf(second)));
    assert.equal(harness.cache.get(ID)?.steps.length, STEPS);
    assert.equal(harness.knownSteps(), STEPS);
  });

  // A node that wrote a change for a user called a step queued that had been called done.
  it('does not enter a head that this node wrote if news of its removal came before the answer', () => {
    const harness = new CacheHarness();
    const parts = partsOf(1);
    harness.putParts(parts);
    const writtenAt = harness.put(HEAD, sealPipelineHead(headOf(parts)));
    harness.remove(HEAD);
    harness.cache.recordWrite(headOf(parts), writtenAt);
    assert.equal(harness.cache.headOf(ID), undefined);
    assert.equal(harness.knownSteps(), 0);
  });

  // A leader that was elected again collected none of them: they stayed in the store.
  it('knows the parts of a pipeline that this node ended until they are removed', () => {
    const harness = new CacheHarness();
    const parts = partsOf(1);
    harness.putParts(parts);
    harness.put(HEAD, sealPipelineHead(headOf(parts)));
    harness.cache.recordRemoval(ID, ++harness.revision as ModRevision);
    assert.equal(harness.knownSteps(), 0);
    const left = [...harness.cache.partsWithoutHead()].map(({ id, parts: { length } }) => ({ id, length }));
    assert.deepEqual(left, [{ id: ID, length: parts.length }]);
    parts.forEach((_, number) => harness.remove(PipelineKeys.part(ID, number)));
    assert.deepEqual([...harness.cache.partsWithoutHead()], []);
  });

  it('removes a head that this node wrote when the keys are read again without it', () => {
    const harness = new CacheHarness();
    const parts = partsOf(1);
    harness.putParts(parts);
    const writtenAt = ++harness.revision as ModRevision;
    harness.cache.recordWrite(headOf(parts), writtenAt);
    assert.equal(harness.knownSteps(), STEPS);
    const keys = parts.map((_, number): string => PipelineKeys.part(ID, number));
    harness.cache.reloaded(new Set(keys), ++harness.revision as ModRevision);
    assert.equal(harness.knownSteps(), 0);
  });
});

/** A key as the store holds it, or as one of its changes; `value` is undefined where the key was removed. */
interface StoredChange {
  readonly key: StoreKey;
  readonly value: unknown;
  readonly modRevision: ModRevision;
}

/** A store with the records of one pipeline, and a node that hears of it in any order in which answers may arrive. */
class OutOfOrderNode {
  readonly cache = new PipelineCache(silentLog);
  private readonly keys = new Map<StoreKey, StoredChange>();
  private readonly changes: StoredChange[] = [];
  /** The node's own writes whose answers have not arrived. */
  private readonly unanswered: (() => void)[] = [];
  private submissions = 0;
  private generation = 0;

  private commit(key: StoreKey, value: unknown): ModRevision {
    const modRevision = BigInt(this.changes.length + 1) as ModRevision;
    this.changes.push({ key, value, modRevision });
    if (value === undefined) this.keys.delete(key);
    else this.keys.set(key, { key, value, modRevision });
    return modRevision;
  }

  private storedParts(): SealedRecord[] {
    const stored = Array.from({ length: partsOf(0).length }, (_, n) =>
      this.keys.get(PipelineKeys.part(ID, n)),
    );
    return stored.flatMap((part) => (part ? [part.value as SealedRecord] : []));
  }

  /** A submission writes the parts that are missing. */
  writeParts(): void {
    for (const [number, part] of partsOf(++this.submissions).entries()) {
      const key = PipelineKeys.part(ID, number);
      if (!this.keys.has(key)) this.commit(key, part);
    }
  }

  /** Somebody writes a first or a further head; `own`: this node does. */
  writeHead(own: boolean): void {
    const parts = this.storedParts();
    if (parts.length !== partsOf(0).length) return;
    const head = headOf(parts, ++this.generation);
    const modRevision = this.commit(HEAD, sealPipelineHead(head));
    if (own) this.unanswered.push(() => this.cache.recordWrite(head, modRevision));
  }

  removeHead(own: boolean): void {
    if (!this.keys.has(HEAD)) return;
    const modRevision = this.commit(HEAD, undefined);
    if (own) this.unanswered.push(() => this.cache.recordRemoval(ID, modRevision));
  }

  removePart(number: number): void {
    const key = PipelineKeys.part(ID, number % partsOf(0).length);
    if (!this.keys.has(HEAD) && this.keys.has(key)) this.commit(key, undefined);
  }

  answerOwnWrite(which: number): void {
    this.unanswered.splice(which % Math.max(1, this.unanswered.length), 1)[0]?.();
  }

  /** An answer with the changes after one revision up to another; it may be older than one that came before. */
  deliver(from: number, count: number): void {
    const newest = this.changes.length;
    const start = Math.max(0, Math.min(this.heardUpTo, newest - from));
    this.apply(this.changes.slice(start, start + count));
    this.heardUpTo = Math.max(this.heardUpTo, Math.min(newest, start + count));
  }
  private heardUpTo = 0;

  private apply(changes: readonly StoredChange[]): void {
    for (const { key, value, modRevision } of changes) {
      if (value === undefined) this.cache.remove(key, modRevision);
      else this.cache.put(key, value, modRevision);
    }
  }

  /** All keys are read again. */
  reload(cache = this.cache): void {
    for (const { key, value, modRevision } of this.keys.values()) cache.put(key, value, modRevision);
    cache.reloaded(new Set(this.keys.keys()), BigInt(this.changes.length) as ModRevision);
    if (cache === this.cache) this.heardUpTo = this.changes.length;
  }

  hearEverything(): void {
    this.apply(this.changes.slice(this.heardUpTo));
    while (this.unanswered.length > 0) this.answerOwnWrite(0);
  }
}

/** What a node can tell of the pipeline. */
const knowledgeOf = (cache: PipelineCache): unknown => ({
  generation: cache.headOf(ID)?.value.generation,
  complete: cache.get(ID)?.modRevision,
  steps: steps.filter(({ job }, index) => cache.stepOf(job.id)?.index === index).length,
  parts: [...cache.partChecksums(ID)].sort(),
  withoutHead: [...cache.partsWithoutHead()].map(({ parts }) => parts.length),
});

const anyEvent: fc.Arbitrary<(node: OutOfOrderNode) => void> = fc.oneof(
  fc.constant((node: OutOfOrderNode) => node.writeParts()),
  fc.boolean().map((own) => (node: OutOfOrderNode) => node.writeHead(own)),
  fc.boolean().map((own) => (node: OutOfOrderNode) => node.removeHead(own)),
  fc.nat(9).map((number) => (node: OutOfOrderNode) => node.removePart(number)),
  fc.nat(9).map((which) => (node: OutOfOrderNode) => node.answerOwnWrite(which)),
  fc.tuple(fc.nat(20), fc.nat(20)).map(
    ([from, count]) =>
      (node: OutOfOrderNode) =>
        node.deliver(from, count),
  ),
  fc.constant((node: OutOfOrderNode) => node.reload()),
);

describe('a PipelineCache that hears of changes late, twice and in any order', () => {
  it('knows in the end what one that reads the store afresh knows', () => {
    fc.assert(
      fc.property(fc.array(anyEvent, { maxLength: 40 }), (events) => {
        const node = new OutOfOrderNode();
        for (const event of events) event(node);
        node.hearEverything();
        const fresh = new PipelineCache(silentLog);
        node.reload(fresh);
        assert.deepEqual(knowledgeOf(node.cache), knowledgeOf(fresh));
      }),
      { numRuns: 1000, seed: 58 },
    );
  });
});
