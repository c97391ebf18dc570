import { Crc32c } from '@aws-crypto/crc32c';

/** CRC-32C, the checksum of the storage's write-ahead log, as an unsigned number. */
export const crc32c = (bytes: Uint8Array): number => new Crc32c().update(bytes).digest() >>> 0;
