/**
 * The envelope around every value of the state service: a format version, a checksum and a body. This module seals
 * and opens envelopes; it does not depend on the meaning of the bodies.
 */
import { createHash } from 'node:crypto';
import * as z from 'zod';
import { encode, jsonByteLength, parse } from '../../protocol/codec.js';
import { err, type Result } from '../../transport/result.js';

const FORMAT_VERSION = 1;
const CHECKSUM_LENGTH = 24;

/** Bytes of a value left unused: the service counts a little more than the record's JSON. */
const VALUE_MARGIN_BYTES = 64;

/** A body as it is stored. */
export interface SealedRecord {
  /** Format version of the envelope. */
  readonly v: number;
  /** Checksum of the body. */
  readonly sum: string;
  readonly body: unknown;
}

const sealedRecordSchema = z.object({ v: z.number(), sum: z.string(), body: z.unknown() });

/** Returns the checksum of the body's canonical CBOR: map order and number width don't matter. */
export const checksum = (body: unknown): string =>
  createHash('sha256').update(encode(body)).digest('hex').slice(0, CHECKSUM_LENGTH);

/** Puts a body into an envelope. */
export const seal = (body: unknown): SealedRecord => ({ v: FORMAT_VERSION, sum: checksum(body), body });

/** Opens an envelope and checks its version, its checksum and its body's form; the error says which of them is wrong. */
export function unseal<T>(schema: z.ZodType<T>, value: unknown): Result<T, string> {
  const envelope = parse(sealedRecordSchema, value);
  if (!envelope.ok) return envelope;
  const { v, sum, body } = envelope.value;
  if (v !== FORMAT_VERSION) return err(`record version ${v} is not supported`);
  if (checksum(body) !== sum) return err('checksum does not match');
  return parse(schema, body);
}

/** Returns the bytes that a record may take in a value of `valueKb` KiB. */
const usableBytes = (valueKb: number): number => valueKb * 1024 - VALUE_MARGIN_BYTES;

/** Returns whether the record fits a value of `valueKb` KiB. */
export const fitsStoreValue = (sealed: SealedRecord, valueKb: number): boolean =>
  jsonByteLength(sealed) <= usableBytes(valueKb);

/** Returns the bytes that a value of `valueKb` KiB leaves beside this body and its envelope. */
export const bytesLeftBeside = (body: unknown, valueKb: number): number =>
  usableBytes(valueKb) - jsonByteLength({ v: FORMAT_VERSION, sum: '0'.repeat(CHECKSUM_LENGTH), body });
