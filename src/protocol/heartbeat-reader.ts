import { ok, type Result } from '../transport/result.js';
import { decode } from './codec.js';
import type { Address, MachineId, HeartbeatSequence, AgentEpoch, Term, TypeName, ZoneName } from './ids.js';
import { F } from './wire.js';
import {
  decodeHeartbeat,
  isWireTask,
  toReportedTask,
  type Heartbeat,
  type ReportedTask,
} from './heartbeats.js';

/** Minimum size limit of each of the two generations of cached tasks, in bytes of their encoded form. */
const MIN_GENERATION_BYTES = 1_500_000;
/**
 * Size limit of a generation as a multiple of the task bytes in all machines' latest heartbeats. A generation too small for all
 * of these tasks fills up within one heartbeat interval, and then nearly every task is decoded again in each interval.
 */
const GENERATION_SIZE_FACTOR = 2;
/** Maximum size limit of a generation, whatever the heartbeats contain: about 40 tasks on each of 4,000 machines. */
const MAX_GENERATION_BYTES = 12_000_000;
/** A larger task entry is unusual and not worth caching; its heartbeat is left to the general decoder. */
const MAX_CACHED_TASK_BYTES = 400;

/** Major types and simple values of CBOR. */
const UINT = 0;
const TEXT = 3;
const LIST = 4;
const MAP = 5;
const FALSE = 0xf4;
const TRUE = 0xf5;
const NULL = 0xf6;

/** Thrown and caught only in this file: the bytes differ from what agents usually send and are left to the general decoder. */
class UnsupportedForm extends Error {}
const UNSUPPORTED_FORM = new UnsupportedForm();

/** Reads over the usual kinds of CBOR items without building objects from them. */
class CborCursor {
  offset = 0;

  constructor(readonly bytes: Buffer) {}

  /** Reads the head of an item of this major type and returns its argument: a length, a count or a value. */
  readHead(majorType: number): number {
    const first = this.bytes[this.offset];
    if (first === undefined || first >> 5 !== majorType) throw UNSUPPORTED_FORM;
    return this.readArgument();
  }

  private readArgument(): number {
    const info = this.bytes[this.offset++]! & 31;
    if (info < 24) return info;
    const width = info === 24 ? 1 : info === 25 ? 2 : info === 26 ? 4 : info === 27 ? 8 : 0;
    if (width === 0 || this.offset + width > this.bytes.length) throw UNSUPPORTED_FORM;
    const { offset: start } = this;
    this.offset += width;
    if (width < 8) return this.bytes.readUIntBE(start, width);
    const value = this.bytes.readUInt32BE(start) * 2 ** 32 + this.bytes.readUInt32BE(start + 4);
    if (!Number.isSafeInteger(value)) throw UNSUPPORTED_FORM;
    return value;
  }

  readText(): string {
    const length = this.readHead(TEXT);
    const start = this.offset;
    this.offset += length;
    if (length === 0 || this.offset > this.bytes.length) throw UNSUPPORTED_FORM;
    return this.bytes.toString('utf8', start, this.offset);
  }

  readByte(): number {
    const byte = this.bytes[this.offset++];
    if (byte === undefined) throw UNSUPPORTED_FORM;
    return byte;
  }

  skip(depth = 0): void {
    const first = this.bytes[this.offset];
    if (first === undefined || depth > 8) throw UNSUPPORTED_FORM;
    const majorType = first >> 5;
    if (majorType === 7) {
      const info = first & 31;
      this.offset += info < 24 ? 1 : info === 25 ? 3 : info === 26 ? 5 : info === 27 ? 9 : Infinity;
    } else if (majorType === 6) throw UNSUPPORTED_FORM;
    else {
      const argument = this.readArgument();
      if (majorType === 2 || majorType === TEXT) this.offset += argument;
      else if (majorType === LIST || majorType === MAP) {
        for (let itemsLeft = majorType === MAP ? 2 * argument : argument; itemsLeft > 0; itemsLeft--)
          this.skip(depth + 1);
      }
    }
    if (this.offset > this.bytes.length) throw UNSUPPORTED_FORM;
  }
}

/**
 * Decodes agents' heartbeats and caches the decoded tasks. Hundreds of heartbeats arrive per second, and nearly all of each
 * repeats, byte for byte, what the previous one contained about the same tasks. So only tasks that are not cached are decoded
 * by the library and checked; for the others the cached objects are returned. A heartbeat in any unusual form is left to the
 * library and the schema as a whole.
 */
export class HeartbeatReader {
  private currentGeneration = new Map<string, ReportedTask>();
  private previousGeneration = new Map<string, ReportedTask>();
  private currentGenerationBytes = 0;
  /** Size of the task list in each machine's latest heartbeat since the current generation began, and their sum. */
  private readonly taskBytesByMachine = new Map<string, number>();
  private totalTaskBytes = 0;
  /** Number of tasks decoded, and of heartbeats left to the schema; for tests and operators. */
  decodedTaskCount = 0;
  fallbackCount = 0;

