import { randomBytes } from 'node:crypto';
import type { Result } from '../transport/result.js';
import { err, ok } from '../transport/result.js';
import {
  FORMAT_VERSION,
  requireSupportedFormat,
  RecordNames,
  packChange,
  packHeader,
  packKeyRecord,
  packLease,
  unpackChange,
  unpackHeader,
  unpackKeyRecord,
  unpackLease,
  type Header,
  type HistoryEntry,
  type KeyRecord,
} from './records.js';
import { StorageDamagedError, type Storage, type View, type Write } from './storage.js';

/** Number of changes that the protocol promises to keep for watches. */
export const MAX_HISTORY_CHANGES = 10_000;

export interface KeyChange {
  readonly key: string;
  /** The new value; undefined if the key is removed. */
  readonly value?: unknown;
  readonly removed: boolean;
  /** Lease that the key is attached to; 0 for none. */
  readonly lease: number;
}

const valueOrThrow = <T>(r: Result<T, string>): T => {
  if (!r.ok) throw new StorageDamagedError(r.error);
  return r.value;
};

/** The transactions that are written in one synced storage batch. Each transaction has its own revision. */
export class CommitBatch {
  private readonly pendingRecords = new Map<string, KeyRecord | undefined>();
  private readonly writes = new Map<string, Uint8Array | undefined>();
  readonly historyItems: HistoryEntry[] = [];
  private header: Header;

  constructor(
    private readonly table: KeyValueTable,
    private readonly view: View,
  ) {
    this.header = table.header;
  }

  /** The key's record as it will be after this batch is written. */
  get(key: string): KeyRecord | undefined {
    if (this.pendingRecords.has(key)) return this.pendingRecords.get(key);
    const bytes = this.view.get(RecordNames.key(key));
    const record = bytes && valueOrThrow(unpackKeyRecord(key, bytes));
    this.pendingRecords.set(key, record);
    return record;
  }

  get revision(): number {
    return this.header.revision;
  }

  /** Adds one transaction's changes, which share the next revision. */
  apply(changes: readonly KeyChange[]): void {
    if (changes.length === 0) return;
    const revision = this.header.revision + 1;
    let { lastChange, keys } = this.header;
    for (const change of changes) {
      const previous = this.get(change.key);
      if (change.removed && !previous) continue;
      if (previous && previous.lease !== 0)
        this.writes.set(RecordNames.leaseKey(previous.lease, change.key), undefined);
      const record = change.removed
        ? undefined
        : { mark: revision, lease: change.lease, value: change.value };
      keys += (record ? 1 : 0) - (previous ? 1 : 0);
      this.pendingRecords.set(change.key, record);
      this.writes.set(RecordNames.key(change.key), record && packKeyRecord(change.key, record));
      if (record && record.lease !== 0)
        this.writes.set(RecordNames.leaseKey(record.lease, change.key), new Uint8Array());
      const item = {
        revision,
        key: change.key,
        removed: change.removed,
        value: change.removed ? null : change.value,
      };
      this.historyItems.push(item);
      this.writes.set(RecordNames.change(++lastChange), packChange(lastChange, item));
    }
    this.header = { ...this.header, revision, lastChange, keys };
  }

  /** Keys attached to the lease, including this batch's uncommitted changes. */
  async keysOfLease(lease: number): Promise<string[]> {
    const prefix = RecordNames.leaseKey(lease, '');
    const keys = new Set<string>();
    for await (const [name] of this.view.range(prefix, RecordNames.leaseKey(lease + 1, ''), -1))
      keys.add(name.slice(prefix.length));
    for (const [name, bytes] of this.writes) {
      if (!name.startsWith(prefix)) continue;
      if (bytes) keys.add(name.slice(prefix.length));
      else keys.delete(name.slice(prefix.length));
    }
    return [...keys].sort();
  }

  addLease(ttlMs: number): number {
    const id = this.header.nextLease;
    this.writes.set(RecordNames.lease(id), packLease(id, ttlMs));
    this.header = { ...this.header, nextLease: id + 1 };
    return id;
  }

  removeLease(id: number): void {
    this.writes.set(RecordNames.lease(id), undefined);
  }

  get isEmpty(): boolean {
    return this.writes.size === 0 && this.header === this.table.header;
  }

  /** The storage writes, including the removal of history beyond its limit, and the new header. */
  finish(): { readonly writes: Write[]; readonly header: Header } {
    const { lastChange } = this.header;
    let { firstChange, forgotten } = this.header;
    const writes: Write[] = [];
    const { history } = this.table;
    while (lastChange - firstChange + 1 > MAX_HISTORY_CHANGES) {
      const item = firstChange <= this.table.header.lastChange ? history.at(firstChange) : undefined;
      if (!item) break;
      forgotten = item.revision;
      writes.push({ name: RecordNames.change(firstChange), bytes: undefined });
      firstChange++;
    }
    const header = { ...this.header, firstChange, forgotten };
    for (const [name, bytes] of this.writes) writes.push({ name, bytes });
    writes.push({ name: RecordNames.header, bytes: packHeader(header) });
    return { writes, header };
  }
}

/** In-memory copy of the change history on disk, addressed by change number. */
export class ChangeHistory {
  private items: HistoryEntry[] = [];
  private firstNumber = 1;

  at(changeNumber: number): HistoryEntry | undefined {
    return this.items[changeNumber - this.firstNumber];
  }

  add(item: HistoryEntry): void {
    this.items.push(item);
  }

  /** Drops the changes before `firstKept`. */
  dropBefore(firstKept: number): void {
    const dropCount = firstKept - this.firstNumber;
    // Drops in bulk, because each drop copies all remaining changes.
    if (dropCount < 2048 && dropCount < this.items.length) return;
    this.items = this.items.slice(dropCount);
    this.firstNumber = firstKept;
  }

