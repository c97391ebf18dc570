import { hmac } from '@noble/hashes/hmac.js';
import { sha256 } from '@noble/hashes/sha2.js';
import { bytesToHex, hexToBytes, utf8ToBytes } from '@noble/hashes/utils.js';
import { randomBytes, timingSafeEqual } from 'node:crypto';
import type { Clock } from '../transport/clock.js';
import type { RequestHead, RequestSigner } from '../transport/http.js';
import { Nonces } from './nonces.js';

/** A client's identity: its name, its role, and the secret that it shares with the server. */
export interface Key {
  readonly name: string;
  readonly secret: Uint8Array;
  readonly role: Role;
}

export type Role =
  | { readonly kind: 'reader' }
  | { readonly kind: 'submitter'; readonly teams: readonly string[] }
  | { readonly kind: 'operator' }
  /** The components of the site among themselves. */
  | { readonly kind: 'node' };

export const MAC_HEADER = 'x-gorseyoke-mac';
const NO_BYTES = new Uint8Array();

/** MAC of a request. It covers the body by the body's hash, so that the body may be large. */
const macOf = (
  secret: Uint8Array,
  method: string,
  path: string,
  time: string,
  nonce: string,
  body: Uint8Array,
): Uint8Array =>
  hmac(sha256, secret, utf8ToBytes(`v1\n${method}\n${path}\n${time}\n${nonce}\n${bytesToHex(sha256(body))}`));

export const signer =
  (key: Key, clock: Clock): RequestSigner =>
  (method, path, body) => {
    const time = String(Math.round(clock.wall()));
    const nonce = randomBytes(12).toString('hex');
    const mac = bytesToHex(macOf(key.secret, method, path, time, nonce, body ?? NO_BYTES));
    return { [MAC_HEADER]: `v1 ${key.name} ${time} ${nonce} ${mac}` };
  };

const HEADER_PATTERN = /^v1 ([a-z][a-z0-9-]{0,40}) ([0-9]{1,16}) ([0-9a-f]{24}) ([0-9a-f]{64})$/;

/** Identifies the key that signed a request. The caller does not learn which part of an invalid request was wrong. */
export class Verifier {
  private readonly keys: ReadonlyMap<string, Key>;
  private readonly nonces: Nonces;

  constructor(keys: readonly Key[], clock: Clock) {
    this.nonces = new Nonces(clock);
    this.keys = new Map(keys.map((k) => [k.name, k]));
  }

  verify(head: RequestHead, body: Uint8Array): Key | undefined {
    const header = head.headers[MAC_HEADER];
    const parts = typeof header === 'string' ? HEADER_PATTERN.exec(header) : null;
    if (!parts) return undefined;
    const [, name, time, nonce, mac] = parts as unknown as [string, string, string, string, string];
    const key = this.keys.get(name);
    // Verification takes the same time for an unknown key, so that timing does not reveal which keys exist.
    const secret = key?.secret ?? NO_BYTES;
    const expectedMac = macOf(secret, head.method ?? '', head.url ?? '', time, nonce, body);
    if (!timingSafeEqual(expectedMac, hexToBytes(mac)) || !key) return undefined;
    return this.nonces.take(`${name} ${nonce}`, Number(time)) ? key : undefined;
  }
}
