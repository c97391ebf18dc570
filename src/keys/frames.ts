import { hmac } from '@noble/hashes/hmac.js';
import { sha256 } from '@noble/hashes/sha2.js';
import { concatBytes } from '@noble/hashes/utils.js';
import { randomBytes, timingSafeEqual } from 'node:crypto';
import type { Clock } from '../transport/clock.js';
import type { FrameGuard } from '../transport/mesh.js';
import type { Key } from './mac.js';
import { Nonces } from './nonces.js';

const TIME = 8;
const NONCE = 12;
const MAC = 32;

/** What controllers say to one another: time, nonce and a code before each frame. */
export function frameGuard(key: Key, clock: Clock): FrameGuard {
  const nonces = new Nonces(clock);
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
      const nonce = Buffer.from(signed.subarray(TIME, TIME + NONCE)).toString('latin1');
      return nonces.take(nonce, time) ? signed.subarray(TIME + NONCE) : undefined;
    },
  };
}
