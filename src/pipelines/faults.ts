/** A position in text that a user wrote; line and column count from 1. */
export interface Position {
  readonly line: number;
  readonly column: number;
}

export interface Fault extends Position {
  readonly what: string;
}

const byPosition = (a: Fault, b: Fault): number => a.line - b.line || a.column - b.column;

/** Sorts faults by position and drops duplicates. */
export function sortAndDeduplicate(faults: readonly Fault[]): Fault[] {
  const seen = new Set<string>();
  return [...faults].sort(byPosition).filter((f) => {
    const key = `${f.line}:${f.column}:${f.what}`;
    if (seen.has(key)) return false;
    seen.add(key);
    return true;
  });
}

/** One line of the form `file:line:column: what is wrong and what to write instead`. */
export const faultLine = (file: string, fault: Fault): string =>
  `${file}:${fault.line}:${fault.column}: ${fault.what}`;

/** The faulty line with a caret below the fault's column, cut to fit a narrow terminal. */
export function faultWithCaret(text: string, fault: Fault): string {
  const line = text.split('\n')[fault.line - 1] ?? '';
  const start = Math.max(0, fault.column - 60);
  return `${line.slice(start, start + 76)}\n${' '.repeat(Math.max(0, fault.column - 1 - start))}^ ${fault.what}`;
}
