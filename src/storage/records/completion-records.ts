/**
 * Records of completed tasks. A large job has its own chunks, one bit per task; the tasks of many small jobs share a batch,
 * which also says which planned tasks went back to waiting.
 */
import * as z from 'zod';
import type { JobId, PlanId } from '../../protocol/ids.js';

/** Tasks per chunk: 4,096 bits are some 700 characters, so any value limit holds one. */
export const TASKS_PER_COMPLETION_CHUNK = 4096;

/** One bit per task of the chunk, in base64. */
export const completionChunkSchema = z.object({ bits: z.string() });

/** Returns the number of the chunk that holds the task. */
export const completionChunkOf = (index: number): number => Math.floor(index / TASKS_PER_COMPLETION_CHUNK);

/** Tasks of a job, as index ranges. */
export interface CompletedTasks {
  readonly job: JobId;
  readonly tasks: string;
}

/** Tasks of a plan that went back to waiting. It amends the plan, whose own record never changes. */
export interface RequeuedTasks extends CompletedTasks {
  readonly plan: PlanId;
}

/** Completed and requeued tasks of many jobs, in one record. Never changed once written. */
export interface CompletionBatchRecord {
  readonly done: readonly CompletedTasks[];
  readonly returned: readonly RequeuedTasks[];
}

/** Returns the record of a batch. */
export const completionBatchRecord = (
  done: readonly CompletedTasks[],
  returned: readonly RequeuedTasks[],
): CompletionBatchRecord => ({ done, returned });

/** Stored form of a batch. */
export const completionBatchSchema = z
  .object({
    done: z.array(z.object({ job: z.string(), tasks: z.string() })),
    returned: z.array(z.object({ plan: z.string(), job: z.string(), tasks: z.string() })),
  })
  .transform((w) => w as unknown as CompletionBatchRecord);
