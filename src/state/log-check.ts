import { crc32c } from './crc.js';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

/**
 * Checks LevelDB's write-ahead log, in the format that the library documents: blocks of 32 KiB, each record with a masked
 * CRC-32C, a length and a kind. On opening, the library silently skips the rest of a block after a record whose checksum does not
 * match. That is right at the very end of a log, where a power cut tore a write that was never acknowledged. Intact records after
 * an invalid one mean that acknowledged data is damaged, which this check reports.
 */
const BLOCK_BYTES = 32 * 1024;
const RECORD_HEADER_BYTES = 7;
const CRC_MASK_DELTA = 0xa282ead8;

const masked = (crc: number): number => (((crc >>> 15) | (crc << 17)) + CRC_MASK_DELTA) >>> 0;

/** Length, with header, of the valid record at this offset; undefined if there is none. */
function recordLengthAt(log: Buffer, at: number): number | undefined {
  const left = BLOCK_BYTES - (at % BLOCK_BYTES);
  if (left < RECORD_HEADER_BYTES || at + RECORD_HEADER_BYTES > log.length) return undefined;
  const length = log.readUInt16LE(at + 4);
  const kind = log[at + 6]!;
  if (
    kind < 1 ||
    kind > 4 ||
    RECORD_HEADER_BYTES + length > left ||
    at + RECORD_HEADER_BYTES + length > log.length
  )
    return undefined;
  const checksum = crc32c(log.subarray(at + 6, at + RECORD_HEADER_BYTES + length));
  return masked(checksum) === log.readUInt32LE(at) ? RECORD_HEADER_BYTES + length : undefined;
}

/** Offset of the first invalid record; undefined if all are valid. */
function firstInvalidOffset(log: Buffer): number | undefined {
  let at = 0;
  while (at < log.length) {
    const left = BLOCK_BYTES - (at % BLOCK_BYTES);
    if (left < RECORD_HEADER_BYTES) {
      at += left;
      continue;
    }
    const length = recordLengthAt(log, at);
    if (length === undefined) return at;
    at += length;
  }
  return undefined;
}

/** Describes damage to the logs of a folder; undefined if they are intact or have only a torn end. */
export function checkLogs(folder: string): string | undefined {
  for (const name of readdirSync(folder).filter((f) => /^[0-9]+\.log$/.test(f))) {
    const log = readFileSync(join(folder, name));
    const invalidAt = firstInvalidOffset(log);
    if (invalidAt === undefined) continue;
    for (let at = invalidAt + 1; at + RECORD_HEADER_BYTES <= log.length; at++) {
      if (recordLengthAt(log, at) !== undefined)
        return `${name} is damaged at byte ${invalidAt}: intact records follow it, from byte ${at} on`;
    }
  }
  return undefined;
}
