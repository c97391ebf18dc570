/** The completed tasks of one job, as a bit set in memory. */
import { TASKS_PER_COMPLETION_CHUNK } from './completion-records.js';

const BYTES_PER_CHUNK = TASKS_PER_COMPLETION_CHUNK / 8;

const byteOf = (index: number): number => index >> 3;
const bitOf = (index: number): number => 1 << (index & 7);

/** Which tasks of a job are completed. It is loaded from completion records, and produces their chunks. */
export class CompletedTaskSet {
  private readonly bytes: Uint8Array;
  /** Number of completed tasks. */
  count = 0;

  constructor(readonly size: number) {
    this.bytes = new Uint8Array(Math.ceil(size / 8));
  }

  /** Returns whether the task is completed. */
  has(index: number): boolean {
    return (this.bytes[byteOf(index)]! & bitOf(index)) !== 0;
  }

  /** Adds a task; an index that is already in the set, or beyond the job's tasks, has no effect. */
  add(index: number): void {
    if (index >= this.size || this.has(index)) return;
    this.bytes[byteOf(index)]! |= bitOf(index);
    this.count++;
  }

  /** Adds the tasks of a stored chunk. */
  loadChunk(chunk: number, bits: string): void {
    const bytes = Buffer.from(bits, 'base64');
    const firstTask = chunk * TASKS_PER_COMPLETION_CHUNK;
    for (let i = 0; i < bytes.length * 8 && firstTask + i < this.size; i++) {
      if ((bytes[byteOf(i)]! & bitOf(i)) !== 0) this.add(firstTask + i);
    }
  }

  /** Returns the record of one chunk with `more` added; the set itself does not change. */
  chunkRecordWith(chunk: number, more: readonly number[]): { bits: string } {
    const firstTask = chunk * TASKS_PER_COMPLETION_CHUNK;
    const firstByte = chunk * BYTES_PER_CHUNK;
    const bytes = Buffer.from(this.bytes.slice(firstByte, firstByte + BYTES_PER_CHUNK));
    for (const index of more) bytes[byteOf(index - firstTask)]! |= bitOf(index - firstTask);
    return { bits: bytes.toString('base64') };
  }
}
