import type { Reply } from '../transport/http.js';
import { encodeError } from '../protocol/jobs.js';

export const refuse = (status: number, message: string): Reply => ({ status, body: encodeError(message) });

/** The service can't say now: told at once, with the time to come back. */
export const later = (why: string, s = 1): Reply => ({
  status: 503,
  body: encodeError(why),
  headers: { 'retry-after': String(s) },
});

export const unanswered = (): Reply => later('the state service did not answer');

/** How often a change is tried anew when somebody else was faster. */
export const TRIES = 4;
