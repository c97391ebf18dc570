import { mkdirSync } from 'node:fs';
import { pino } from 'pino';
import { createStream } from 'rotating-file-stream';
import type { Log } from '../transport/log.js';

/** The site's log: one JSON line per event, in rotated files of bounded total size. */
export function fileLog(folder: string, member: string): Log {
  mkdirSync(folder, { recursive: true });
  const file = createStream('gorseyoke.log', { path: folder, size: '10M', maxFiles: 5 });
  file.on('error', () => undefined);
  const logger = pino({ base: { member }, formatters: { level: (label) => ({ level: label }) } }, file);
  const toJsonFields = (fields: Record<string, unknown> = {}): Record<string, unknown> =>
    Object.fromEntries(Object.entries(fields).map(([k, v]) => [k, typeof v === 'bigint' ? Number(v) : v]));
  return {
    error: (event, fields) => logger.error(toJsonFields(fields), event),
    info: (event, fields) => logger.info(toJsonFields(fields), event),
    debug: () => undefined,
  };
}
