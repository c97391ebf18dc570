/** Where something stands in what a person wrote; both counted from 1. */
export interface Position {
  readonly line: number;
  readonly column: number;
}

export interface Fault extends Position {
  readonly what: string;
}

const byPlace = (a: Fault, b: Fault): number => a.line - b.line || a.column - b.column;

/** In the order of the text, each once. */
export function inOrder(faults: readonly Fault[]): Fault[] {
  const seen = new Set<string>();
  return [...faults].sort(byPlace).filter((f) => {
    const key = `${f.line}:${f.column}:${f.what}`;
    if (seen.has(key)) return false;
    seen.add(key);
    return true;
  });
}

/** `file:line:column: what and what to write instead`. */
export const faultLine = (file: string, f: Fault): string => `${file}:${f.line}:${f.column}: ${f.what}`;

/** The line of the text with a caret below the place, as far as a narrow terminal goes. */
export function caret(text: string, f: Fault): string {
  const line = text.split('\n')[f.line - 1] ?? '';
  const from = Math.max(0, f.column - 60);
  return `${line.slice(from, from + 76)}\n${' '.repeat(Math.max(0, f.column - 1 - from))}^ ${f.what}`;
}
