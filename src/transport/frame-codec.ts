/**
 * Encoding of the frames between controllers: length-delimited protobuf messages.
 *
 * Owns the wire form of a frame. On the wire a field is identified by its number; the names are used only within the process.
 */
import protobuf from 'protobufjs';

const FrameMessage = protobuf
  .parse(
    `
  syntax = "proto3";
  message Frame {
    string from = 1;
    uint64 incarnation = 2;
    uint32 kind = 3;
    uint64 number = 4;
    string term = 5;
    string holder = 6;
    string holder_address = 7;
    bool store_ok = 8;
    uint64 after = 9;
    repeated string aborted = 10;
    uint64 last = 11;
    repeated string zones = 12;
    repeated uint32 zone_ages_ms = 13;
    uint64 listed_from = 14;
    bool whole = 15;
  }
`,
    { keepCase: false },
  )
  .root.lookupType('Frame');

/** Longest frame that is read, in bytes. */
const MAX_FRAME_BYTES = 1 << 20;
/** A length prefix has at most five bytes of seven bits each. */
const MAX_LENGTH_SHIFT = 28;

export enum FrameKind {
  Ping = 1,
  Pong = 2,
}

/** What controllers send each other: the leader, whether the sender reaches the store, and which jobs are cancelled. */
export interface Frame {
  readonly from: string;
  /** Incarnation of the sender's process; when it changes, the sender's in-memory state is lost. */
  readonly incarnation: number;
  readonly kind: FrameKind;
  readonly number: number;
  /** Newest term that the sender knows. */
  readonly term: string;
  /** Leader of that term, and its address. */
  readonly holder: string;
  readonly holderAddress: string;
  readonly storeOk: boolean;
  /** Ping: the sender has the cancellations up to this number of the receiver's list. */
  readonly after: number;
  /**
   * Pong: entries of the sender's list of cancellations, the numbers of the first and the last one, and whether nothing
   * follows them. `listedFrom` 0: the sender is of an earlier version and does not set it.
   */
  readonly aborted: readonly string[];
  readonly listedFrom: number;
  readonly last: number;
  readonly whole: boolean;
  /** From the leader: zones, and the time since it last received a heartbeat from any agent of each. */
  readonly zones: readonly string[];
  readonly zoneAgesMs: readonly number[];
}

/** Signs frames to peers and verifies frames from them. */
export interface FrameGuard {
  seal(bytes: Uint8Array): Uint8Array;
  /** The frame's bytes; undefined when no peer signed it. */
  open(bytes: Uint8Array): Uint8Array | undefined;
}

/** Encodes a frame with its length in front. */
export function encodeFrame(frame: Frame, guard: FrameGuard | undefined): Uint8Array {
  const message = FrameMessage.fromObject(frame);
  if (!guard) return FrameMessage.encodeDelimited(message).finish();
  return protobuf.Writer.create()
    .bytes(guard.seal(FrameMessage.encode(message).finish()))
    .finish();
}

/**
 * Splits a byte stream into frames and delivers them. Returns the bytes of the last, incomplete one. Throws when the
 * stream is malformed or a frame is not from a peer; the connection is unusable then.
 */
export function splitFrames(
  stream: Buffer,
  guard: FrameGuard | undefined,
  deliver: (frame: Frame) => void,
): Buffer {
  let remaining = stream;
  for (;;) {
    const prefix = readLength(remaining);
    if (!prefix) return remaining;
    if (prefix.length > MAX_FRAME_BYTES) throw new Error('peer frame exceeds the maximum length');
    const end = prefix.start + prefix.length;
    if (remaining.length < end) return remaining;
    deliver(decodeFrame(remaining.subarray(prefix.start, end), guard));
    remaining = remaining.subarray(end);
  }
}

/** Reads the length in front of a frame and where the frame starts; undefined when the length is incomplete. */
function readLength(bytes: Buffer): { readonly length: number; readonly start: number } | undefined {
  let length = 0;
  let start = 0;
  let shift = 0;
  while (start < bytes.length) {
    const byte = bytes[start++]!;
    length += (byte & 0x7f) * 2 ** shift;
    if ((byte & 0x80) === 0) return { length, start };
    shift += 7;
    if (shift > MAX_LENGTH_SHIFT) throw new Error('length prefix of a peer frame is longer than five bytes');
  }
  return undefined;
}

function decodeFrame(bytes: Uint8Array, guard: FrameGuard | undefined): Frame {
  const opened = guard ? guard.open(bytes) : bytes;
  if (!opened) throw new Error('frame is not signed by a peer');
  const message = FrameMessage.decode(opened);
  return FrameMessage.toObject(message, {
    defaults: true,
    longs: Number,
    arrays: true,
  }) as unknown as Frame;
}
