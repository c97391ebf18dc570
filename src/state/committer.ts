import type { Clock } from '../transport/clock.js';
import { sleep } from '../transport/clock.js';
import type { Log } from '../transport/log.js';
import type { Metrics } from '../transport/metrics.js';
import { KeyValueTable, CommitBatch, type KeyChange } from './key-value-table.js';
import type { Header } from './records.js';
import type { Storage } from './storage.js';
import { messageOf } from '../transport/error-message.js';

export interface Condition {
  readonly key: string;
  readonly modRevision: number;
}

export type Outcome =
  | { readonly kind: 'committed'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly failed: readonly string[]; readonly revision: number }
  | { readonly kind: 'no-lease' }
  | { readonly kind: 'lease'; readonly id: number }
  /** Guaranteed not to have been executed. */
  | { readonly kind: 'refused' };

export type Operation =
  | { readonly op: 'txn'; readonly if: readonly Condition[]; readonly then: readonly KeyChange[] }
  | { readonly op: 'new-lease'; readonly ttlMs: number }
  | { readonly op: 'end-lease'; readonly id: number };

interface PendingOperation {
  readonly operation: Operation;
  readonly answer: (outcome: Outcome) => void;
}

/** Limits the size of one synced batch, so that no operation waits long for those before it. */
const MAX_BATCH_OPERATIONS = 128;
const REOPEN_INTERVAL_MS = 500;
/** A longer queue means that the disk is too slow. Further operations are refused at once, so the queue stays bounded. */
const MAX_QUEUED_OPERATIONS = 2000;

export interface CommitterDeps {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly reopen: () => Promise<Storage>;
  readonly hasLease: (id: number) => boolean;
  readonly onCommitted: (table: KeyValueTable, batch: CommitBatch) => void;
  /** Called when the storage has been reopened after a failed write. */
  readonly onReopened: (table: KeyValueTable) => void;
}

/**
 * The only writer of the storage. Operations that arrive while a batch is being synced are committed together in the next one.
 * Each operation is atomic, and each transaction has its own revision. Nothing is answered before the batch is on disk,
 * including a conflict, because it may depend on an earlier operation of the same batch.
 */
export class Committer {
  private queue: PendingOperation[] = [];
  private busy = false;
  private closing = false;
  /** Time since which the storage has not accepted writes; undefined while it does. */
  unavailableSince: number | undefined;

  constructor(
    private readonly deps: CommitterDeps,
    public table: KeyValueTable,
  ) {}

  submit(operation: Operation): Promise<Outcome> {
    if (this.closing || this.unavailableSince !== undefined || this.queue.length >= MAX_QUEUED_OPERATIONS)
      return Promise.resolve({ kind: 'refused' });
    return new Promise((answer) => {
      this.queue.push({ operation, answer });
      if (!this.busy) void this.commitQueued();
    });
  }

  /** Refuses new operations, finishes the queued ones and closes the storage. */
  async close(): Promise<void> {
    this.closing = true;
    while (this.busy) await sleep(this.deps.clock, 5);
    await this.table.storage.close();
  }

  private async commitQueued(): Promise<void> {
    this.busy = true;
    try {
      while (this.queue.length > 0) {
        const operations = this.queue.slice(0, MAX_BATCH_OPERATIONS);
        this.queue = this.queue.slice(MAX_BATCH_OPERATIONS);
        await this.commitBatch(operations);
      }
    } finally {
      this.busy = false;
    }
  }

  private async commitBatch(operations: readonly PendingOperation[]): Promise<void> {
    const { deps, table } = this;
    const startedAt = deps.clock.now();
    let batch: CommitBatch;
    const outcomes: Outcome[] = [];
    let prepared: ReturnType<CommitBatch['finish']> | undefined;
    const view = table.storage.view();
    try {
      batch = new CommitBatch(table, view);
      for (const pending of operations) outcomes.push(await this.execute(batch, pending.operation));
      if (!batch.isEmpty) prepared = batch.finish();
    } catch (e) {
      // A record cannot be read. Nothing has been written, so all operations of the batch are refused.
      deps.log.error('state-damaged', { why: messageOf(e) });
      for (const pending of operations) pending.answer({ kind: 'refused' });
      return;
    } finally {
      await view.close();
    }
    if (prepared) {
      try {
        await table.storage.write(prepared.writes);
      } catch (e) {
        const written = await this.recover(prepared.header, messageOf(e));
        for (const [i, pending] of operations.entries())
          pending.answer(written ? outcomes[i]! : { kind: 'refused' });
        return;
      }
      table.applyCommit(prepared.header, batch.historyItems);
      deps.onCommitted(table, batch);
      deps.metrics.recordDurationMs('state-sync', deps.clock.now() - startedAt);
    }
    for (const [i, pending] of operations.entries()) pending.answer(outcomes[i]!);
  }

  private async execute(batch: CommitBatch, operation: Operation): Promise<Outcome> {
    if (operation.op === 'new-lease') return { kind: 'lease', id: batch.addLease(operation.ttlMs) };
    if (operation.op === 'end-lease') {
      const keys = await batch.keysOfLease(operation.id);
      batch.apply(keys.map((key) => ({ key, removed: true, lease: 0 })));
      batch.removeLease(operation.id);
      return { kind: 'committed', revision: batch.revision };
    }
    for (const change of operation.then)
      if (change.lease !== 0 && !this.deps.hasLease(change.lease)) return { kind: 'no-lease' };
    const failed = operation.if
      .filter((c) => (batch.get(c.key)?.mark ?? 0) !== c.modRevision)
      .map((c) => c.key);
    if (failed.length > 0) return { kind: 'conflict', failed, revision: batch.revision };
    batch.apply(operation.then);
    return { kind: 'committed', revision: batch.revision };
  }

  /**
   * Reopens the storage after a failed write and returns whether the batch was written. A failed batch (usually a full disk)
   * may or may not have reached the disk, and records written after a broken log record could be lost with it. So the storage
   * is reopened at once, and its content decides. Until then the batch is not answered, and new requests are refused as in an
   * outage.
   */
  private async recover(attempted: Header, why: string): Promise<boolean> {
    const { deps } = this;
    this.unavailableSince = deps.clock.now();
    deps.log.error('state-write-failed', { why });
    for (const pending of this.queue) pending.answer({ kind: 'refused' });
    this.queue = [];
    await this.table.storage.close().catch(() => undefined);
    for (;;) {
      try {
        const storage = await deps.reopen();
        this.table = await KeyValueTable.open(storage, storage.fresh);
        break;
      } catch (e) {
        deps.log.error('state-not-open', { why: messageOf(e) });
        await sleep(deps.clock, REOPEN_INTERVAL_MS);
      }
    }
    const { header } = this.table;
    const written = header.revision === attempted.revision && header.nextLease === attempted.nextLease;
    this.unavailableSince = undefined;
    deps.log.info('state-back', { revision: header.revision, written });
    deps.onReopened(this.table);
    return written;
  }
}
