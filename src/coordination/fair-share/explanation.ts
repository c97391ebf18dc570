import type { SteadyMs } from '../../transport/clock.js';
import { classGroup, teamGroup } from '../../cluster/fair-share-groups.js';
import type { Job } from '../../cluster/cluster-state.js';
import type { BackfillReservations, Reservation } from './backfill-reservations.js';
import type { FairShareGroup, ShareAccounting } from './share-accounting.js';

/** Most machine names in one line. */
const MAX_NAMED_MACHINES = 4;

/**
 * Explains to a user which fair-share rule keeps the job waiting, or will end its wait, and since when. Users read these
 * sentences in `job explain`; this module decides nothing.
 */
export function explainFairShare(
  job: Job,
  shares: ShareAccounting,
  reservations: BackfillReservations,
  now: SteadyMs,
): string[] {
  return [
    ...explainReservations(job, reservations, now),
    ...explainOwnGroups(job, shares, now),
    ...explainOtherGroups(job, shares),
  ];
}

function explainReservations(
  job: Job,
  { reservations, reservedMachines }: BackfillReservations,
  now: SteadyMs,
): string[] {
  const own = reservations.get(job.id);
  if (own) return [explainOwnReservation(own, now)];
  if (reservedMachines.size === 0) return [];
  const oldest = [...reservations.values()].reduce((a, b) => (b.since < a.since ? b : a));
  return [
    `${reservedMachines.size} machines are kept for gangs that waited longer, the first since ` +
      `${secondsBetween(oldest.since, now)} (${oldest.job.id}); only work that ends before may use them.`,
  ];
}

function explainOwnReservation({ machines, since, zone, readyAt }: Reservation, now: SteadyMs): string {
  const names = machines.slice(0, MAX_NAMED_MACHINES).map(({ id }) => id);
  const unnamed = machines.length - MAX_NAMED_MACHINES;
  const more = unnamed > 0 ? ` and ${unnamed} more` : '';
  return (
    `Rooms are kept for it since ${secondsBetween(since, now)}${zone === undefined ? '' : ` in ${zone}`}: ` +
    `${names.join(', ')}${more}; the last is expected to be free in ${secondsBetween(now, readyAt)}.`
  );
}

function explainOwnGroups(job: Job, { groups }: ShareAccounting, now: SteadyMs): string[] {
  const lines: string[] = [];
  for (const key of [classGroup(job.spec), teamGroup(job.spec)]) {
    const group = groups.get(key);
    const since = group && prioritizedSince(group);
    if (group && since !== undefined) {
      lines.push(`Its ${key} goes first since ${secondsBetween(since, now)}: ${describeShare(group)}.`);
    }
  }
  return lines;
}

function explainOtherGroups(job: Job, shares: ShareAccounting): string[] {
  if (shares.urgencyOf(job) !== 0) return [];
  const own = [classGroup(job.spec), teamGroup(job.spec)];
  const others = [...shares.groups.values()]
    .filter((group) => prioritizedSince(group) !== undefined && !own.includes(group.key))
    .map((group) => `${group.key} (${describeShare(group)})`);
  if (others.length === 0) return [];
  return [`Others go first, having had less than their part: ${others.join('; ')}.`];
}

const prioritizedSince = ({ starvingSince, belowFloorSince }: FairShareGroup): SteadyMs | undefined =>
  starvingSince ?? belowFloorSince;

const describeShare = ({ averageShare, fairShare }: FairShareGroup): string =>
  `${percent(averageShare)} of the machines in the last minute, a fair part is ${percent(fairShare)}`;

const percent = (part: number): string => `${Math.round(part * 100)} %`;

const secondsBetween = (from: SteadyMs, to: SteadyMs): string =>
  `${Math.max(0, Math.round((to - from) / 1000))} s`;
