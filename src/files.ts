import { readFileSync } from 'node:fs';
import type { Result } from './transport/result.js';
import { defaultOperator, parseOperator, type Operator } from './protocol/operator.js';
import { parseSettings, type Settings } from './protocol/settings.js';

/** What every entry of the program shares: its exit codes, and reading the files it is given. */
export const EXIT = { usage: 2, missing: 3, settings: 4, serving: 5, remote: 6 } as const;

export function fail(code: number, lines: readonly string[]): never {
  for (const line of lines) process.stderr.write(`gorseyoke: ${line}\n`);
  process.exit(code);
}

export function read(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (e) {
    return fail(EXIT.missing, [
      `${path}: ${(e as NodeJS.ErrnoException).code === 'ENOENT' ? 'no such file' : (e as Error).message}`,
    ]);
  }
}

function orFail<T>(path: string, result: Result<T, readonly string[]>): T {
  return result.ok
    ? result.value
    : fail(
        EXIT.settings,
        result.error.map((f) => `${path}: ${f}`),
      );
}

export async function loadAll(
  config: string,
  operatorPath: string | undefined,
): Promise<{ settings: Settings; operator: Operator }> {
  const settings = orFail(config, parseSettings(read(config)));
  const operator =
    operatorPath === undefined
      ? defaultOperator()
      : orFail(operatorPath, await parseOperator(read(operatorPath)));
  return { settings, operator };
}
