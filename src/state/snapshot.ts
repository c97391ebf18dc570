import { createHash, type Hash } from 'node:crypto';
import { createReadStream, createWriteStream, existsSync, readdirSync } from 'node:fs';
import { open, rename, rm } from 'node:fs/promises';
import { dirname } from 'node:path';
import { createInterface } from 'node:readline';
import { once } from 'node:events';
import * as z from 'zod';
import { err, ok, type Result } from '../transport/result.js';
import { KeyValueTable } from './key-value-table.js';
import {
  FORMAT_VERSION,
  RecordNames,
  packHeader,
  packKeyRecord,
  packLease,
  unpackKeyRecord,
  type Header,
} from './records.js';
import { StorageDamagedError, StorageLockedError, openStorage, type Storage, type Write } from './storage.js';
import { messageOf } from '../transport/error-message.js';

/**
 * Format of a snapshot: one line of JSON per record, with the header first and a checksum over all lines last. The file is
 * human-readable, and a truncated one is detected. It does not contain the history: after a restore, watchers list the keys again.
 */
const headerLine = z.object({
  gorseyoke: z.literal('state snapshot'),
  format: z.number(),
  site: z.string(),
  revision: z.number(),
  nextLease: z.number(),
});
const keyLine = z.object({ key: z.string(), mark: z.number(), lease: z.number(), value: z.unknown() });
const leaseLine = z.object({ lease: z.number(), ttlMs: z.number() });
const endLine = z.object({ end: z.number(), sum: z.string() });

/** Preserves bigints, so that a value such as 2^60 is restored exactly. */
const toJson = (value: unknown): string =>
  JSON.stringify(value, (_, v: unknown) => (typeof v === 'bigint' ? { $u64: v.toString() } : v));
const fromJson = (text: string): unknown =>
  JSON.parse(text, (_, field: unknown) => {
    const bigintText =
      typeof field === 'object' && field !== null ? (field as Record<string, unknown>)['$u64'] : undefined;
    return typeof bigintText === 'string' ? BigInt(bigintText) : field;
  });

export interface SnapshotSummary {
  readonly keys: number;
  readonly revision: number;
}

async function withTable<T>(
  folder: string,
  use: (table: KeyValueTable, storage: Storage) => Promise<Result<T, string>>,
): Promise<Result<T, string>> {
  if (!existsSync(folder)) return err(`${folder}: no such folder`);
  let storage: Storage;
  try {
    storage = await openStorage(folder);
  } catch (e) {
    if (e instanceof StorageLockedError || e instanceof StorageDamagedError) return err(e.message);
    return err(`${folder}: ${messageOf(e)}`);
  }
  try {
    return await use(await KeyValueTable.open(storage, storage.fresh), storage);
  } catch (e) {
    // Includes errors of the storage library: it detects a table file with a wrong checksum only when the table is read.
    return err(`${folder}: ${messageOf(e)}`);
  } finally {
    await storage.close();
  }
}

/** Writes the snapshot to a temporary file, which is renamed to `file` once it is complete and synced. */
export function takeSnapshot(folder: string, file: string): Promise<Result<SnapshotSummary, string>> {
  return withTable(folder, async (table, storage) => {
    if (existsSync(file)) return err(`${file} is there already`);
    const temporary = `${file}.part`;
    const out = createWriteStream(temporary);
    const hash = createHash('sha256');
    let lineCount = 0;
    const write = async (value: unknown): Promise<void> => {
      const line = `${toJson(value)}\n`;
      hash.update(line);
      lineCount++;
      if (!out.write(line)) await once(out, 'drain');
    };
    const { site, revision, nextLease } = table.header;
    const view = storage.view();
    let keys = 0;
    try {
      await write({ gorseyoke: 'state snapshot', format: FORMAT_VERSION, site, revision, nextLease });
      for (const [lease, ttlMs] of table.leases) await write({ lease, ttlMs });
      for await (const [name, bytes] of view.range('k', 'l', -1)) {
        const key = name.slice(1);
        const record = unpackKeyRecord(key, bytes);
        if (!record.ok) return err(record.error);
        await write({ key, ...record.value });
        keys++;
      }
    } finally {
      await view.close();
    }
    out.end(`${toJson({ end: lineCount, sum: hash.digest('hex') })}\n`);
    await once(out, 'finish');
    await syncPath(temporary);
    await rename(temporary, file);
    await syncPath(dirname(file));
    return ok({ keys, revision });
  });
}

