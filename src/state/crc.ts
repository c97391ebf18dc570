import { Crc32c } from '@aws-crypto/crc32c';

/** The checksum of the storage's log, as an unsigned number. */
export const crc32c = (bytes: Uint8Array): number => new Crc32c().update(bytes).digest() >>> 0;
