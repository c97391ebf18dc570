import { crc32c } from './crc.js';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

/**
 * The storage's write-ahead log, in the format that its library documents: blocks of 32 KiB, each record with a masked CRC-32C,
 * a length and a kind. On opening, the library leaves out the rest of a block behind a record that doesn't match, in silence.
 * At the very end of a log that is right: there a cut tore a write that nobody was answered. Whole records behind a broken one
 * mean damage to what was answered, and that is said.
 */
const BLOCK = 32 * 1024;
const HEADER = 7;
const MASK = 0xa282ead8;

const masked = (crc: number): number => (((crc >>> 15) | (crc << 17)) + MASK) >>> 0;

/** Length of the whole record that begins here; undefined where none does. */
function recordAt(log: Buffer, at: number): number | undefined {
  const left = BLOCK - (at % BLOCK);
  if (left < HEADER || at + HEADER > log.length) return undefined;
  const length = log.readUInt16LE(at + 4);
  const kind = log[at + 6]!;
  if (kind < 1 || kind > 4 || HEADER + length > left || at + HEADER + length > log.length) return undefined;
  const sum = crc32c(log.subarray(at + 6, at + HEADER + length));
  return masked(sum) === log.readUInt32LE(at) ? HEADER + length : undefined;
}

/** Where the log stops making sense; undefined: nowhere. */
function brokenAt(log: Buffer): number | undefined {
  let at = 0;
  while (at < log.length) {
    const left = BLOCK - (at % BLOCK);
    if (left < HEADER) {
      at += left;
      continue;
    }
    const length = recordAt(log, at);
    if (length === undefined) return at;
    at += length;
  }
  return undefined;
}

/** What is wrong with the logs of a folder; undefined where only a torn end is, or nothing. */
export function checkLogs(folder: string): string | undefined {
  for (const name of readdirSync(folder).filter((f) => /^[0-9]+\.log$/.test(f))) {
    const log = readFileSync(join(folder, name));
    const broken = brokenAt(log);
    if (broken === undefined) continue;
    for (let at = broken + 1; at + HEADER <= log.length; at++) {
      if (recordAt(log, at) !== undefined)
        return `${name} is damaged at byte ${broken}: there are whole records behind it, from byte ${at} on`;
    }
  }
  return undefined;
}
