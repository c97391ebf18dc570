/** Records of the election: the current leader, and the highest term so far. */
import * as z from 'zod';
import { u64 } from '../../protocol/codec.js';
import type { Address, LeaseId, MemberName, Term } from '../../protocol/ids.js';

/** The current leader's claim to leadership; it is removed when its lease ends. */
export interface LeaderRecord {
  readonly member: MemberName;
  readonly term: Term;
  readonly lease: LeaseId;
  readonly address: Address;
}

/** Stored form of the leader's claim. */
export const leaderRecordSchema = z
  .object({ member: z.string(), term: u64, lease: u64, address: z.string() })
  .transform((w) => w as unknown as LeaderRecord);

/** The highest term so far; it is kept when the leader's lease ends, so that no term is used twice. */
export const electionTermSchema = z.object({ term: u64 }).transform((w) => ({ term: w.term as Term }));
