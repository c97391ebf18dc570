import * as z from 'zod';

/**
 * What an agent persists across restarts, so that no agent epoch (`session`) is used twice and no command under an older fencing
 * token is executed.
 */
export interface PersistedState {
  readonly machine: string | null;
  readonly session: number;
  readonly token: string;
}

export const persistedStateSchema = z.object({
  machine: z.string().nullable(),
  session: z.number().int().nonnegative(),
  token: z.string().regex(/^[0-9]+$/),
});
