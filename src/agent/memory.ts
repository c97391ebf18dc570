import * as z from 'zod';

/** What an agent must know of its earlier life: a session is never used twice, and no older token is obeyed. */
export interface Memory {
  readonly machine: string | null;
  readonly session: number;
  readonly token: string;
}

export const memorySchema = z.object({
  machine: z.string().nullable(),
  session: z.number().int().nonnegative(),
  token: z.string().regex(/^[0-9]+$/),
});
