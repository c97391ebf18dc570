import { existsSync, mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { ClassicLevel } from 'classic-level';
import { writeFileDurably } from '../transport/durable-file.js';
import { checkLogs } from './log-check.js';

export interface Write {
  readonly name: string;
  /** The new content; undefined to remove the record. */
  readonly bytes: Uint8Array | undefined;
}

/** A consistent view of the storage, unaffected by later writes. The caller must close it. */
export interface View {
  get(name: string): Uint8Array | undefined;
  /** Records in name order, from `after` (exclusive) to `end` (exclusive), at most `limit`; -1 for no limit. */
  range(after: string, end: string, limit: number): AsyncIterable<readonly [string, Uint8Array]>;
  close(): Promise<void>;
}

/** The durable storage of the state service. */
export interface Storage {
  /** Whether the folder has never held a state. */
  readonly fresh: boolean;
  /** Writes the batch atomically; it is synced to disk when the promise resolves. */
  write(batch: readonly Write[]): Promise<void>;
  view(): View;
  close(): Promise<void>;
}

/** Another process has the folder open. Two processes on one folder would each act as its only writer. */
export class StorageLockedError extends Error {}

/** The stored data is damaged; the message says what is wrong. */
export class StorageDamagedError extends Error {}

const MARKER_FILE = 'gorseyoke-state';
const MARKER_TEXT = 'The state of a gorseyoke site. See docs/appliance.md before moving anything here.\n';

export async function openStorage(folder: string): Promise<Storage> {
  mkdirSync(folder, { recursive: true });
  const marker = join(folder, MARKER_FILE);
  const fresh = !existsSync(marker);
  const damage = checkLogs(folder);
  if (damage !== undefined) throw new StorageDamagedError(`${folder}: ${damage}`);
  const db = new ClassicLevel<string, Uint8Array>(folder, {
    keyEncoding: 'utf8',
    valueEncoding: 'view',
    compression: false,
    // Point reads, such as those of mod revisions, go through this cache, which holds whole blocks.
    cacheSize: 16 * 1024 * 1024,
    writeBufferSize: 8 * 1024 * 1024,
  });
  try {
    await db.open();
  } catch (e) {
    const cause = (e as { cause?: NodeJS.ErrnoException }).cause;
    if (cause?.code === 'LEVEL_LOCKED')
      throw new StorageLockedError(`${folder} is in use by another process`);
    if (cause?.code === 'LEVEL_CORRUPTION') throw new StorageDamagedError(`${folder}: ${cause.message}`);
    throw cause ?? e;
  }
  return {
    fresh,
    async write(batch) {
      await db.batch(
        batch.map((entry) =>
          entry.bytes === undefined
            ? { type: 'del' as const, key: entry.name }
            : { type: 'put' as const, key: entry.name, value: entry.bytes },
        ),
        { sync: true },
      );
      // From here on, a folder without records has lost its data.
      if (fresh && !existsSync(marker)) writeFileDurably(marker, MARKER_TEXT);
    },
    view() {
      const snapshot = db.snapshot();
      return {
        get: (name) => db.getSync(name, { snapshot }),
        range: (after, end, limit) =>
          db.iterator({ gt: after, lt: end, limit, snapshot, fillCache: false }) as AsyncIterable<
            readonly [string, Uint8Array]
          >,
        close: () => snapshot.close(),
      };
    },
    close: () => db.close(),
  };
}
