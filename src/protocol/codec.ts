import { decode as cborDecode, encode as cborEncode } from 'cborg';
import * as z from 'zod';
import { err, ok, type Result } from '../transport/result.js';

export type Data = unknown;

export const encode = (value: unknown): Uint8Array => cborEncode(value);

export function decode(bytes: Uint8Array): Result<Data, string> {
  try {
    return ok(cborDecode(bytes));
  } catch {
    return err('body is not CBOR');
  }
}

const MAX_U64 = 2n ** 64n - 1n;

/** A count, version, token or attempt: any integer below 2^64, decoded to a bigint. */
export const u64 = z
  .union([z.number().int().nonnegative(), z.bigint()])
  .transform((v) => BigInt(v))
  .refine((v) => v >= 0n && v <= MAX_U64, 'must be an integer below 2^64');

export const nonNegativeNumber = z.number().nonnegative();

/** The first error that zod reports, as one line that names the field. */
export function describeZodError(error: z.ZodError): string {
  const issue = error.issues[0];
  if (!issue) return 'invalid';
  const where = issue.path.map(String).join('.');
  return where === '' ? issue.message : `${where}: ${issue.message}`;
}

export function parse<T>(schema: z.ZodType<T>, value: unknown): Result<T, string> {
  const result = schema.safeParse(value);
  return result.success ? ok(result.data) : err(describeZodError(result.error));
}

export function decodeAs<T>(schema: z.ZodType<T>, bytes: Uint8Array | undefined): Result<T, string> {
  if (!bytes) return err('no body');
  const data = decode(bytes);
  return data.ok ? parse(schema, data.value) : data;
}

/** Size of a value as the protocol counts it: the bytes of its JSON form. */
export const jsonByteLength = (value: unknown): number =>
  Buffer.byteLength(
    // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- `undefined` has no JSON form, whatever the declared type says
    JSON.stringify(value, (_, v: unknown) => (typeof v === 'bigint' ? Number(v) : v)) ?? '',
  );
