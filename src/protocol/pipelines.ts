import * as z from 'zod';
import type { WallMs } from '../transport/clock.js';
import { nonNegativeNumber, encode } from './codec.js';
import { PIPELINE_ID, type JobId, type PipelineId } from './ids.js';
import { jobIdSchema, jobShapeSchema, jobShapeToWire, type JobShape, type JobSpec } from './jobs.js';
import { F, P } from './wire.js';

/** When a step may start: once all steps that it needs have succeeded, or once all have ended, whatever the result. */
export type StepCondition = 'succeeded' | 'always';

/** A pipeline step: a job that is held until the steps that it needs have ended. */
export interface StepSpec {
  readonly name: string;
  readonly job: JobSpec;
  /** Indices of the steps that it needs, ascending. */
  readonly needs: readonly number[];
  readonly when: StepCondition;
  /** Number of retries after failures before the step is given up; null: it is retried without limit, like any job. */
  readonly retries: number | null;
  /** Seconds before the first retry; doubled with each further one. */
  readonly backoffS: number;
  /** Time of day by which the step should be complete, instead of a deadline counted from its release. */
  readonly dueMs: WallMs | null;
}

/**
 * The normal form to which both a pipeline file and a typed request are translated; the service knows no other form.
 * Steps are in the order in which they were written. The client assigns the ids, since agents get a job's description from it.
 */
export interface PipelineSpec {
  readonly id: PipelineId;
  readonly steps: readonly StepSpec[];
  /** No step starts before this time; null: at once. */
  readonly startMs: WallMs | null;
  /** What happens if the service was unavailable and missed the start by more than `lateS`: run the pipeline late, or withdraw it. */
  readonly missed: 'run' | 'skip';
  readonly lateS: number;
  /** What happens to steps that need a step whose job was cancelled: they stay held, or are withdrawn too. */
  readonly onCancel: 'hold' | 'withdraw';
}

export const MAX_NEEDS = 1000;
export const MAX_STEPS = 5000;

const wireStep = z.object({
  [P.name]: z.string().min(1).max(100),
  [F.id]: jobIdSchema,
  [P.shape]: z.number().int().nonnegative(),
  [P.needs]: z.array(z.number().int().nonnegative()).max(MAX_NEEDS).optional(),
  [P.when]: z.enum(['succeeded', 'always']).optional(),
  [P.retries]: z.number().int().min(0).max(1000).nullish(),
  [P.backoffS]: nonNegativeNumber.max(86_400).optional(),
  [P.dueMs]: z.number().nonnegative().nullish(),
});

const wirePipeline = z.object({
  [F.id]: z.string().regex(PIPELINE_ID, 'must be lower case letters, digits and hyphens, a letter first'),
  [P.shapes]: z.array(jobShapeSchema).min(1),
  [P.steps]: z.array(wireStep).min(1).max(MAX_STEPS),
  [P.startMs]: z.number().nonnegative().nullish(),
  [P.missed]: z.enum(['run', 'skip']).optional(),
  [P.lateS]: nonNegativeNumber.optional(),
  [P.onCancel]: z.enum(['hold', 'withdraw']).optional(),
});

export const DEFAULT_BACKOFF_S = 10;
export const DEFAULT_LATE_S = 3600;

export const pipelineSubmissionSchema = wirePipeline
  .refine(
    (wire) => wire[P.steps].every((step) => step[P.shape] < wire[P.shapes].length),
    'a step names a shape that is not there',
  )
  .transform((wire): PipelineSpec => {
    const shapes = wire[P.shapes];
    return {
      id: wire[F.id] as PipelineId,
      steps: wire[P.steps].map((step) => ({
        name: step[P.name],
        job: { id: step[F.id] as JobId, ...shapes[step[P.shape]]! },
        needs: [...new Set(step[P.needs] ?? [])].sort((a, b) => a - b),
        when: step[P.when] ?? 'succeeded',
        retries: step[P.retries] ?? null,
        backoffS: step[P.backoffS] ?? DEFAULT_BACKOFF_S,
        dueMs: (step[P.dueMs] ?? null) as WallMs | null,
      })),
      startMs: (wire[P.startMs] ?? null) as WallMs | null,
      missed: wire[P.missed] ?? 'run',
      lateS: wire[P.lateS] ?? DEFAULT_LATE_S,
      onCancel: wire[P.onCancel] ?? 'hold',
    };
  });

/** The distinct job shapes of a pipeline. Its jobs mostly differ in little or nothing, so each shape is written once. */
export class ShapeTable {
  readonly shapes: Record<string, unknown>[] = [];
  private readonly indexByShape = new Map<string, number>();

  indexOf(job: JobSpec): number {
    const wire = jobShapeToWire(job);
    const key = JSON.stringify(wire);
    let index = this.indexByShape.get(key);
    if (index === undefined) {
      index = this.shapes.push(wire) - 1;
      this.indexByShape.set(key, index);
    }
    return index;
  }
}

