import {
  closeSync,
  existsSync,
  fsyncSync,
  mkdirSync,
  openSync,
  readFileSync,
  renameSync,
  writeSync,
} from 'node:fs';
import { dirname } from 'node:path';
import * as z from 'zod';
import { err, ok, type Result } from '../transport/result.js';

/** Whole or not at all, and on the disk when it returns. */
export function writeDurably(path: string, text: string): void {
  mkdirSync(dirname(path), { recursive: true });
  const part = `${path}.part`;
  const file = openSync(part, 'w', 0o600);
  writeSync(file, text);
  fsyncSync(file);
  closeSync(file);
  renameSync(part, path);
  const folder = openSync(dirname(path), 'r');
  fsyncSync(folder);
  closeSync(folder);
}

export function readDurable<T>(path: string, schema: z.ZodType<T>): Result<T | undefined, string> {
  if (!existsSync(path)) return ok(undefined);
  try {
    return ok(schema.parse(JSON.parse(readFileSync(path, 'utf8'))));
  } catch (e) {
    return err(`${path}: ${(e as Error).message.split('\n')[0]}`);
  }
}

/** What an agent must know of its earlier life: a session is never used twice, and no older token is obeyed. */
export interface Memory {
  readonly machine: string | null;
  readonly session: number;
  readonly token: string;
}

export const memorySchema = z.object({
  machine: z.string().nullable(),
  session: z.number().int().nonnegative(),
  token: z.string().regex(/^[0-9]+$/),
});
