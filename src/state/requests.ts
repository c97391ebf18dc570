import * as z from 'zod';
import { decode, jsonByteLength, parse, u64 } from '../protocol/codec.js';
import { F } from '../protocol/wire.js';
import { err, ok, type Result } from '../transport/result.js';
import type { KeyChange } from './key-value-table.js';
import type { Condition } from './committer.js';
import { LEASE_TTL_MS } from './leases.js';

/** Limits on requests, as defined in the protocol's section on the state service. */
export interface StateLimits {
  readonly rps: number;
  readonly writeRps: number;
  readonly txnOps: number;
  readonly valueKb: number;
}

export const PAGE_LIMITS = { items: 1000, bytes: 512 * 1024 } as const;
export const MAX_WAIT_MS = 60_000;

// Keys are part of URL paths, which cannot contain whitespace or control characters.
const KEY_PATTERN = /^[^\s\u0000-\u001f\u007f]+$/u;
const keyByteLength = (key: string): number => Buffer.byteLength(key);
export const isKey = (key: string): boolean => KEY_PATTERN.test(key) && keyByteLength(key) <= 200;

const keySchema = z.string().refine(isKey, 'must be 1 to 200 bytes without spaces');
const safeInteger = u64.refine((n) => n <= BigInt(Number.MAX_SAFE_INTEGER), 'too large').transform(Number);

/** Whether a value is plain, non-binary data. The depth limit of 64 prevents a stack overflow. */
function isPlainData(value: unknown, depth = 0): boolean {
  if (depth > 64) return false;
  switch (typeof value) {
    case 'string':
    case 'boolean':
    case 'bigint':
      return true;
    case 'number':
      return Number.isFinite(value);
    case 'object':
      if (value === null) return true;
      if (ArrayBuffer.isView(value)) return false;
      return Array.isArray(value)
        ? value.every((v) => isPlainData(v, depth + 1))
        : Object.values(value).every((v) => isPlainData(v, depth + 1));
    case 'function':
    case 'symbol':
    case 'undefined':
      return false;
  }
}

const changeSchema = z.union([
  z.object({
    [F.put]: keySchema,
    [F.value]: z
      .unknown()
      .refine((v) => v === undefined || isPlainData(v), 'must be data without anything binary'),
    [F.lease]: safeInteger.nullish(),
  }),
  z.object({ [F.delete]: keySchema }),
]);

const transactionSchema = z.object({
  [F.if]: z.array(z.object({ [F.key]: keySchema, [F.modRevision]: safeInteger })).nullish(),
  [F.then]: z.array(changeSchema).nullish(),
});

export interface Transaction {
  readonly if: readonly Condition[];
  readonly then: readonly KeyChange[];
}

export function readTransaction(body: Uint8Array, limits: StateLimits): Result<Transaction, string> {
  const data = decode(body);
  if (!data.ok) return data;
  const parsed = parse(transactionSchema, data.value);
  if (!parsed.ok) return parsed;
  const conditions = parsed.value[F.if] ?? [];
  const changes = parsed.value[F.then] ?? [];
  if (changes.length > limits.txnOps) return err(`more than ${limits.txnOps} changes`);
  if (conditions.length > 4 * limits.txnOps) return err(`more than ${4 * limits.txnOps} conditions`);
  const then: KeyChange[] = [];
  for (const change of changes) {
    if (F.put in change) {
      const value = change[F.value] ?? null;
      if (jsonByteLength(value) > limits.valueKb * 1024)
        return err(`a value of more than ${limits.valueKb} KiB`);
      then.push({ key: change[F.put], value, removed: false, lease: change[F.lease] ?? 0 });
    } else then.push({ key: change[F.delete], removed: true, lease: 0 });
  }
  return ok({
    if: conditions.map((condition) => ({ key: condition[F.key], modRevision: condition[F.modRevision] })),
    then,
  });
}

const leaseRequestSchema = z.object({ [F.ttlMs]: safeInteger });

export function readTtl(body: Uint8Array): Result<number, string> {
  const data = decode(body);
  if (!data.ok) return data;
  const parsed = parse(leaseRequestSchema, data.value);
  if (!parsed.ok) return parsed;
  const ttlMs = parsed.value[F.ttlMs];
  return ttlMs >= LEASE_TTL_MS.least && ttlMs <= LEASE_TTL_MS.most
    ? ok(ttlMs)
    : err(`${F.ttlMs}: must be ${LEASE_TTL_MS.least} to ${LEASE_TTL_MS.most}`);
}

/** Reads a count from the query; undefined if it is not given. */
export function readCount(query: URLSearchParams, name: string): Result<number | undefined, string> {
  const text = query.get(name);
  if (text === null || text === '') return ok(undefined);
  const count = /^[0-9]{1,15}$/.test(text) ? Number(text) : NaN;
  return Number.isSafeInteger(count) ? ok(count) : err(`${name}: not a count`);
}
