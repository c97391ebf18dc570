/**
 * Periodically writes which machines hold which images, many machines in one record. A new leader without this would send every
 * start to a machine without the image. The records are only a hint, so nothing is lost if they are outdated or incomplete.
 */
import { RequestPriority } from '../../transport/rate-limiter.js';
import type { SteadyMs } from '../../transport/clock.js';
import type { MachineId } from '../../protocol/ids.js';
import type { Change } from '../../protocol/state.js';
import {
  Keys,
  seal,
  splitIntoTransactions,
  type CachedImageRecord,
  type SealedRecord,
} from '../../storage/records.js';
import type { Machine } from '../../cluster/cluster-state.js';
import type { FencedWriter } from '../leader/fenced-writer.js';
import type { LeaderContext } from '../leader/leader-context.js';
import type { CompletionClusterState } from '../leader/cluster-state-views.js';

/** A hint justifies only a few changes in such an interval. */
const WRITE_INTERVAL_MS = 20_000;
/** Maximum number of records: at the smallest value limit they hold seven images on each of 4,000 machines. */
const MAX_IMAGE_RECORDS = 40;
/** Bytes of the store's value limit reserved for the envelope of a record. */
const ENVELOPE_BYTES = 256;
/** Bytes of an image's entry besides its name and machines. */
const ENTRY_BYTES = 40;
/** An entry is begun only where a machine's name fits beside it. */
const MIN_ENTRY_MACHINES_BYTES = 32;
/** Bytes of a machine in an entry besides its name. */
const MACHINE_BYTES = 3;

/** Writes the cached-image records during one leader's term. */
export class CachedImageWriter {
  private writtenAt = 0 as SteadyMs;

  constructor(
    private readonly leader: LeaderContext<CompletionClusterState>,
    private readonly writer: FencedWriter,
  ) {}

  /** Writes the records if the images of any machine changed and `WRITE_INTERVAL_MS` has passed since the last write. */
  async writeIfDue(cluster: CompletionClusterState): Promise<void> {
    const { clock, settings } = this.leader.dependencies;
    const now = clock.now();
    if (!cluster.imagesChanged || now - this.writtenAt < WRITE_INTERVAL_MS) return;
    this.writtenAt = now;
    cluster.imagesChanged = false;
    const changes = imageChanges(cluster.machines.values(), settings.store);
    // Each value is within the limit, but all together may exceed that of one transaction. One transaction would then be refused
    // for its size every twenty seconds, and a new leader would know of no image.
    for (const part of splitIntoTransactions(changes, settings.store.txnOps)) {
      if (!this.leader.isActive()) return;
      const outcome = await this.writer.write([], part, RequestPriority.GarbageCollection);
      // Without a confirmation the records are written again after the next interval.
      if (!outcome.ok || outcome.value.kind !== 'committed') cluster.imagesChanged = true;
    }
  }
}

/** Returns the changes that write the records; what does not fit in `MAX_IMAGE_RECORDS` is left out. */
export function imageChanges(
  machines: Iterable<Machine>,
  limits: { readonly valueKb: number; readonly txnOps: number },
): Change[] {
  return packImageRecords(machines, limits.valueKb)
    .slice(0, Math.max(limits.txnOps, MAX_IMAGE_RECORDS))
    .map((value, i) => ({ op: 'put', key: Keys.cachedImages(i), value }));
}

/** Packs the machines of each image into as few records as hold them. */
function packImageRecords(machines: Iterable<Machine>, valueKb: number): SealedRecord[] {
  const packer = new ImageRecordPacker(valueKb * 1024 - ENVELOPE_BYTES);
  for (const [name, { gb, on }] of machinesByImage(machines)) packer.add(name, gb, on);
  return packer.finish();
}

function machinesByImage(machines: Iterable<Machine>): Map<string, { gb: number; on: MachineId[] }> {
  const byImage = new Map<string, { gb: number; on: MachineId[] }>();
  for (const machine of machines) {
    for (const [name, gb] of machine.cachedImages) {
      const entry = byImage.get(name);
      if (entry) entry.on.push(machine.id);
      else byImage.set(name, { gb, on: [machine.id] });
    }
  }
  return byImage;
}

/** Fills records one after another. */
class ImageRecordPacker {
  private readonly records: SealedRecord[] = [];
  private entries: CachedImageRecord[] = [];
  private bytes = 0;

  constructor(private readonly maxBytes: number) {}

  add(name: string, gb: number, machines: readonly MachineId[]): void {
    const entryBytes = name.length + ENTRY_BYTES;
    for (let from = 0; from < machines.length;) {
      if (this.bytes + entryBytes + MIN_ENTRY_MACHINES_BYTES > this.maxBytes) this.close();
      const machineBytes = machines[from]!.length + MACHINE_BYTES;
      const fitting = Math.floor((this.maxBytes - this.bytes - entryBytes) / machineBytes);
      const count = Math.max(1, Math.min(machines.length - from, fitting));
      this.entries.push({ name, gb, on: machines.slice(from, from + count) });
      this.bytes += entryBytes + count * machineBytes;
      from += count;
    }
  }

  finish(): SealedRecord[] {
    this.close();
    return this.records;
  }

  private close(): void {
    if (this.entries.length > 0) this.records.push(seal({ images: this.entries }));
    this.entries = [];
    this.bytes = 0;
  }
}
