/** Sets of indices as text: ascending, comma-separated, consecutive ones as a range (`0-4,9`). */
import type { TaskIndex } from '../../protocol/ids.js';

/** Writes indices, in any order, as ranges. */
export function formatIndexRanges(indices: readonly number[]): string {
  const sorted = [...indices].sort((a, b) => a - b);
  const ranges: string[] = [];
  for (let first = 0; first < sorted.length;) {
    let last = first;
    while (last + 1 < sorted.length && sorted[last + 1] === sorted[last]! + 1) last++;
    ranges.push(first === last ? `${sorted[first]!}` : `${sorted[first]!}-${sorted[last]!}`);
    first = last + 1;
  }
  return ranges.join(',');
}

/** Reads what `formatIndexRanges` wrote. */
export function parseIndexRanges(ranges: string): TaskIndex[] {
  const indices: TaskIndex[] = [];
  for (const range of ranges === '' ? [] : ranges.split(',')) {
    const [first, last] = range.split('-').map(Number);
    for (let i = first!; i <= (last ?? first!); i++) indices.push(i as TaskIndex);
  }
  return indices;
}
