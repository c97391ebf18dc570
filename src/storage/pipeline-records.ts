/**
 * Records of pipelines. Those of live pipelines are stored under the prefix of jobs, so that every node's watch on jobs delivers
 * them too, in one order with jobs: no node ever sees a step as neither held nor released, and a node that serves no pipelines
 * has no extra cost. Stored names are fixed; they are mapped only here.
 */
import * as z from 'zod';
import { jsonByteLength, u64 } from '../protocol/codec.js';
import type { JobId, PipelineId, StoreKey, Term } from '../protocol/ids.js';
import {
  ShapeTable,
  shapeSchema,
  pipelineToWire,
  stepToWire,
  type PipelineSpec,
  type StepSpec,
} from '../protocol/pipelines.js';
import { F, P } from '../protocol/wire.js';
import type { WallMs } from '../transport/clock.js';
import { err, ok, type Result } from '../transport/result.js';
import { checksum, parseIndexRanges, formatIndexRanges, seal, type SealedRecord } from './records.js';

const LIVE_PREFIX = 'job/pipe.';
const key = (text: string): StoreKey => text as StoreKey;

/** Keys of pipelines. */
export const PipelineKeys = {
  /** Rewritten whenever a pipeline is accepted; the acceptance of jobs conditions on it, so that no id is used twice. */
  acceptance: key('job/pipes'),
  head: (id: PipelineId): StoreKey => key(LIVE_PREFIX + id),
  part: (id: PipelineId, n: number): StoreKey => key(`${LIVE_PREFIX}${id}/${n.toString().padStart(3, '0')}`),
  /** Key of the record that is kept of a pipeline after its completion. */
  finished: (id: PipelineId): StoreKey => key(`pipe/${id}`),
} as const;

/** What a key under the jobs' prefix that is not a job's key names. */
export type PipelineKey =
  | { readonly kind: 'epoch' }
  | { readonly kind: 'head'; readonly id: PipelineId }
  | { readonly kind: 'part'; readonly id: PipelineId; readonly n: number };

/** Parses a key; undefined where it is not a key of pipelines. */
export function parsePipelineKey(text: string): PipelineKey | undefined {
  if (text === PipelineKeys.acceptance) return { kind: 'epoch' };
  if (!text.startsWith(LIVE_PREFIX)) return undefined;
  const [id, n, ...rest] = text.slice(LIVE_PREFIX.length).split('/') as [PipelineId, ...string[]];
  if (rest.length > 0 || id.length === 0) return undefined;
  return n === undefined ? { kind: 'head', id } : { kind: 'part', id, n: Number(n) };
}

/** Some of the steps of a pipeline. Never changed once written. */
export interface PipelinePart {
  readonly pipeline: PipelineId;
  readonly n: number;
  readonly writtenAt: WallMs;
  readonly steps: readonly StepSpec[];
}

/** Stored form of a part: steps name the shapes of their jobs by number. */
export const pipelinePartSchema = z
  .object({
    pipeline: z.string(),
    n: z.number().int().nonnegative(),
    writtenAt: z.number(),
    shapes: z.array(shapeSchema),
    steps: z.array(
      z.object({
        [P.name]: z.string(),
        [F.id]: z.string(),
        [P.shape]: z.number().int().nonnegative(),
        [P.needs]: z.array(z.number()).optional(),
        [P.when]: z.enum(['succeeded', 'always']).optional(),
        [P.retries]: z.number().optional(),
        [P.backoffS]: z.number().optional(),
        [P.dueMs]: z.number().optional(),
      }),
    ),
  })
  .transform((stored): PipelinePart => ({
    pipeline: stored.pipeline as PipelineId,
    n: stored.n,
    writtenAt: stored.writtenAt as WallMs,
    steps: stored.steps.map((step): StepSpec => ({
      name: step[P.name],
      job: { id: step[F.id] as JobId, ...stored.shapes[step[P.shape]]! },
      needs: step[P.needs] ?? [],
      when: step[P.when] ?? 'succeeded',
      retries: step[P.retries] ?? null,
      backoffS: step[P.backoffS] ?? 10,
      dueMs: (step[P.dueMs] ?? null) as WallMs | null,
    })),
  }));

/** Returns the checksum of the whole submission: it distinguishes a repeat from another pipeline of the same name. */
export const pipelineChecksum = (p: PipelineSpec): string => checksum(pipelineToWire(p));

/** Bytes of a part's value reserved for other fields than its steps and shapes. */
const PART_MARGIN_BYTES = 256;

/** A part while steps are added to it. */
class PartBuilder {
  private readonly table = new ShapeTable();
  private readonly steps: Record<string, unknown>[] = [];
  private bytes = 0;

  constructor(private readonly maxBytes: number) {}

  get empty(): boolean {
    return this.steps.length === 0;
  }

