import parseDuration from 'parse-duration';

/** Parsers of values as users write them. They return undefined for invalid text; the caller reports its position. */

/** Parses `35s`, `10m`, `1h 30m` to seconds; a bare number is seconds. */
export function parseSeconds(text: string | number): number | undefined {
  if (typeof text === 'number') return Number.isFinite(text) && text >= 0 ? text : undefined;
  if (/^\s*\d+(\.\d+)?\s*$/.test(text)) return Number(text);
  // The library reads any part of a text that it can, so it would accept a time of day as a duration.
  if (!/^\s*(\d+(\.\d+)?\s*[a-z]+\s*)+$/i.test(text)) return undefined;
  const parsed = parseDuration(text, 's');
  return parsed === null || !Number.isFinite(parsed) || parsed < 0 ? undefined : parsed;
}

/** Parses `18 GB`, `500 MB`, `1.5 TB` to GB; a bare number is GB. */
export function parseGigabytes(text: string | number): number | undefined {
  if (typeof text === 'number') return Number.isFinite(text) && text >= 0 ? text : undefined;
  const match = /^\s*(\d+(?:\.\d+)?)\s*(mb|gb|tb)?\s*$/i.exec(text);
  if (!match) return undefined;
  const gbPerUnit = { mb: 0.001, gb: 1, tb: 1000 }[(match[2] ?? 'gb').toLowerCase()]!;
  return Number((Number(match[1]) * gbPerUnit).toFixed(6));
}

/** Parses an image name with its size: `img-07 (6 GB)`. */
export function parseImage(text: string): { readonly name: string; readonly gb: number } | undefined {
  const match = /^\s*(\S+)\s*\(([^)]*)\)\s*$/.exec(text);
  const gb = match && parseGigabytes(match[2]!);
  return match && gb !== undefined && gb !== null ? { name: match[1]!, gb } : undefined;
}
