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
import type * as z from 'zod';
import { err, ok, type Result } from './result.js';
import { firstLineOf } from './error-message.js';

/** Replaces the file atomically; its content is on the disk when this returns. */
export function writeFileDurably(path: string, text: string): void {
  mkdirSync(dirname(path), { recursive: true });
  const partPath = `${path}.part`;
  const file = openSync(partPath, 'w', 0o600);
  writeSync(file, text);
  fsyncSync(file);
  closeSync(file);
  renameSync(partPath, path);
  const directory = openSync(dirname(path), 'r');
  fsyncSync(directory);
  closeSync(directory);
}

export function readDurableFile<T>(path: string, schema: z.ZodType<T>): Result<T | undefined, string> {
  if (!existsSync(path)) return ok(undefined);
  try {
    return ok(schema.parse(JSON.parse(readFileSync(path, 'utf8'))));
  } catch (e) {
    return err(`${path}: ${firstLineOf(e)}`);
  }
}
