import type { Overview } from './overview.js';

/** Views suit slow connections: one line per item, nothing repeated, and no list longer than this. */
const MAX_LINES = 14;

export const formatDuration = (seconds: number): string =>
  seconds < 100
    ? `${seconds}s`
    : seconds < 6000
      ? `${Math.round(seconds / 60)}m`
      : seconds < 172_800
        ? `${Math.round(seconds / 3600)}h`
        : `${Math.round(seconds / 86_400)}d`;

const shortId = (id: string): string => id.replace(/^req-0*(?=[0-9])/, '');

/** `total`: the number of items, where the overview itself lists fewer. */
const limitLines = (lines: readonly string[], what: string, total = lines.length): string[] =>
  total <= MAX_LINES
    ? [...lines]
    : [...lines.slice(0, MAX_LINES - 1), `… ${total - MAX_LINES + 1} more ${what}`];

/** Totals, and conditions that need an operator's attention. */
export function summaryLines(overview: Overview): string[] {
  const { total } = overview;
  const unconfirmed = overview.machines.filter((machine) => machine.state === 'up' && !machine.confirmed);
  const lines = [
    `${total.jobs} jobs: ${total.running} tasks run, ${total.waiting} wait; ${total.machines} machines`,
  ];
  if (total.assumed > 0) lines.push(`! ${total.assumed} tasks are assumed, not confirmed`);
  for (const machine of unconfirmed.slice(0, 3))
    lines.push(
      `! ${machine.id} silent ${machine.heard === null ? 'since it was seen' : `for ${formatDuration(machine.heard)}`}`,
    );
  if (!overview.storeOk) lines.push('! the state service does not answer: nothing new is decided');
  return lines;
}

export function jobLines(overview: Overview): string[] {
  const lines = overview.jobs.map((job) => {
    const parts = [`${shortId(job.id)} ${job.team} ${job.kind} ${job.done}/${job.tasks}`];
    if (job.running > 0) parts.push(`${job.running} run`);
    if (job.other > 0) parts.push(`${job.other} start or stop`);
    if (job.assumed > 0) parts.push(`${job.assumed} assumed`);
    if (job.why !== null) parts.push(job.why);
    return `${parts.join(', ')} (${formatDuration(job.age)})`;
  });
  return lines.length === 0 ? ['no jobs'] : limitLines(lines, 'jobs', overview.total.jobs);
}

export function machineLines(overview: Overview): string[] {
  const lines = overview.machines.map((machine) => {
    const taskCount = machine.confirmed
      ? `${machine.tasks.length} tasks`
      : `${machine.tasks.length} tasks assumed${machine.heard === null ? ', never heard' : ` since ${formatDuration(machine.heard)}`}`;
    return `${machine.id} ${machine.type} ${machine.state}${machine.leaving ? ', leaving' : ''}: ${taskCount}`;
  });
  return lines.length === 0 ? ['no machines'] : limitLines(lines, 'machines', overview.total.machines);
}

/** Tasks and their machines. Those of a machine that is not confirmed are shown as last known, and marked as assumed. */
export function taskLines(overview: Overview): string[] {
  const lines = overview.machines.flatMap((machine) =>
    machine.tasks.map(
      (task) =>
        `${shortId(task.task)} ${machine.id} ${task.state} ${formatDuration(task.since)}` +
        (machine.confirmed && task.state !== 'sent' ? '' : ' (assumed)'),
    ),
  );
  return lines.length === 0 ? ['nothing runs'] : limitLines(lines, 'tasks');
}

export const completionLines = (overview: Overview): string[] =>
  overview.ends.length === 0
    ? ['no ends since this holder began']
    : limitLines(overview.ends.map(shortId), 'ends');
