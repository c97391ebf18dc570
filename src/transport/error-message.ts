/**
 * The text of a caught value. JavaScript may throw anything, so a handler gets `unknown`; these functions are the one place
 * that turns it into text for logs and error results.
 */

/** The message of an error, or the value itself as text. */
export const messageOf = (thrown: unknown): string =>
  thrown instanceof Error ? thrown.message : String(thrown);

/** The first line of the message: parsers append an excerpt of their input, which does not belong in a log line. */
export const firstLineOf = (thrown: unknown): string => messageOf(thrown).split('\n', 1)[0] ?? '';
