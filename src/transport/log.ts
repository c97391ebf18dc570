import { pino } from 'pino';

/** One line per decision, on standard error, written synchronously: no worker thread, nothing lost at a kill. */
export interface Log {
  error(event: string, fields?: Record<string, unknown>): void;
  info(event: string, fields?: Record<string, unknown>): void;
  debug(event: string, fields?: Record<string, unknown>): void;
}

const LEVELS = ['error', 'info', 'debug'];

export function stderrLog(level: string | undefined, member: string): Log {
  const chosen = level !== undefined && LEVELS.includes(level) ? level : 'error';
  const logger = pino(
    {
      level: chosen,
      base: { member },
      timestamp: false,
      formatters: { level: (label) => ({ level: label }) },
    },
    pino.destination({ fd: 2, sync: true }),
  );
  const plain = (fields: Record<string, unknown>): Record<string, unknown> => {
    for (const [key, value] of Object.entries(fields)) {
      if (typeof value === 'bigint') fields[key] = Number(value);
    }
    return fields;
  };
  return {
    error: (event, fields = {}) => logger.error(plain(fields), event),
    info: (event, fields = {}) => {
      if (chosen !== 'error') logger.info(plain(fields), event);
    },
    debug: (event, fields = {}) => {
      if (chosen === 'debug') logger.debug(plain(fields), event);
    },
  };
}

export const silentLog: Log = { error: () => undefined, info: () => undefined, debug: () => undefined };
