import { DateTime, IANAZone } from 'luxon';

/** When a pipeline runs again and again, in the time of a place. */
export interface Calendar {
  readonly zone: string;
  /** Days of the week, 1 Monday to 7 Sunday. */
  readonly days: ReadonlySet<number>;
  readonly hour: number;
  readonly minute: number;
  /** Dates on which it doesn't run, `2026-12-25`. */
  readonly except: ReadonlySet<string>;
}

const DAYS = ['monday', 'tuesday', 'wednesday', 'thursday', 'friday', 'saturday', 'sunday'];

export const isZone = (zone: string): boolean => IANAZone.isValidZone(zone);

/** `day at 02:30`, `weekday at 6:00`, `monday, friday at 22:15`. */
export function parseEvery(text: string): Pick<Calendar, 'days' | 'hour' | 'minute'> | undefined {
  const m = /^\s*(.+?)\s+at\s+(\d{1,2}):(\d{2})\s*$/i.exec(text);
  if (!m) return undefined;
  const hour = Number(m[2]);
  const minute = Number(m[3]);
  if (hour > 23 || minute > 59) return undefined;
  const days = new Set<number>();
  for (const word of m[1]!.toLowerCase().split(/\s*(?:,|and)\s*/)) {
    if (word === 'day') for (let d = 1; d <= 7; d++) days.add(d);
    else if (word === 'weekday') for (let d = 1; d <= 5; d++) days.add(d);
    else {
      const at = DAYS.findIndex((d) => d === word || d.slice(0, 3) === word);
      if (at < 0) return undefined;
      days.add(at + 1);
    }
  }
  return { days, hour, minute };
}

/**
 * The moment at which a local clock shows this time. An hour that comes twice counts the first time. One that doesn't exist
 * counts as the moment at which the clock goes on: at 02:30 on the night it jumps from 02:00 to 03:00, that is 03:00.
 */
export function localMoment(date: DateTime, hour: number, minute: number): DateTime {
  const wanted = { year: date.year, month: date.month, day: date.day, hour, minute };
  const zone = date.zoneName ?? 'UTC';
  const at = DateTime.fromObject(wanted, { zone });
  // The library shifts a time that doesn't exist by the whole gap; the gap's own end is where the clock goes on.
  if (at.hour !== hour || at.minute !== minute) return at.minus({ minutes: sinceJump(at) });
  const twice = at.getPossibleOffsets();
  return twice.length > 1 ? twice.reduce((a, b) => (a.toMillis() <= b.toMillis() ? a : b)) : at;
}

/** Minutes since the jump of the clock. */
function sinceJump(at: DateTime): number {
  let minutes = 0;
  while (minutes < 180 && at.minus({ minutes: minutes + 1 }).offset === at.offset) minutes++;
  return minutes;
}

/** The next runs after a moment; a date that the calendar excepts is passed over. */
export function nextRuns(c: Calendar, afterMs: number, count: number): DateTime[] {
  const out: DateTime[] = [];
  let date = DateTime.fromMillis(afterMs, { zone: c.zone }).startOf('day');
  for (let i = 0; i < 3660 && out.length < count; i++, date = date.plus({ days: 1 })) {
    if (!c.days.has(date.weekday) || c.except.has(date.toISODate() ?? '')) continue;
    const at = localMoment(date, c.hour, c.minute);
    if (at.toMillis() > afterMs) out.push(at);
  }
  return out;
}

/** `18:00 Asia/Karachi` (the next time it is), `2026-12-02 18:00 Asia/Karachi`, or an ISO time with its offset. */
export function moment(text: string, nowMs: number): DateTime | undefined {
  const m = /^\s*(?:(\d{4}-\d{2}-\d{2})[ T]+)?(\d{1,2}):(\d{2})\s+(\S+)\s*$/.exec(text);
  if (!m) {
    const iso = DateTime.fromISO(text.trim(), { setZone: true });
    return iso.isValid && /(Z|[+-]\d{2}:?\d{2})$/.test(text.trim()) ? iso : undefined;
  }
  const [, day, h, min, zone] = m as unknown as [string, string | undefined, string, string, string];
  if (!isZone(zone) || Number(h) > 23 || Number(min) > 59) return undefined;
  const now = DateTime.fromMillis(nowMs, { zone });
  const date = day === undefined ? now : DateTime.fromISO(day, { zone });
  if (!date.isValid) return undefined;
  const at = localMoment(date, Number(h), Number(min));
  return day === undefined && at.toMillis() <= nowMs
    ? localMoment(now.plus({ days: 1 }), Number(h), Number(min))
    : at;
}

/** What a run of a calendar's pipeline is called: its name and its local date and time. */
export const runName = (name: string, at: DateTime): string => `${name}-${at.toFormat("yyyyMMdd't'HHmm")}`;
