import * as z from 'zod';
import { nonNegativeNumber, encode } from './codec.js';
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
  /** Set if the job scales out onto idle capacity and gives it back; absent for a job of fixed width. */
  readonly elastic?: ElasticSpec;
  /**
   * Services: spare capacity, as a share of the service's size, that elastic tasks may use but that is reclaimed before any
   * machine is provisioned.
   */
  readonly headRoom?: number;
}

/** Range of an array's width, which is the number of its tasks that run at the same time. */
export interface ElasticSpec {
  readonly least: number;
  readonly most: number;
  /** Time limit of a reclaim, in seconds; if the task has not ended by then, its machine is given up. */
  readonly giveBackS: number;
  /** Highest price per GPU and hour at which a machine may be kept for tasks beyond the minimum; 0: none is kept. */
  readonly rentUpTo: number;
}

export const DEFAULT_RECLAIM_BOUND_S = 10;

export const MAX_TASKS = 100_000;
const PRIORITY_RANKS: Readonly<Record<Priority, number>> = { production: 0, high: 1, normal: 2, low: 3 };
/** 0 is the highest priority. */
export const priorityRank = (priority: Priority): number => PRIORITY_RANKS[priority];

const enumByWireName = <K extends string>(table: Readonly<Record<K, string>>) => {
  const nameByWireName = invert(table);
  const wireNames = Object.values<string>(table);
  return z.enum(wireNames as [string, ...string[]]).transform((wireName) => nameByWireName.get(wireName)!);
};

const text = z.string().min(1).max(200);

/** A job without its id; many jobs may share one shape. */
export type JobShape = Omit<JobSpec, 'id'>;

const shapeFields = {
  [F.class]: text,
  [F.team]: text,
  [F.kind]: enumByWireName(Kinds),
  [F.priority]: enumByWireName(Priorities),
  [F.tasks]: z
    .union([z.number().int(), z.bigint()])
    .refine((tasks) => tasks >= 1 && tasks <= MAX_TASKS, `must be 1 to ${MAX_TASKS}`)
    .transform(Number),
  [F.cpus]: nonNegativeNumber,
  [F.gpus]: nonNegativeNumber,
  [F.memoryGb]: nonNegativeNumber,
  [F.image]: text,
  [F.imageGb]: nonNegativeNumber,
  [F.types]: z.array(text).max(100).nullish(),
  [F.zone]: text.nullish(),
  [F.oneZone]: z.boolean(),
  [F.spread]: z.boolean(),
  [F.spot]: z.boolean(),
  [F.estimateS]: nonNegativeNumber,
  [F.checkpointS]: nonNegativeNumber,
  [F.saveS]: nonNegativeNumber,
  [F.deadlineS]: nonNegativeNumber.nullish(),
  [F.widthLeast]: z.number().int().min(0).max(MAX_TASKS).nullish(),
  [F.widthMost]: z.number().int().min(1).max(MAX_TASKS).nullish(),
  [F.giveBackS]: nonNegativeNumber.min(1).max(3600).nullish(),
  [F.rentUpTo]: nonNegativeNumber.nullish(),
  [F.headRoom]: z.number().min(0).max(10).nullish(),
};

const wireShapeSchema = z.object(shapeFields);
const jobShapeFromWire = (wire: z.infer<typeof wireShapeSchema>): JobShape => ({
  class: wire[F.class],
  team: wire[F.team] as TeamName,
  kind: wire[F.kind],
  priority: wire[F.priority],
  tasks: wire[F.tasks],
  cpus: wire[F.cpus],
  gpus: wire[F.gpus],
  memoryGb: wire[F.memoryGb],
  image: wire[F.image] as ImageName,
  imageGb: wire[F.imageGb],
  types: (wire[F.types] as TypeName[] | null | undefined) ?? null,
  zone: (wire[F.zone] as ZoneName | null | undefined) ?? null,
  oneZone: wire[F.oneZone],
  spread: wire[F.spread],
  spot: wire[F.spot],
  estimateS: wire[F.estimateS],
  checkpointS: wire[F.checkpointS],
  saveS: wire[F.saveS],
  deadlineS: wire[F.deadlineS] ?? null,
  ...elasticFromWire(wire),
});

