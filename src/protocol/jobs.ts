import * as z from 'zod';
import { amount, encode } from './codec.js';
import { JOB_ID, type ImageName, type JobId, type TeamName, type TypeName, type ZoneName } from './ids.js';
import { F, invert, JobStates, Kinds, Priorities, type JobState, type Kind, type Priority } from './wire.js';

export interface JobSpec {
  readonly id: JobId;
  readonly class: string;
  readonly team: TeamName;
  readonly kind: Kind;
  readonly priority: Priority;
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly image: ImageName;
  readonly imageGb: number;
  readonly types: readonly TypeName[] | null;
  readonly zone: ZoneName | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly estimateS: number;
  readonly checkpointS: number;
  readonly saveS: number;
  readonly deadlineS: number | null;
}

export const MAX_TASKS = 100_000;
const RANKS: Readonly<Record<Priority, number>> = { production: 0, high: 1, normal: 2, low: 3 };
/** 0 is the highest. */
export const priorityRank = (p: Priority): number => RANKS[p];

const named = <K extends string>(table: Readonly<Record<K, string>>) => {
  const back = invert(table);
  const wires = Object.values<string>(table);
  return z.enum(wires as [string, ...string[]]).transform((w) => back.get(w) as K);
};

const text = z.string().min(1).max(200);

/** A job without its id: what many jobs may have in common. */
export type JobShape = Omit<JobSpec, 'id'>;

const shapeFields = {
  [F.class]: text,
  [F.team]: text,
  [F.kind]: named(Kinds),
  [F.priority]: named(Priorities),
  [F.tasks]: z
    .union([z.number().int(), z.bigint()])
    .refine((n) => n >= 1 && n <= MAX_TASKS, `must be 1 to ${MAX_TASKS}`)
    .transform(Number),
  [F.cpus]: amount,
  [F.gpus]: amount,
  [F.memoryGb]: amount,
  [F.image]: text,
  [F.imageGb]: amount,
  [F.types]: z.array(text).max(100).nullish(),
  [F.zone]: text.nullish(),
  [F.oneZone]: z.boolean(),
  [F.spread]: z.boolean(),
  [F.spot]: z.boolean(),
  [F.estimateS]: amount,
  [F.checkpointS]: amount,
  [F.saveS]: amount,
  [F.deadlineS]: amount.nullish(),
};

const wireShape = z.object(shapeFields);
const shapeOf = (w: z.infer<typeof wireShape>): JobShape => ({
  class: w[F.class],
  team: w[F.team] as TeamName,
  kind: w[F.kind],
  priority: w[F.priority],
  tasks: w[F.tasks],
  cpus: w[F.cpus],
  gpus: w[F.gpus],
  memoryGb: w[F.memoryGb],
  image: w[F.image] as ImageName,
  imageGb: w[F.imageGb],
  types: (w[F.types] as TypeName[] | null | undefined) ?? null,
  zone: (w[F.zone] as ZoneName | null | undefined) ?? null,
  oneZone: w[F.oneZone],
  spread: w[F.spread],
  spot: w[F.spot],
  estimateS: w[F.estimateS],
  checkpointS: w[F.checkpointS],
  saveS: w[F.saveS],
  deadlineS: w[F.deadlineS] ?? null,
});

export const jobShape = wireShape.transform(shapeOf);

export const jobId = z.string().regex(JOB_ID, 'must look like req-000412');

export const submission = z
  .object({ [F.id]: jobId, ...shapeFields })
  .transform((w): JobSpec => ({ id: w[F.id] as JobId, ...shapeOf(w) }));

export const wireOfShape = (s: JobShape): Record<string, unknown> => ({
  [F.class]: s.class,
  [F.team]: s.team,
  [F.kind]: Kinds[s.kind],
  [F.priority]: Priorities[s.priority],
  [F.tasks]: s.tasks,
  [F.cpus]: s.cpus,
  [F.gpus]: s.gpus,
  [F.memoryGb]: s.memoryGb,
  [F.image]: s.image,
  [F.imageGb]: s.imageGb,
  [F.types]: s.types,
  [F.zone]: s.zone,
  [F.oneZone]: s.oneZone,
  [F.spread]: s.spread,
  [F.spot]: s.spot,
  [F.estimateS]: s.estimateS,
  [F.checkpointS]: s.checkpointS,
  [F.saveS]: s.saveS,
  [F.deadlineS]: s.deadlineS,
});

/** The submission as a user would send it; the command line and the tests speak through this. */
export const encodeSubmission = (s: JobSpec): Uint8Array => encode({ [F.id]: s.id, ...wireOfShape(s) });

export interface JobAnswer {
  readonly id: JobId;
  readonly state: JobState;
  readonly done?: number;
  readonly running?: number;
}

export const encodeJobAnswer = (a: JobAnswer): Uint8Array =>
  encode({
    [F.id]: a.id,
    [F.state]: JobStates[a.state],
    ...(a.done === undefined ? {} : { [F.done]: a.done }),
    ...(a.running === undefined ? {} : { [F.running]: a.running }),
  });

export const jobAnswer = z
  .object({
    [F.id]: z.string(),
    [F.state]: named(JobStates),
    [F.done]: z.number().optional(),
    [F.running]: z.number().optional(),
  })
  .transform((w): JobAnswer => ({
    id: w[F.id] as JobId,
    state: w[F.state],
    ...(w[F.done] === undefined ? {} : { done: w[F.done] }),
    ...(w[F.running] === undefined ? {} : { running: w[F.running] }),
  }));

export const encodeError = (message: string): Uint8Array => encode({ [F.error]: message });
