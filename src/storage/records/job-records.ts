/** Records of jobs: one while a job is live, and a small one that is kept permanently after its completion. */
import * as z from 'zod';
import { u64 } from '../../protocol/codec.js';
import type { Term } from '../../protocol/ids.js';
import type { JobSpec } from '../../protocol/jobs.js';
import type { WallMs } from '../../transport/clock.js';

/** A live job. Its generation rises with every scheduling cycle, revision and claim that is written to it. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly state: 'queued' | 'running' | 'cancelled';
  readonly generation: number;
  /** Term under which the record was last written; 0 before the first claim. */
  readonly term: Term;
  readonly attempt: number;
  /** Tasks completed when the record was written. */
  readonly done: number;
  readonly acceptedAt: WallMs;
  readonly cancelledAt: WallMs | null;
  /** Of an elastic job: how many tasks it is to run at the same time, as of this generation. */
  readonly width?: number;
}

/** Returns the record with the generation and width that cycles have claimed since it was written: a generation never falls. */
export const withMinimumGeneration = (record: JobRecord, minimum: number, width = record.width): JobRecord =>
  record.generation >= minimum
    ? record
    : { ...record, generation: minimum, ...(width === undefined ? {} : { width }) };

const nullableText = z.string().nullable();
const specSchema = z.object({
  id: z.string(),
  class: z.string(),
  team: z.string(),
  kind: z.enum(['array', 'gang', 'service']),
  priority: z.enum(['production', 'high', 'normal', 'low']),
  tasks: z.number(),
  cpus: z.number(),
  gpus: z.number(),
  memoryGb: z.number(),
  image: z.string(),
  imageGb: z.number(),
  types: z.array(z.string()).nullable(),
  zone: nullableText,
  oneZone: z.boolean(),
  spread: z.boolean(),
  spot: z.boolean(),
  estimateS: z.number(),
  checkpointS: z.number(),
  saveS: z.number(),
  deadlineS: z.number().nullable(),
  elastic: z
    .object({ least: z.number(), most: z.number(), giveBackS: z.number(), rentUpTo: z.number() })
    .optional(),
  headRoom: z.number().optional(),
});

/** Stored form of a live job. */
export const jobRecordSchema = z
  .object({
    spec: specSchema,
    state: z.enum(['queued', 'running', 'cancelled']),
    generation: z.number(),
    term: u64,
    attempt: z.number(),
    done: z.number(),
    acceptedAt: z.number(),
    cancelledAt: z.number().nullable(),
    width: z.number().optional(),
  })
  .transform((w) => w as unknown as JobRecord);

/** The record that is kept permanently of a finished job. */
export interface FinishedJobRecord {
  readonly state: 'done' | 'cancelled';
  /** Tasks completed. */
  readonly done: number;
}
/** Stored form of a finished job. */
export const finishedJobSchema = z.object({ state: z.enum(['done', 'cancelled']), done: z.number() });
