import * as z from 'zod';
import { encode } from '../protocol/codec.js';

/** Between the provider and the agents of its machines: this project's own words. */
export const ClaimPaths = {
  claim: '/claim',
  release: '/release',
  recall: '/recall',
  tasks: '/tasks',
} as const;

export const claimSchema = z.object({ machine: z.string().min(1).max(200) }).transform((w) => w.machine);
export const encodeClaim = (machine: string): Uint8Array => encode({ machine });

export const recallSchema = z.object({ machine: z.string(), within_s: z.number().nonnegative().max(86_400) });
export const encodeRecall = (machine: string, withinS: number): Uint8Array =>
  encode({ machine, within_s: withinS });
