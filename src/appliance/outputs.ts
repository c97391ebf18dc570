import { existsSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { err, ok, type Result } from '../transport/result.js';
import { parseTaskName } from '../protocol/ids.js';

/** Returns the output files of a task's latest attempt: standard output first, then standard error, each oldest first. */
export function latestOutput(folder: string, task: string): Result<readonly string[], string> {
  const name = parseTaskName(task);
  if (!name) return err(`'${task}' is no task; tasks look like req-000001/0`);
  const prefix = `${name.job}-${name.index}-`;
  const attempts = (existsSync(folder) ? readdirSync(folder) : [])
    .filter((f) => f.startsWith(prefix) && /^[0-9]+$/.test(f.slice(prefix.length)))
    .sort((a, b) => Number(BigInt(a.slice(prefix.length)) - BigInt(b.slice(prefix.length))));
  const latestAttempt = attempts.pop();
  if (latestAttempt === undefined) return err(`nothing is kept of ${task} here`);
  const path = join(folder, latestAttempt);
  const rotation = (file: string): number => (/\.[0-9]+$/.test(file) ? Number(file.split('.')[1]) : 0);
  const files = ['out', 'err'].flatMap((stream) =>
    readdirSync(path)
      .filter((f) => f === stream || f.startsWith(`${stream}.`))
      .sort((a, b) => rotation(b) - rotation(a)),
  );
  return ok(files.map((f) => join(path, f)));
}