export const jobShapeSchema = wireShapeSchema.transform(jobShapeFromWire);

export const jobIdSchema = z.string().regex(JOB_ID, 'must look like req-000412');

export const jobSubmissionSchema = z
  .object({ [F.id]: jobIdSchema, ...shapeFields })
  .transform((wire): JobSpec => ({ id: wire[F.id] as JobId, ...jobShapeFromWire(wire) }));

function elasticFromWire(wire: z.infer<typeof wireShapeSchema>): Pick<JobShape, 'elastic' | 'headRoom'> {
  const maxTasks = wire[F.widthMost];
  const headRoom = wire[F.headRoom];
  return {
    ...(maxTasks === null || maxTasks === undefined
      ? {}
      : {
          elastic: {
            least: Math.min(wire[F.widthLeast] ?? 0, maxTasks),
            most: maxTasks,
            giveBackS: wire[F.giveBackS] ?? DEFAULT_RECLAIM_BOUND_S,
            rentUpTo: wire[F.rentUpTo] ?? 0,
          },
        }),
    ...(headRoom ? { headRoom } : {}),
  };
}

/** The error if the elastic fields contradict the job's kind; undefined if they are valid. */
export function elasticSpecError(shape: JobShape): string | undefined {
  if (shape.elastic && shape.kind !== 'array')
    return `${F.widthMost}: only arrays change their width; a gang runs whole or not at all`;
  if (shape.headRoom !== undefined && shape.kind !== 'service')
    return `${F.headRoom}: only services have head room`;
  return undefined;
}

export const jobShapeToWire = (shape: JobShape): Record<string, unknown> => ({
  [F.class]: shape.class,
  [F.team]: shape.team,
  [F.kind]: Kinds[shape.kind],
  [F.priority]: Priorities[shape.priority],
  [F.tasks]: shape.tasks,
  [F.cpus]: shape.cpus,
  [F.gpus]: shape.gpus,
  [F.memoryGb]: shape.memoryGb,
  [F.image]: shape.image,
  [F.imageGb]: shape.imageGb,
  [F.types]: shape.types,
  [F.zone]: shape.zone,
  [F.oneZone]: shape.oneZone,
  [F.spread]: shape.spread,
  [F.spot]: shape.spot,
  [F.estimateS]: shape.estimateS,
  [F.checkpointS]: shape.checkpointS,
  [F.saveS]: shape.saveS,
  [F.deadlineS]: shape.deadlineS,
  ...(shape.elastic
    ? {
        [F.widthLeast]: shape.elastic.least,
        [F.widthMost]: shape.elastic.most,
        [F.giveBackS]: shape.elastic.giveBackS,
        [F.rentUpTo]: shape.elastic.rentUpTo,
      }
    : {}),
  ...(shape.headRoom === undefined ? {} : { [F.headRoom]: shape.headRoom }),
});

/** Encodes a submission as a user's client sends it; the command line and the tests use this. */
export const encodeSubmission = (job: JobSpec): Uint8Array =>
  encode({ [F.id]: job.id, ...jobShapeToWire(job) });

export interface JobAnswer {
  readonly id: JobId;
  readonly state: JobState;
  readonly done?: number | undefined;
  readonly running?: number | undefined;
}

export const encodeJobAnswer = (answer: JobAnswer): Uint8Array =>
  encode({
    [F.id]: answer.id,
    [F.state]: JobStates[answer.state],
    ...(answer.done === undefined ? {} : { [F.done]: answer.done }),
    ...(answer.running === undefined ? {} : { [F.running]: answer.running }),
  });

export const jobAnswerSchema = z
  .object({
    [F.id]: z.string(),
    [F.state]: enumByWireName(JobStates),
    [F.done]: z.number().optional(),
    [F.running]: z.number().optional(),
  })
  .transform((wire): JobAnswer => ({
    id: wire[F.id] as JobId,
    state: wire[F.state],
    ...(wire[F.done] === undefined ? {} : { done: wire[F.done] }),
    ...(wire[F.running] === undefined ? {} : { running: wire[F.running] }),
  }));

export const encodeError = (message: string): Uint8Array => encode({ [F.error]: message });
