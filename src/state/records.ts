import { createHash } from 'node:crypto';
import * as z from 'zod';
import { decode, encode, parse } from '../protocol/codec.js';
import { err, type Result } from '../transport/result.js';

/**
 * Format of the records on disk. Each record carries its own checksum, and the history is numbered without gaps. This detects a
 * storage that drops a damaged part of its log on opening, as log-structured storages do.
 */
export const FORMAT_VERSION = 1;

export interface KeyRecord {
  /** Mod revision: the revision of the key's last change. */
  readonly mark: number;
  /** Lease that the key is attached to; 0 for none. */
  readonly lease: number;
  readonly value: unknown;
}

/** One change of one key. All changes of a transaction share its revision. */
export interface HistoryEntry {
  readonly revision: number;
  readonly key: string;
  readonly removed: boolean;
  readonly value: unknown;
}

export interface Header {
  readonly format: number;
  /** Random id generated when the folder was created, so that a snapshot identifies its folder. */
  readonly site: string;
  readonly revision: number;
  /** Number of the newest change in the history. */
  readonly lastChange: number;
  /** Number of the oldest change that the history still has. */
  readonly firstChange: number;
  /** Compacted revision: that of the newest change dropped from the history. */
  readonly forgotten: number;
  readonly nextLease: number;
  /** Number of keys; `verify` compares it with the keys found. */
  readonly keys: number;
}

const count = z.number().int().nonnegative();
const keyRecordSchema = z
  .object({ m: count, l: count, v: z.unknown() })
  .transform((stored): KeyRecord => ({ mark: stored.m, lease: stored.l, value: stored.v }));
const historySchema = z
  .object({ r: count, k: z.string(), d: z.boolean(), v: z.unknown() })
  .transform((stored): HistoryEntry => ({
    revision: stored.r,
    key: stored.k,
    removed: stored.d,
    value: stored.v,
  }));
const headerSchema = z
  .object({ f: count, s: z.string(), r: count, c: count, a: count, o: count, l: count, n: count })
  .transform((stored): Header => ({
    format: stored.f,
    site: stored.s,
    revision: stored.r,
    lastChange: stored.c,
    firstChange: stored.a,
    forgotten: stored.o,
    nextLease: stored.l,
    keys: stored.n,
  }));
const leaseSchema = z.object({ t: count }).transform((stored) => stored.t);

const CHECKSUM_BYTES = 8;

/** The checksum covers the name, so that a record found under another name is invalid. */
const checksumOf = (name: string, body: Uint8Array): Buffer =>
  createHash('sha256').update(name).update('\0').update(body).digest().subarray(0, CHECKSUM_BYTES);

export function pack(name: string, value: unknown): Buffer {
  const body = encode(value);
  return Buffer.concat([checksumOf(name, body), body]);
}

function unpack<T>(schema: z.ZodType<T>, name: string, bytes: Uint8Array): Result<T, string> {
  const body = bytes.subarray(CHECKSUM_BYTES);
  if (bytes.length <= CHECKSUM_BYTES || !checksumOf(name, body).equals(bytes.subarray(0, CHECKSUM_BYTES))) {
    return err(`record '${printable(name)}' does not match its checksum`);
  }
  const data = decode(body);
  if (!data.ok) return err(`record '${printable(name)}' is garbled`);
  const parsed = parse(schema, data.value);
  return parsed.ok ? parsed : err(`record '${printable(name)}': ${parsed.error}`);
}

const printable = (name: string): string => name.replaceAll('\0', ':');

/** Record names in the storage: one ordered key space, with a letter as the prefix of each kind of record. */
export const RecordNames = {
  header: 'a',
  key: (key: string): string => `k${key}`,
  change: (changeNumber: number): string => `h${changeNumber.toString(16).padStart(14, '0')}`,
  lease: (id: number): string => `l${id.toString(16).padStart(14, '0')}`,
  /** Index of the keys attached to a lease. */
  leaseKey: (lease: number, key: string): string => `t${lease.toString(16).padStart(14, '0')}${key}`,
} as const;

export const packKeyRecord = (key: string, record: KeyRecord): Buffer =>
  pack(RecordNames.key(key), { m: record.mark, l: record.lease, v: record.value });
export const unpackKeyRecord = (key: string, bytes: Uint8Array): Result<KeyRecord, string> =>
  unpack(keyRecordSchema, RecordNames.key(key), bytes);

export const packChange = (changeNumber: number, entry: HistoryEntry): Buffer =>
  pack(RecordNames.change(changeNumber), {
    r: entry.revision,
    k: entry.key,
    d: entry.removed,
    v: entry.value,
  });
export const unpackChange = (changeNumber: number, bytes: Uint8Array): Result<HistoryEntry, string> =>
  unpack(historySchema, RecordNames.change(changeNumber), bytes);

export const packHeader = (header: Header): Buffer =>
  pack(RecordNames.header, {
    f: header.format,
    s: header.site,
    r: header.revision,
    c: header.lastChange,
    a: header.firstChange,
    o: header.forgotten,
    l: header.nextLease,
    n: header.keys,
  });
export const unpackHeader = (bytes: Uint8Array): Result<Header, string> =>
  unpack(headerSchema, RecordNames.header, bytes);

export const packLease = (id: number, ttlMs: number): Buffer => pack(RecordNames.lease(id), { t: ttlMs });
export const unpackLease = (id: number, bytes: Uint8Array): Result<number, string> =>
  unpack(leaseSchema, RecordNames.lease(id), bytes);

export const requireSupportedFormat = (header: Result<Header, string>): Result<Header, string> =>
  header.ok && header.value.format !== FORMAT_VERSION
    ? err(`the folder has format ${header.value.format}, this program writes format ${FORMAT_VERSION}`)
    : header;
