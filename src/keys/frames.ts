import { hmac } from '@noble/hashes/hmac.js';
import { sha256 } from '@noble/hashes/sha2.js';
import { concatBytes } from '@noble/hashes/utils.js';
import { randomBytes, timingSafeEqual } from 'node:crypto';
import type { Clock } from '../transport/clock.js';
import type { FrameGuard } from '../transport/mesh.js';
import { WINDOW_MS, type Key } from './mac.js';

const TIME = 8;
const NONCE = 12;
const MAC = 32;

/** What controllers say to one another: time, nonce and a code before each frame. */
export function frameGuard(key: Key, clock: Clock): FrameGuard {
  let seen = new Set<string>();
  let before = new Set<string>();
  let turnedAt: number = clock.now();
  const fresh = (nonce: string): boolean => {
    if (clock.now() - turnedAt > 2 * WINDOW_MS) {
      before = seen;
      seen = new Set();
      turnedAt = clock.now();
    }
    if (seen.has(nonce) || before.has(nonce)) return false;
    seen.add(nonce);
    return true;
  };
  return {
    seal(bytes) {
      const head = Buffer.alloc(TIME);
      head.writeBigUInt64BE(BigInt(Math.round(clock.wall())));
      const signed = concatBytes(head, randomBytes(NONCE), bytes);
      return concatBytes(hmac(sha256, key.secret, signed), signed);
    },
    open(bytes) {
      if (bytes.length < MAC + TIME + NONCE) return undefined;
      const signed = bytes.subarray(MAC);
      if (!timingSafeEqual(hmac(sha256, key.secret, signed), bytes.subarray(0, MAC))) return undefined;
      const time = Number(Buffer.from(signed.subarray(0, TIME)).readBigUInt64BE());
      if (Math.abs(clock.wall() - time) > WINDOW_MS) return undefined;
      const nonce = Buffer.from(signed.subarray(TIME, TIME + NONCE)).toString('latin1');
      return fresh(nonce) ? signed.subarray(TIME + NONCE) : undefined;
    },
  };
}