/** Wire form of one step, with its job's shape as an index; default values are omitted. */
export const stepToWire = (step: StepSpec, shape: number): Record<string, unknown> => ({
  [P.name]: step.name,
  [F.id]: step.job.id,
  [P.shape]: shape,
  ...(step.needs.length > 0 ? { [P.needs]: step.needs } : {}),
  ...(step.when === 'always' ? { [P.when]: step.when } : {}),
  ...(step.retries !== null ? { [P.retries]: step.retries } : {}),
  ...(step.backoffS !== DEFAULT_BACKOFF_S ? { [P.backoffS]: step.backoffS } : {}),
  ...(step.dueMs !== null ? { [P.dueMs]: step.dueMs } : {}),
});

/** The same pipeline gives the same bytes, whether it was written as a file or as a request. */
export function pipelineToWire(pipeline: PipelineSpec): Record<string, unknown> {
  const table = new ShapeTable();
  const steps = pipeline.steps.map((step) => stepToWire(step, table.indexOf(step.job)));
  return {
    [F.id]: pipeline.id,
    [P.shapes]: table.shapes,
    [P.steps]: steps,
    [P.startMs]: pipeline.startMs,
    [P.missed]: pipeline.missed,
    [P.lateS]: pipeline.lateS,
    [P.onCancel]: pipeline.onCancel,
  };
}

export const encodePipeline = (pipeline: PipelineSpec): Uint8Array => encode(pipelineToWire(pipeline));

export const shapeSchema = jobShapeSchema;
export type { JobShape };

/** `ended`: complete, but with steps that were cancelled. */
export type PipelineState = 'held' | 'running' | 'done' | 'cancelled' | 'ended';
export type StepState = 'held' | 'queued' | 'running' | 'failed' | 'done' | 'cancelled';

export interface StepAnswer {
  readonly name: string;
  readonly job: JobId;
  readonly state: StepState;
  /** Names of the steps that it still waits for; only a few of them if there are many. */
  readonly waitsFor: readonly string[];
  readonly why: string | null;
}

export interface PipelineAnswer {
  readonly id: PipelineId;
  readonly state: PipelineState;
  readonly steps: number;
  readonly done: number;
  readonly list: readonly StepAnswer[];
  /** Whether steps were omitted because of the answer's size. */
  readonly more: boolean;
}

export const encodePipelineAnswer = (answer: PipelineAnswer): Uint8Array =>
  encode({
    [F.id]: answer.id,
    [F.state]: answer.state,
    [F.count]: answer.steps,
    [F.done]: answer.done,
    [P.steps]: answer.list.map((step) => ({
      [P.name]: step.name,
      [F.id]: step.job,
      [F.state]: step.state,
      ...(step.waitsFor.length > 0 ? { [P.waitsFor]: step.waitsFor } : {}),
      ...(step.why !== null ? { [P.why]: step.why } : {}),
    })),
    [P.more]: answer.more,
  });

export const pipelineAnswerSchema = z
  .object({
    [F.id]: z.string(),
    [F.state]: z.enum(['held', 'running', 'done', 'cancelled', 'ended']),
    [F.count]: z.number(),
    [F.done]: z.number(),
    [P.steps]: z.array(
      z.object({
        [P.name]: z.string(),
        [F.id]: z.string(),
        [F.state]: z.enum(['held', 'queued', 'running', 'failed', 'done', 'cancelled']),
        [P.waitsFor]: z.array(z.string()).optional(),
        [P.why]: z.string().optional(),
      }),
    ),
    [P.more]: z.boolean(),
  })
  .transform((wire): PipelineAnswer => ({
    id: wire[F.id] as PipelineId,
    state: wire[F.state],
    steps: wire[F.count],
    done: wire[F.done],
    list: wire[P.steps].map((step) => ({
      name: step[P.name],
      job: step[F.id] as JobId,
      state: step[F.state],
      waitsFor: step[P.waitsFor] ?? [],
      why: step[P.why] ?? null,
    })),
    more: wire[P.more],
  }));

/** An error in one step of a submitted pipeline, with the step's name. */
export interface StepFault {
  readonly step: string;
  readonly message: string;
}

export const encodeFaults = (message: string, faults: readonly StepFault[]): Uint8Array =>
  encode({ [F.error]: message, [P.faults]: faults.map((f) => ({ [P.name]: f.step, [P.why]: f.message })) });

export const faultsAnswerSchema = z
  .object({
    [F.error]: z.string(),
    [P.faults]: z.array(z.object({ [P.name]: z.string(), [P.why]: z.string() })).optional(),
  })
  .transform((wire) => ({
    error: wire[F.error],
    faults: (wire[P.faults] ?? []).map((fault): StepFault => ({
      step: fault[P.name],
      message: fault[P.why],
    })),
  }));