  reset(firstKept: number): void {
    this.items = [];
    this.firstNumber = firstKept;
  }

  /** Changes of keys with the prefix after a revision, oldest first. */
  changesAfter(revision: number, prefix: string): HistoryEntry[] {
    let low = 0;
    let high = this.items.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.items[middle]!.revision <= revision) low = middle + 1;
      else high = middle;
    }
    const found: HistoryEntry[] = [];
    for (let i = low; i < this.items.length; i++) {
      const item = this.items[i]!;
      if (item.key.startsWith(prefix)) found.push(item);
    }
    return found;
  }
}

/** Keys, leases and change history on a storage. Everything that was acknowledged is on disk. */
export class KeyValueTable {
  readonly history = new ChangeHistory();

  private constructor(
    readonly storage: Storage,
    public header: Header,
    readonly leases: ReadonlyMap<number, number>,
  ) {}

  /**
   * Loads the table and checks what a power cut could have damaged; throws `StorageDamagedError` with the fault found. Only
   * a `fresh` folder is initialized: a folder that held a state before and has no header now has lost its data.
   */
  static async open(storage: Storage, fresh = true): Promise<KeyValueTable> {
    const view = storage.view();
    try {
      const bytes = view.get(RecordNames.header);
      if (!bytes) {
        if (!fresh) throw new StorageDamagedError('the folder held a state, but none of it can be read');
        for await (const [name] of view.range('', '\uffff', 1)) {
          throw new StorageDamagedError(`the folder has records ('${name}') but no header`);
        }
        const header: Header = {
          format: FORMAT_VERSION,
          site: randomBytes(8).toString('hex'),
          revision: 0,
          lastChange: 0,
          firstChange: 1,
          forgotten: 0,
          nextLease: 1,
          keys: 0,
        };
        await storage.write([{ name: RecordNames.header, bytes: packHeader(header) }]);
        return new KeyValueTable(storage, header, new Map());
      }
      const header = valueOrThrow(requireSupportedFormat(unpackHeader(bytes)));
      const leases = new Map<number, number>();
      for await (const [name, value] of view.range('l', 'm', -1)) {
        const id = parseInt(name.slice(1), 16);
        leases.set(id, valueOrThrow(unpackLease(id, value)));
      }
      const table = new KeyValueTable(storage, header, leases);
      await table.loadHistory(view);
      return table;
    } finally {
      await view.close();
    }
  }

  /**
   * Loads the history and checks that it has no gaps and that every key in it has the mod revision of its newest change. This
   * detects records that the storage lost from its newest log.
   */
  private async loadHistory(view: View): Promise<void> {
    const { header, history } = this;
    history.reset(header.firstChange);
    let expectedNumber = header.firstChange;
    const latestChanges = new Map<string, HistoryEntry>();
    for await (const [name, bytes] of view.range('h', 'i', -1)) {
      const changeNumber = parseInt(name.slice(1), 16);
      if (changeNumber !== expectedNumber)
        throw new StorageDamagedError(
          `change ${expectedNumber} is missing; the next change found is ${changeNumber}`,
        );
      const item = valueOrThrow(unpackChange(changeNumber, bytes));
      history.add(item);
      latestChanges.set(item.key, item);
      expectedNumber++;
    }
    if (expectedNumber !== header.lastChange + 1)
      throw new StorageDamagedError(`changes ${expectedNumber} to ${header.lastChange} are missing`);
    for (const [key, item] of latestChanges) {
      const bytes = view.get(RecordNames.key(key));
      const modRevision = bytes ? valueOrThrow(unpackKeyRecord(key, bytes)).mark : 0;
      const expectedRevision = item.removed ? 0 : item.revision;
      if (modRevision !== expectedRevision) {
        throw new StorageDamagedError(
          `key '${key}' has mod revision ${modRevision}, but the history says ${expectedRevision}`,
        );
      }
    }
  }

  /** Updates the header and the history after a batch has been synced to disk. */
  applyCommit(header: Header, items: readonly HistoryEntry[]): void {
    this.header = header;
    for (const item of items) this.history.add(item);
    this.history.dropBefore(header.firstChange);
  }

  /** Checks every key and change: checksums, mod revisions, the attachment of keys to leases and the number of keys. */
  async verify(): Promise<Result<{ readonly keys: number; readonly changes: number }, string[]>> {
    const view = this.storage.view();
    const faults: string[] = [];
    const addFault = (fault: string): void => {
      if (faults.length < 20) faults.push(fault);
    };
    let keys = 0;
    let changes = 0;
    try {
      for await (const [name, bytes] of view.range('k', 'l', -1)) {
        keys++;
        const key = name.slice(1);
        const record = unpackKeyRecord(key, bytes);
        if (!record.ok) addFault(record.error);
        else if (
          record.value.lease !== 0 &&
          view.get(RecordNames.leaseKey(record.value.lease, key)) === undefined
        )
          addFault(`key '${key}' is attached to lease ${record.value.lease}, which does not list it`);
        else if (record.value.mark > this.header.revision)
          addFault(
            `key '${key}' has mod revision ${record.value.mark}, above the table's revision ${this.header.revision}`,
          );
      }
      for await (const [name, bytes] of view.range('h', 'i', -1)) {
        changes++;
        const item = unpackChange(parseInt(name.slice(1), 16), bytes);
        if (!item.ok) addFault(item.error);
      }
    } finally {
      await view.close();
    }
    if (keys !== this.header.keys)
      addFault(`the table has ${keys} keys, but the header counts ${this.header.keys}`);
    return faults.length > 0 ? err(faults) : ok({ keys, changes });
  }
}
