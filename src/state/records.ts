import { createHash } from 'node:crypto';
import * as z from 'zod';
import { decode, encode, parse } from '../protocol/codec.js';
import { err, type Result } from '../transport/result.js';

/**
 * What stands on the disk. Each record carries its own checksum, and the history is numbered without gaps: a storage that
 * drops a damaged stretch of its log when it opens (as log-structured ones do) is found out, never guessed over.
 */
export const FORMAT = 1;

export interface Kept {
  readonly mark: number;
  /** Lease that the key is attached to; 0: none. */
  readonly lease: number;
  readonly value: unknown;
}

/** One change of one key; several of one transaction share its revision. */
export interface HistoryItem {
  readonly revision: number;
  readonly key: string;
  readonly removed: boolean;
  readonly value: unknown;
}

export interface Head {
  readonly format: number;
  /** Drawn when the folder was made: a snapshot says which folder it is of. */
  readonly site: string;
  readonly revision: number;
  /** Number of the last change in the history, and of the first that is kept. */
  readonly lastChange: number;
  readonly firstChange: number;
  /** Revision of the newest change that is no longer kept. */
  readonly forgotten: number;
  readonly nextLease: number;
  /** How many keys there are: what verifying counts against. */
  readonly keys: number;
}

const count = z.number().int().nonnegative();
const keptSchema = z
  .object({ m: count, l: count, v: z.unknown() })
  .transform((w): Kept => ({ mark: w.m, lease: w.l, value: w.v }));
const historySchema = z
  .object({ r: count, k: z.string(), d: z.boolean(), v: z.unknown() })
  .transform((w): HistoryItem => ({ revision: w.r, key: w.k, removed: w.d, value: w.v }));
const headSchema = z
  .object({ f: count, s: z.string(), r: count, c: count, a: count, o: count, l: count, n: count })
  .transform((w): Head => ({
    format: w.f,
    site: w.s,
    revision: w.r,
    lastChange: w.c,
    firstChange: w.a,
    forgotten: w.o,
    nextLease: w.l,
    keys: w.n,
  }));
const leaseSchema = z.object({ t: count }).transform((w) => w.t);

const SUM_BYTES = 8;

/** The name is part of the sum: a record that turns up under another name is no record. */
const sumOf = (name: string, body: Uint8Array): Buffer =>
  createHash('sha256').update(name).update('\0').update(body).digest().subarray(0, SUM_BYTES);

export function pack(name: string, value: unknown): Buffer {
  const body = encode(value);
  return Buffer.concat([sumOf(name, body), body]);
}

function unpack<T>(schema: z.ZodType<T>, name: string, bytes: Uint8Array): Result<T, string> {
  const body = bytes.subarray(SUM_BYTES);
  if (bytes.length <= SUM_BYTES || !sumOf(name, body).equals(bytes.subarray(0, SUM_BYTES))) {
    return err(`record '${printable(name)}' does not match its checksum`);
  }
  const data = decode(body);
  if (!data.ok) return err(`record '${printable(name)}' is garbled`);
  const parsed = parse(schema, data.value);
  return parsed.ok ? parsed : err(`record '${printable(name)}': ${parsed.error}`);
}

const printable = (name: string): string => name.replaceAll('\0', ':');

/** Names in the storage: one ordered space, a letter for each kind. */
export const Names = {
  head: 'a',
  key: (key: string): string => `k${key}`,
  change: (n: number): string => `h${n.toString(16).padStart(14, '0')}`,
  lease: (id: number): string => `l${id.toString(16).padStart(14, '0')}`,
  /** Which keys hang on a lease. */
  tied: (lease: number, key: string): string => `t${lease.toString(16).padStart(14, '0')}${key}`,
} as const;

export const packKept = (key: string, k: Kept): Buffer =>
  pack(Names.key(key), { m: k.mark, l: k.lease, v: k.value });
export const unpackKept = (key: string, bytes: Uint8Array): Result<Kept, string> =>
  unpack(keptSchema, Names.key(key), bytes);

export const packChange = (n: number, h: HistoryItem): Buffer =>
  pack(Names.change(n), { r: h.revision, k: h.key, d: h.removed, v: h.value });
export const unpackChange = (n: number, bytes: Uint8Array): Result<HistoryItem, string> =>
  unpack(historySchema, Names.change(n), bytes);

export const packHead = (h: Head): Buffer =>
  pack(Names.head, {
    f: h.format,
    s: h.site,
    r: h.revision,
    c: h.lastChange,
    a: h.firstChange,
    o: h.forgotten,
    l: h.nextLease,
    n: h.keys,
  });
export const unpackHead = (bytes: Uint8Array): Result<Head, string> => unpack(headSchema, Names.head, bytes);

export const packLease = (id: number, ttlMs: number): Buffer => pack(Names.lease(id), { t: ttlMs });
export const unpackLease = (id: number, bytes: Uint8Array): Result<number, string> =>
  unpack(leaseSchema, Names.lease(id), bytes);

export const isHead = (h: Result<Head, string>): Result<Head, string> =>
  h.ok && h.value.format !== FORMAT
    ? err(`the folder has format ${h.value.format}, this program writes format ${FORMAT}`)
    : h;
