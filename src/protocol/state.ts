import * as z from 'zod';
import { encode, u64, type Data } from './codec.js';
import type { LeaseId, ModRevision, Revision, StoreKey } from './ids.js';
import { F, Paths } from './wire.js';

export interface StoreEntry {
  readonly key: StoreKey;
  readonly value: Data;
  readonly modRevision: ModRevision;
}

export type Change =
  | { readonly op: 'put'; readonly key: StoreKey; readonly value: Data; readonly lease?: LeaseId }
  | { readonly op: 'delete'; readonly key: StoreKey };

export interface Condition {
  readonly key: StoreKey;
  readonly modRevision: ModRevision;
}

export type StoreEvent =
  | { readonly op: 'put'; readonly key: StoreKey; readonly value: Data; readonly modRevision: ModRevision }
  | { readonly op: 'delete'; readonly key: StoreKey; readonly modRevision: ModRevision };

const entry = z
  .object({ [F.key]: z.string(), [F.value]: z.unknown(), [F.modRevision]: u64 })
  .transform((wire): StoreEntry => ({
    key: wire[F.key] as StoreKey,
    value: wire[F.value],
    modRevision: wire[F.modRevision] as ModRevision,
  }));

export const entrySchema = entry;
export const revisionSchema = z.object({ [F.revision]: u64 }).transform((w) => w[F.revision] as Revision);
export const rangeSchema = z
  .object({ [F.items]: z.array(entry), [F.more]: z.boolean().nullish(), [F.revision]: u64 })
  .transform((wire) => ({
    entries: wire[F.items],
    more: wire[F.more] ?? false,
    revision: wire[F.revision] as Revision,
  }));
export const committedSchema = revisionSchema;
export const conflictSchema = z
  .object({ [F.failed]: z.array(z.string()), [F.revision]: u64 })
  .transform((wire) => ({ failed: wire[F.failed] as StoreKey[], revision: wire[F.revision] as Revision }));
export const leaseSchema = z.object({ [F.lease]: u64 }).transform((w) => w[F.lease] as LeaseId);
export const changesSchema = z
  .object({
    [F.revision]: u64,
    [F.events]: z.array(
      z.object({
        [F.put]: z.string().optional(),
        [F.delete]: z.string().optional(),
        [F.value]: z.unknown().optional(),
        [F.modRevision]: u64,
      }),
    ),
  })
  .transform((wire) => ({
    revision: wire[F.revision] as Revision,
    events: wire[F.events].map((event): StoreEvent => {
      const modRevision = event[F.modRevision] as ModRevision;
      const put = event[F.put];
      return put === undefined
        ? { op: 'delete', key: (event[F.delete] ?? '') as StoreKey, modRevision }
        : { op: 'put', key: put as StoreKey, value: event[F.value], modRevision };
    }),
  }));

export const transactionToWire = (
  conditions: readonly Condition[],
  changes: readonly Change[],
): Record<string, unknown> => ({
  [F.if]: conditions.map((c) => ({ [F.key]: c.key, [F.modRevision]: c.modRevision })),
  [F.then]: changes.map((change) =>
    change.op === 'delete'
      ? { [F.delete]: change.key }
      : {
          [F.put]: change.key,
          [F.value]: change.value,
          ...(change.lease === undefined ? {} : { [F.lease]: change.lease }),
        },
  ),
});

export const encodeTransaction = (conditions: readonly Condition[], changes: readonly Change[]): Uint8Array =>
  encode(transactionToWire(conditions, changes));

export const keyPath = (key: StoreKey): string => `${Paths.keys}/${key}`;
export const rangePath = (prefix: string, after: string | undefined, limit: number): string =>
  `${Paths.keys}?${F.prefix}=${prefix}${after === undefined ? '' : `&${F.after}=${after}`}&${F.limit}=${limit}`;
export const changesPath = (prefix: string, after: Revision, waitMs: number): string =>
  `${Paths.changes}?${F.prefix}=${prefix}&${F.after}=${after}&${F.waitMs}=${waitMs}`;
export const leasePath = (lease: LeaseId): string => `${Paths.leases}/${lease}`;
export const renewPath = (lease: LeaseId): string => `${Paths.leases}/${lease}${Paths.renewSuffix}`;
export const encodeTtl = (ttlMs: number): Uint8Array => encode({ [F.ttlMs]: ttlMs });
