import { err, ok, type Result } from '../transport/result.js';

export interface Sexpr {
  readonly type: 'list' | 'atom' | 'string';
  readonly content: string | readonly Sexpr[];
  readonly location: { readonly start: { readonly line: number; readonly column: number } };
}

/** The parser is loaded only when there is a file to read: a restart without one is sooner over. */
export async function parseSexpr(text: string): Promise<Result<readonly Sexpr[], string>> {
  // @ts-expect-error the package brings no types
  const loaded = (await import('sexpr-plus')) as { default: { parse(text: string): readonly Sexpr[] } };
  try {
    return ok(loaded.default.parse(text));
  } catch (e) {
    return err(`not S-expressions: ${(e as Error).message.split('\n')[0]}`);
  }
}

export const partsOf = (s: Sexpr): readonly Sexpr[] =>
  s.type === 'list' ? (s.content as readonly Sexpr[]) : [];
/** Undefined for a list. */
export const wordOf = (s: Sexpr): string | undefined =>
  s.type === 'list' ? undefined : (s.content as string);
