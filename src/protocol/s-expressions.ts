import { err, ok, type Result } from '../transport/result.js';
import { firstLineOf } from '../transport/error-message.js';

export interface SExpression {
  readonly type: 'list' | 'atom' | 'string';
  readonly content: string | readonly SExpression[];
  readonly location: { readonly start: { readonly line: number; readonly column: number } };
}

/** The parser is loaded only when there is a file to read, so that a process without one starts faster. */
export async function parseSExpressions(text: string): Promise<Result<readonly SExpression[], string>> {
  // @ts-expect-error the package brings no types
  const loaded = (await import('sexpr-plus')) as { default: { parse(text: string): readonly SExpression[] } };
  try {
    return ok(loaded.default.parse(text));
  } catch (e) {
    return err(`not S-expressions: ${firstLineOf(e)}`);
  }
}

export const listItems = (s: SExpression): readonly SExpression[] =>
  s.type === 'list' ? (s.content as readonly SExpression[]) : [];
/** Undefined for a list. */
export const atomText = (s: SExpression): string | undefined =>
  s.type === 'list' ? undefined : (s.content as string);
