import { RequestPriority } from '../../transport/rate-limiter.js';
import { err, ok, type Result } from '../../transport/result.js';
import { NO_REVISION, type ModRevision } from '../../protocol/ids.js';
import type { Change } from '../../protocol/state.js';
import {
  splitIntoTransactions,
  Keys,
  packNamesInParts,
  seal,
  PRE_PROVISIONED_MACHINES_PARTS,
  preProvisionedMachinesSchema,
  unpackMachineNames,
  unseal,
} from '../../storage/records.js';
import type { StoreClient } from '../../storage/store-client.js';

/**
 * The stored list of machines that existed before the service first ran. It is written once, before the first scale-out,
 * and only read after that. This module owns the keys `fleet/standing` and `fleet/standing/NNN`; it never decides what the
 * list is used for.
 */

/** Why the list could not be read. */
export type PreProvisionedMachinesFailure =
  /** The store gave no definite answer: the caller retries. */
  | { readonly kind: 'unavailable' }
  /** The record is damaged. */
  | { readonly kind: 'unreadable'; readonly reason: string };

const UNAVAILABLE: PreProvisionedMachinesFailure = { kind: 'unavailable' };
const unreadable = (reason: string): PreProvisionedMachinesFailure => ({ kind: 'unreadable', reason });

/** Returns the stored names; undefined where no list was stored yet. */
export async function readPreProvisionedMachines(
  store: Pick<StoreClient, 'get' | 'range'>,
): Promise<Result<string[] | undefined, PreProvisionedMachinesFailure>> {
  const entry = await store.get(Keys.preProvisionedMachines, RequestPriority.Completion);
  if (!entry.ok) return err(UNAVAILABLE);
  if (!entry.value) return ok(undefined);
  const first = unseal(preProvisionedMachinesSchema, entry.value.value);
  if (!first.ok) return err(unreadable(first.error));
  const names = unpackMachineNames(first.value);
  const { parts = 0 } = first.value;
  if (parts === 0) return ok(names);
  const further = await store.range(PRE_PROVISIONED_MACHINES_PARTS, RequestPriority.Completion);
  if (!further.ok) return err(UNAVAILABLE);
  const values = new Map(further.value.entries.map((e) => [e.key, e.value]));
  for (let part = 1; part <= parts; part++) {
    const packed = unseal(preProvisionedMachinesSchema, values.get(Keys.preProvisionedMachinesPart(part)));
    if (!packed.ok) return err(unreadable(`part ${part}: ${packed.error}`));
    names.push(...unpackMachineNames(packed.value));
  }
  return ok(names);
}

/**
 * Stores the names if the leader record still has `leaderRevision` and no list is stored yet. The first record is written
 * last: once it exists the list is complete, and parts that an earlier leader left without it are overwritten by the next
 * one. Returns false unless the store confirmed every write.
 */
export async function writePreProvisionedMachines(
  store: Pick<StoreClient, 'txn'>,
  names: readonly string[],
  leaderRevision: ModRevision,
  limits: { readonly valueKb: number; readonly txnOps: number },
): Promise<boolean> {
  const [first, ...further] = packNamesInParts(names, limits.valueKb);
  const conditions = [
    { key: Keys.leader, modRevision: leaderRevision },
    { key: Keys.preProvisionedMachines, modRevision: NO_REVISION },
  ];
  const parts: Change[] = further.map((packed, i) => ({
    op: 'put',
    key: Keys.preProvisionedMachinesPart(i + 1),
    value: seal(packed),
  }));
  const last: Change[] = [{ op: 'put', key: Keys.preProvisionedMachines, value: seal(first) }];
  for (const changes of [...splitIntoTransactions(parts, limits.txnOps), last]) {
    const outcome = await store.txn(conditions, changes, RequestPriority.Completion);
    if (!outcome.ok || outcome.value.kind !== 'committed') return false;
  }
  return true;
}
