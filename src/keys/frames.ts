import { hmac } from '@noble/hashes/hmac.js';
import { sha256 } from '@noble/hashes/sha2.js';
import { concatBytes } from '@noble/hashes/utils.js';
import { randomBytes, timingSafeEqual } from 'node:crypto';
import type { Clock } from '../transport/clock.js';
import type { FrameGuard } from '../transport/mesh.js';
import type { Key } from './mac.js';
import { Nonces } from './nonces.js';

const TIME_BYTES = 8;
const NONCE_BYTES = 12;
const MAC_BYTES = 32;

/** Authenticates the frames between controllers: each frame is preceded by a MAC, the time of day and a nonce. */
export function frameGuard(key: Key, clock: Clock): FrameGuard {
  const nonces = new Nonces(clock);
  return {
    seal(bytes) {
      const head = Buffer.alloc(TIME_BYTES);
      head.writeBigUInt64BE(BigInt(Math.round(clock.wall())));
      const signed = concatBytes(head, randomBytes(NONCE_BYTES), bytes);
      return concatBytes(hmac(sha256, key.secret, signed), signed);
    },
    open(bytes) {
      if (bytes.length < MAC_BYTES + TIME_BYTES + NONCE_BYTES) return undefined;
      const signed = bytes.subarray(MAC_BYTES);
      if (!timingSafeEqual(hmac(sha256, key.secret, signed), bytes.subarray(0, MAC_BYTES))) return undefined;
      const time = Number(Buffer.from(signed.subarray(0, TIME_BYTES)).readBigUInt64BE());
      const nonce = Buffer.from(signed.subarray(TIME_BYTES, TIME_BYTES + NONCE_BYTES)).toString('latin1');
      return nonces.take(nonce, time) ? signed.subarray(TIME_BYTES + NONCE_BYTES) : undefined;
    },
  };
}
