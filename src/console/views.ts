import type { Picture } from './picture.js';

/** Screens for a slow line: a line a thing, nothing twice, at most so many lines. */
const MOST_LINES = 14;

export const span = (s: number): string =>
  s < 100
    ? `${s}s`
    : s < 6000
      ? `${Math.round(s / 60)}m`
      : s < 172_800
        ? `${Math.round(s / 3600)}h`
        : `${Math.round(s / 86_400)}d`;

const short = (id: string): string => id.replace(/^req-0*(?=[0-9])/, '');

/** `of`: how many there are, where the picture itself shows fewer. */
const some = (lines: readonly string[], what: string, of = lines.length): string[] =>
  of <= MOST_LINES
    ? [...lines]
    : [...lines.slice(0, MOST_LINES - 1), `… ${of - MOST_LINES + 1} more ${what}`];

/** Counts, and whatever a person should look at. */
export function summary(p: Picture): string[] {
  const { total } = p;
  const silent = p.machines.filter((m) => m.state === 'up' && !m.confirmed);
  const lines = [
    `${total.jobs} jobs: ${total.running} tasks run, ${total.waiting} wait; ${total.machines} machines`,
  ];
  if (total.assumed > 0) lines.push(`! ${total.assumed} tasks are assumed, not confirmed`);
  for (const m of silent.slice(0, 3))
    lines.push(`! ${m.id} silent ${m.heard === null ? 'since it was seen' : `for ${span(m.heard)}`}`);
  if (!p.storeOk) lines.push('! the state service does not answer: nothing new is decided');
  return lines;
}

export function jobLines(p: Picture): string[] {
  const lines = p.jobs.map((j) => {
    const parts = [`${short(j.id)} ${j.team} ${j.kind} ${j.done}/${j.tasks}`];
    if (j.running > 0) parts.push(`${j.running} run`);
    if (j.other > 0) parts.push(`${j.other} start or stop`);
    if (j.assumed > 0) parts.push(`${j.assumed} assumed`);
    if (j.why !== null) parts.push(j.why);
    return `${parts.join(', ')} (${span(j.age)})`;
  });
  return lines.length === 0 ? ['no jobs'] : some(lines, 'jobs', p.total.jobs);
}

export function machineLines(p: Picture): string[] {
  const lines = p.machines.map((m) => {
    const known = m.confirmed
      ? `${m.tasks.length} tasks`
      : `${m.tasks.length} tasks assumed${m.heard === null ? ', never heard' : ` since ${span(m.heard)}`}`;
    return `${m.id} ${m.type} ${m.state}${m.leaving ? ', leaving' : ''}: ${known}`;
  });
  return lines.length === 0 ? ['no machines'] : some(lines, 'machines', p.total.machines);
}

/** What runs where; of a machine that is silent, what ran there as far as anybody knows. */
export function whereLines(p: Picture): string[] {
  const lines = p.machines.flatMap((m) =>
    m.tasks.map(
      (t) =>
        `${short(t.task)} ${m.id} ${t.state} ${span(t.since)}` +
        (m.confirmed && t.state !== 'sent' ? '' : ' (assumed)'),
    ),
  );
  return lines.length === 0 ? ['nothing runs'] : some(lines, 'tasks');
}

export const endLines = (p: Picture): string[] =>
  p.ends.length === 0 ? ['no ends since this holder began'] : some(p.ends.map(short), 'ends');
