import * as z from 'zod';
import { encode } from '../protocol/codec.js';

/** HTTP paths of the protocol between the machine provider and its agents; it is internal to this project. */
export const ClaimPaths = {
  claim: '/claim',
  release: '/release',
  recall: '/recall',
  tasks: '/tasks',
} as const;

export const claimSchema = z
  .object({ machine: z.string().min(1).max(200) })
  .transform((wire) => wire.machine);
export const encodeClaim = (machine: string): Uint8Array => encode({ machine });

export const recallSchema = z.object({ machine: z.string(), within_s: z.number().nonnegative().max(86_400) });
export const encodeRecall = (machine: string, withinS: number): Uint8Array =>
  encode({ machine, within_s: withinS });
