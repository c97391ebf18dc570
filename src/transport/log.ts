import { pino } from 'pino';

/**
 * Writes one line per decision to standard error. Writes are synchronous, without a worker thread, so no line is lost when
 * the process is killed.
 */
export interface Log {
  error(event: string, fields?: Record<string, unknown>): void;
  info(event: string, fields?: Record<string, unknown>): void;
  debug(event: string, fields?: Record<string, unknown>): void;
}

const LEVELS = ['error', 'info', 'debug'];

export function stderrLog(level: string | undefined, member: string): Log {
  const effectiveLevel = level !== undefined && LEVELS.includes(level) ? level : 'error';
  const logger = pino(
    {
      level: effectiveLevel,
      base: { member },
      timestamp: false,
      formatters: { level: (label) => ({ level: label }) },
    },
    pino.destination({ fd: 2, sync: true }),
  );
  const bigintsToNumbers = (fields: Record<string, unknown>): Record<string, unknown> => {
    for (const [key, value] of Object.entries(fields)) {
      if (typeof value === 'bigint') fields[key] = Number(value);
    }
    return fields;
  };
  return {
    error: (event, fields = {}) => logger.error(bigintsToNumbers(fields), event),
    info: (event, fields = {}) => {
      if (effectiveLevel !== 'error') logger.info(bigintsToNumbers(fields), event);
    },
    debug: (event, fields = {}) => {
      if (effectiveLevel === 'debug') logger.debug(bigintsToNumbers(fields), event);
    },
  };
}

export const silentLog: Log = { error: () => undefined, info: () => undefined, debug: () => undefined };
