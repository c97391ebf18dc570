import { DateTime, IANAZone } from 'luxon';

/** Schedule of a recurring pipeline, in local time. */
export interface Calendar {
  /** IANA time zone. */
  readonly zone: string;
  /** Days of the week, 1 Monday to 7 Sunday. */
  readonly days: ReadonlySet<number>;
  readonly hour: number;
  readonly minute: number;
  /** Dates without a run, such as `2026-12-25`. */
  readonly except: ReadonlySet<string>;
}

const DAYS = ['monday', 'tuesday', 'wednesday', 'thursday', 'friday', 'saturday', 'sunday'];

export const isTimeZone = (zone: string): boolean => IANAZone.isValidZone(zone);

/** Parses days and a time: `day at 02:30`, `weekday at 6:00`, `monday, friday at 22:15`. */
export function parseEvery(text: string): Pick<Calendar, 'days' | 'hour' | 'minute'> | undefined {
  const match = /^\s*(.+?)\s+at\s+(\d{1,2}):(\d{2})\s*$/i.exec(text);
  if (!match) return undefined;
  const hour = Number(match[2]);
  const minute = Number(match[3]);
  if (hour > 23 || minute > 59) return undefined;
  const days = new Set<number>();
  for (const word of match[1]!.toLowerCase().split(/\s*(?:,|and)\s*/)) {
    if (word === 'day') for (let day = 1; day <= 7; day++) days.add(day);
    else if (word === 'weekday') for (let day = 1; day <= 5; day++) days.add(day);
    else {
      const dayIndex = DAYS.findIndex((d) => d === word || d.slice(0, 3) === word);
      if (dayIndex < 0) return undefined;
      days.add(dayIndex + 1);
    }
  }
  return { days, hour, minute };
}

/**
 * The moment at which the local clock shows this time. A time that occurs twice resolves to its first occurrence. A time
 * that a clock change skips resolves to the end of the gap: 02:30 becomes 03:00 if the clock jumps from 02:00 to 03:00.
 */
export function localMoment(date: DateTime, hour: number, minute: number): DateTime {
  const fields = { year: date.year, month: date.month, day: date.day, hour, minute };
  const zone = date.zoneName ?? 'UTC';
  const time = DateTime.fromObject(fields, { zone });
  // Luxon shifts a skipped time by the length of the gap; the end of the gap is wanted.
  if (time.hour !== hour || time.minute !== minute)
    return time.minus({ minutes: minutesSinceOffsetChange(time) });
  const candidates = time.getPossibleOffsets();
  return candidates.length > 1 ? candidates.reduce((a, b) => (a.toMillis() <= b.toMillis() ? a : b)) : time;
}

/** Minutes since the zone's UTC offset changed, at most 180. */
function minutesSinceOffsetChange(time: DateTime): number {
  let minutes = 0;
  while (minutes < 180 && time.minus({ minutes: minutes + 1 }).offset === time.offset) minutes++;
  return minutes;
}

/** The next runs after a moment; the calendar's excepted dates are skipped. */
export function nextRuns(calendar: Calendar, afterMs: number, count: number): DateTime[] {
  const runs: DateTime[] = [];
  let date = DateTime.fromMillis(afterMs, { zone: calendar.zone }).startOf('day');
  for (let i = 0; i < 3660 && runs.length < count; i++, date = date.plus({ days: 1 })) {
    if (!calendar.days.has(date.weekday) || calendar.except.has(date.toISODate() ?? '')) continue;
    const start = localMoment(date, calendar.hour, calendar.minute);
    if (start.toMillis() > afterMs) runs.push(start);
  }
  return runs;
}

/** Parses `18:00 Asia/Karachi` (its next occurrence), `2026-12-02 18:00 Asia/Karachi`, or an ISO time with an offset. */
export function parseMoment(text: string, nowMs: number): DateTime | undefined {
  const match = /^\s*(?:(\d{4}-\d{2}-\d{2})[ T]+)?(\d{1,2}):(\d{2})\s+(\S+)\s*$/.exec(text);
  if (!match) {
    const iso = DateTime.fromISO(text.trim(), { setZone: true });
    return iso.isValid && /(Z|[+-]\d{2}:?\d{2})$/.test(text.trim()) ? iso : undefined;
  }
  const [, day, hourText, minuteText, zone] = match as unknown as [
    string,
    string | undefined,
    string,
    string,
    string,
  ];
  if (!isTimeZone(zone) || Number(hourText) > 23 || Number(minuteText) > 59) return undefined;
  const now = DateTime.fromMillis(nowMs, { zone });
  const date = day === undefined ? now : DateTime.fromISO(day, { zone });
  if (!date.isValid) return undefined;
  const time = localMoment(date, Number(hourText), Number(minuteText));
  return day === undefined && time.toMillis() <= nowMs
    ? localMoment(now.plus({ days: 1 }), Number(hourText), Number(minuteText))
    : time;
}

/** Name of one run of a pipeline with a calendar: the pipeline's name, then the run's local date and time. */
export const runName = (name: string, start: DateTime): string =>
  `${name}-${start.toFormat("yyyyMMdd't'HHmm")}`;