  /** Number of cached tasks, for the tests that bound it. */
  get cachedTaskCount(): number {
    return this.currentGeneration.size + this.previousGeneration.size;
  }

  read(body: Uint8Array): Result<Heartbeat, string> {
    try {
      return ok(this.readCached(body));
    } catch (error) {
      if (!(error instanceof UnsupportedForm)) throw error;
      this.fallbackCount++;
      return decodeHeartbeat(body);
    }
  }

  private readCached(body: Uint8Array): Heartbeat {
    const bytes = Buffer.from(body.buffer, body.byteOffset, body.length);
    const cursor = new CborCursor(bytes);
    let machine, address, type, zone: string | undefined;
    let spot: boolean | undefined;
    let epoch, sequence, token: number | undefined;
    let tasks: readonly ReportedTask[] | undefined;
    let taskBytes = 0;
    for (let fieldsLeft = cursor.readHead(MAP); fieldsLeft > 0; fieldsLeft--) {
      switch (cursor.readText()) {
        case F.machine:
          machine = cursor.readText();
          break;
        case F.address:
          address = cursor.readText();
          break;
        case F.type:
          type = cursor.readText();
          break;
        case F.zone:
          zone = cursor.readText();
          break;
        case F.spot: {
          const value = cursor.readByte();
          if (value !== TRUE && value !== FALSE) throw UNSUPPORTED_FORM;
          spot = value === TRUE;
          break;
        }
        case F.agentEpoch:
          epoch = cursor.readHead(UINT);
          break;
        case F.seq:
          sequence = cursor.readHead(UINT);
          break;
        case F.token:
          token = cursor.readHead(UINT);
          break;
        case F.noticeS:
          // A termination notice is rare, so the general decoder handles it.
          if (cursor.readByte() !== NULL) throw UNSUPPORTED_FORM;
          break;
        case F.tasks: {
          const tasksStart = cursor.offset;
          tasks = this.readTasks(cursor);
          taskBytes = cursor.offset - tasksStart;
          break;
        }
        default:
          cursor.skip();
      }
    }
    if (
      cursor.offset !== bytes.length ||
      machine === undefined ||
      address === undefined ||
      type === undefined
    )
      throw UNSUPPORTED_FORM;
    if (zone === undefined || spot === undefined || tasks === undefined) throw UNSUPPORTED_FORM;
    if (epoch === undefined || sequence === undefined || token === undefined) throw UNSUPPORTED_FORM;
    this.totalTaskBytes += taskBytes - (this.taskBytesByMachine.get(machine) ?? 0);
    this.taskBytesByMachine.set(machine, taskBytes);
    return {
      machine: machine as MachineId,
      address: address as Address,
      type: type as TypeName,
      zone: zone as ZoneName,
      spot,
      epoch: BigInt(epoch) as AgentEpoch,
      sequence: BigInt(sequence) as HeartbeatSequence,
      token: BigInt(token) as Term,
      noticeS: null,
      tasks,
    };
  }

  private readTasks(cursor: CborCursor): ReportedTask[] {
    const tasks: ReportedTask[] = [];
    for (let tasksLeft = cursor.readHead(LIST); tasksLeft > 0; tasksLeft--) {
      const start = cursor.offset;
      cursor.skip();
      const task = this.readTask(cursor.bytes, start, cursor.offset);
      if (task) tasks.push(task);
    }
    return tasks;
  }

  private readTask(bytes: Buffer, start: number, end: number): ReportedTask | undefined {
    if (end - start > MAX_CACHED_TASK_BYTES) throw UNSUPPORTED_FORM;
    const key = bytes.toString('latin1', start, end);
    const cached = this.currentGeneration.get(key);
    if (cached) return cached;
    const previous = this.previousGeneration.get(key);
    if (previous) {
      this.cacheTask(key, previous);
      return previous;
    }
    const data = decode(bytes.subarray(start, end));
    if (!data.ok || !isWireTask(data.value)) throw UNSUPPORTED_FORM;
    this.decodedTaskCount++;
    const task = toReportedTask(data.value);
    if (task) this.cacheTask(key, task);
    return task;
  }

  /**
   * Adds a task to the current generation. A generation that reaches its size limit replaces the previous one, so a task that no
   * heartbeat contained for a whole generation is evicted.
   */
  private cacheTask(key: string, task: ReportedTask): void {
    const maxBytes = Math.min(
      MAX_GENERATION_BYTES,
      Math.max(MIN_GENERATION_BYTES, GENERATION_SIZE_FACTOR * this.totalTaskBytes),
    );
    if (this.currentGenerationBytes + key.length > maxBytes) {
      this.previousGeneration = this.currentGeneration;
      this.currentGeneration = new Map();
      this.currentGenerationBytes = 0;
      this.taskBytesByMachine.clear();
      this.totalTaskBytes = 0;
    }
    this.currentGeneration.set(key, task);
    this.currentGenerationBytes += key.length;
  }
}
