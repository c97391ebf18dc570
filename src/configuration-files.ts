import { readFileSync } from 'node:fs';
import type { Result } from './transport/result.js';
import {
  defaultOperatorSettings,
  parseOperatorSettings,
  type OperatorSettings,
} from './protocol/operator-settings.js';
import { parseSettings, type Settings } from './protocol/settings.js';
import { messageOf } from './transport/error-message.js';

/** Shared by all entry points of the program: exit codes, and reading configuration files. */
export const EXIT_CODE = { usage: 2, missing: 3, settings: 4, serving: 5, remote: 6 } as const;

export function exitWithError(code: number, lines: readonly string[]): never {
  for (const line of lines) process.stderr.write(`gorseyoke: ${line}\n`);
  process.exit(code);
}

export function readFileOrExit(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (e) {
    return exitWithError(EXIT_CODE.missing, [
      `${path}: ${(e as NodeJS.ErrnoException).code === 'ENOENT' ? 'no such file' : messageOf(e)}`,
    ]);
  }
}

function valueOrExit<T>(path: string, result: Result<T, readonly string[]>): T {
  return result.ok
    ? result.value
    : exitWithError(
        EXIT_CODE.settings,
        result.error.map((f) => `${path}: ${f}`),
      );
}

export async function loadConfiguration(
  config: string,
  operatorPath: string | undefined,
): Promise<{ settings: Settings; operator: OperatorSettings }> {
  const settings = valueOrExit(config, parseSettings(readFileOrExit(config)));
  const operator =
    operatorPath === undefined
      ? defaultOperatorSettings()
      : valueOrExit(operatorPath, await parseOperatorSettings(readFileOrExit(operatorPath)));
  return { settings, operator };
}