  /** Adds a step, and its shape if no earlier step has it; returns false, and leaves the part as it was, if they don't fit. */
  add(step: StepSpec): boolean {
    const { shapes } = this.table;
    const shapesBefore = shapes.length;
    const wire = stepToWire(step, this.table.indexOf(step.job));
    const shapeIsNew = shapes.length > shapesBefore;
    const shapeBytes = shapeIsNew ? jsonByteLength(shapes.at(-1)) + 1 : 0;
    const bytes = jsonByteLength(wire) + 1 + shapeBytes;
    if (this.bytes + bytes > this.maxBytes) {
      if (shapeIsNew) shapes.pop();
      return false;
    }
    this.steps.push(wire);
    this.bytes += bytes;
    return true;
  }

  seal(pipeline: PipelineId, n: number, writtenAt: WallMs): SealedRecord {
    return seal({ pipeline, n, writtenAt, shapes: this.table.shapes, steps: this.steps });
  }
}

/** Packs the steps in order into values, each with its own table of shapes. The error names a step too large for one value. */
export function packPipelineParts(
  pipeline: PipelineSpec,
  valueKb: number,
  writtenAt: WallMs,
): Result<SealedRecord[], string> {
  const maxBytes = valueKb * 1024 - PART_MARGIN_BYTES;
  const parts: SealedRecord[] = [];
  let part = new PartBuilder(maxBytes);
  const finishPart = (): void => {
    if (!part.empty) parts.push(part.seal(pipeline.id, parts.length, writtenAt));
    part = new PartBuilder(maxBytes);
  };
  for (const step of pipeline.steps) {
    if (part.add(step)) continue;
    finishPart();
    if (!part.add(step)) return err(`step '${step.name}' is too large to be stored`);
  }
  finishPart();
  return ok(parts);
}

/** Progress of the steps, as sets of their indices. A step that is in none of the sets is held. */
export interface PipelineProgress {
  /** Steps whose job's record was written, in the transaction that wrote this. */
  readonly released: ReadonlySet<number>;
  readonly done: ReadonlySet<number>;
  readonly cancelled: ReadonlySet<number>;
  /** Steps given up after their retries: the job is not placed again, and may be cancelled or retried. */
  readonly failed: ReadonlySet<number>;
  /** Failures that count against a step's retries, by its index. */
  readonly failures: ReadonlyMap<number, number>;
}

/** The record of a live pipeline that is rewritten as the pipeline progresses. */
export interface PipelineHead {
  readonly id: PipelineId;
  readonly sum: string;
  /** Checksums of its parts, in order. */
  readonly parts: readonly string[];
  readonly steps: number;
  /** `pending`: its ids are reserved, but it is not accepted yet. */
  readonly state: 'pending' | 'live';
  readonly acceptedAt: WallMs;
  readonly startMs: WallMs | null;
  readonly missed: 'run' | 'skip';
  readonly lateS: number;
  readonly onCancel: 'hold' | 'withdraw';
  /** When its user cancelled the whole pipeline. */
  readonly cancelledAt: WallMs | null;
  readonly generation: number;
  /** Term under which it was last written; 0 where a node wrote it for a user. */
  readonly term: Term;
  readonly progress: PipelineProgress;
}

/** Progress of a pipeline whose steps are all held. */
export const NO_PROGRESS: PipelineProgress = {
  released: new Set(),
  done: new Set(),
  cancelled: new Set(),
  failed: new Set(),
  failures: new Map(),
};

/** Seals a head, with its sets as index ranges. */
export const sealPipelineHead = (head: PipelineHead): SealedRecord =>
  seal({
    ...head,
    progress: {
      released: formatIndexRanges([...head.progress.released]),
      done: formatIndexRanges([...head.progress.done]),
      cancelled: formatIndexRanges([...head.progress.cancelled]),
      failed: formatIndexRanges([...head.progress.failed]),
      failures: [...head.progress.failures].sort(([a], [b]) => a - b),
    },
  });

const indexSet = z.string().transform((t) => new Set<number>(parseIndexRanges(t)));
/** Stored form of a head. */
export const pipelineHeadSchema = z
  .object({
    id: z.string(),
    sum: z.string(),
    parts: z.array(z.string()),
    steps: z.number(),
    state: z.enum(['pending', 'live']),
    acceptedAt: z.number(),
    startMs: z.number().nullable(),
    missed: z.enum(['run', 'skip']),
    lateS: z.number(),
    onCancel: z.enum(['hold', 'withdraw']),
    cancelledAt: z.number().nullable(),
    generation: z.number(),
    term: u64,
    progress: z.object({
      released: indexSet,
      done: indexSet,
      cancelled: indexSet,
      failed: indexSet,
      failures: z.array(z.tuple([z.number(), z.number()])).transform((a) => new Map(a)),
    }),
  })
  .transform((w) => w as unknown as PipelineHead);

/** The record that is kept of a pipeline after its completion. */
export interface FinishedPipelineRecord {
  readonly id: PipelineId;
  readonly sum: string;
  readonly state: 'done' | 'cancelled' | 'ended';
  readonly steps: number;
  readonly done: number;
}
/** Stored form of a finished pipeline. */
export const finishedPipelineSchema = z
  .object({
    id: z.string(),
    sum: z.string(),
    state: z.enum(['done', 'cancelled', 'ended']),
    steps: z.number(),
    done: z.number(),
  })
  .transform((w) => w as unknown as FinishedPipelineRecord);