async function syncPath(path: string): Promise<void> {
  const handle = await open(path, 'r');
  await handle.sync();
  await handle.close();
}

/** Restores a snapshot into an empty folder. The whole file is checked before anything is written. */
export async function restoreSnapshot(
  file: string,
  folder: string,
): Promise<Result<SnapshotSummary, string>> {
  if (existsSync(folder) && readdirSync(folder).length > 0) return err(`${folder} is not empty`);
  const checked = await readSnapshot(file, () => Promise.resolve());
  if (!checked.ok) return checked;
  const storage = await openStorage(folder);
  try {
    let batch: Write[] = [];
    const flush = async (): Promise<void> => {
      await storage.write(batch);
      batch = [];
    };
    const restored = await readSnapshot(file, async (writes) => {
      batch.push(...writes);
      if (batch.length >= 1000) await flush();
    });
    if (!restored.ok) throw new Error(restored.error);
    const { header, summary } = restored.value;
    // The header has the snapshot's revision as compacted, so watches from older revisions are told to list the keys again.
    batch.push({ name: RecordNames.header, bytes: packHeader(header) });
    await flush();
    return ok(summary);
  } catch (e) {
    await storage.close();
    await rm(folder, { recursive: true, force: true });
    return err(`${file}: ${messageOf(e)}`);
  } finally {
    await storage.close().catch(() => undefined);
  }
}

async function readSnapshot(
  file: string,
  onRecord: (writes: Write[]) => Promise<void>,
): Promise<Result<{ readonly header: Header; readonly summary: SnapshotSummary }, string>> {
  if (!existsSync(file)) return err(`${file}: no such file`);
  const hash: Hash = createHash('sha256');
  let lineCount = 0;
  let keys = 0;
  let header: Header | undefined;
  let ended = false;
  const lineError = (why: string) => err(`${file}: line ${lineCount + 1}: ${why}`);
  for await (const line of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
    if (ended) return lineError('there is more after the end');
    let value: unknown;
    try {
      value = fromJson(line);
    } catch {
      return lineError('not JSON');
    }
    const end = endLine.safeParse(value);
    if (end.success) {
      if (end.data.end !== lineCount || end.data.sum !== hash.digest('hex'))
        return lineError('the checksum does not match: this is not the whole snapshot');
      ended = true;
      continue;
    }
    hash.update(`${line}\n`);
    if (!header) {
      const first = headerLine.safeParse(value);
      if (!first.success) return lineError('this is no snapshot of a state');
      const { format, site, revision, nextLease } = first.data;
      if (format !== FORMAT_VERSION)
        return lineError(`format ${format}; this program reads format ${FORMAT_VERSION}`);
      header = {
        format,
        site,
        revision,
        lastChange: 0,
        firstChange: 1,
        forgotten: revision,
        nextLease,
        keys: 0,
      };
    } else {
      const lease = leaseLine.safeParse(value);
      const record = keyLine.safeParse(value);
      if (record.success) {
        const { key } = record.data;
        const leaseKeys = record.data.lease === 0 ? [] : [RecordNames.leaseKey(record.data.lease, key)];
        await onRecord([
          { name: RecordNames.key(key), bytes: packKeyRecord(key, record.data) },
          ...leaseKeys.map((name) => ({ name, bytes: new Uint8Array() })),
        ]);
        keys++;
      } else if (lease.success) {
        const { ttlMs } = lease.data;
        await onRecord([
          { name: RecordNames.lease(lease.data.lease), bytes: packLease(lease.data.lease, ttlMs) },
        ]);
      } else return lineError('not a record');
    }
    lineCount++;
  }
  if (!header || !ended) return lineError('the file ends in the middle');
  return ok({ header: { ...header, keys }, summary: { keys, revision: header.revision } });
}

/** Checks every key and change in the folder. */
export function verifyFolder(folder: string): Promise<Result<SnapshotSummary, string>> {
  return withTable(folder, async (table) => {
    const found = await table.verify();
    if (!found.ok) return err(found.error.join('\n'));
    return ok({ keys: found.value.keys, revision: table.header.revision });
  });
}
