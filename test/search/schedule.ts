import * as fc from 'fast-check';
import { runScenario } from '../simulator/scenario-runner.js';
import type { SimulatedCluster } from '../simulator/simulated-cluster.js';
import {
  CANCEL_S,
  faultTimeS,
  LAST_EVENT_S,
  LEASE_S,
  scene,
  tenthsBetween,
  timedLine,
  waitingScene,
} from './drawn-faults.js';
import { pipelineDay } from './pipeline-days.js';

const END_S = 125;
/** End of the longer days: long enough to detect jobs left waiting after the faults are over. */
const LONG_END_S = 215;

const INTERVALS = `report=1 lease=${LEASE_S} cancel=${CANCEL_S}`;
const TEAMS = 'team red 8 14\nteam blue 0 12';
const FOUR_MACHINES = 'machine g4 a\nmachine g4 b\nmachine g4 c\nmachine g4 a spot';

/** The sites of drawn days: what is scarce and how fast machines are provisioned. */
const SITES = {
  usual: `zones a b c\n${FOUR_MACHINES}\n${TEAMS}\nset capacity=2 ${INTERVALS}\nuntil ${END_S}`,
  long: `zones a b c\n${FOUR_MACHINES}\n${TEAMS}\nset capacity=2 ${INTERVALS}\nuntil ${LONG_END_S}`,
  // No machine can be provisioned, and there is more work than capacity.
  scarce: `zones a b c\n${FOUR_MACHINES}\n${TEAMS}\nset capacity=0 ${INTERVALS}\nuntil ${LONG_END_S}`,
  // There are no pre-provisioned machines, machines boot within two seconds, and team limits are reached before the capacity.
  quick: `zones a b\ntype g4 boot=1\nteam red 2 6\nteam blue 2 6\nset capacity=6 ${INTERVALS}\nuntil ${END_S}`,
  // Pipeline steps run beside the jobs.
  pipelines: `zones a b c
${FOUR_MACHINES}
${TEAMS}
set capacity=2 pipelines=1 ${INTERVALS}
until ${END_S}
step build compile req-000801 red array tasks=3 run=3 gb=0
step build left req-000802 red array tasks=2 run=4 gb=0 needs=compile
step build right req-000803 blue gang tasks=2 run=4 gb=0 needs=compile
step build join req-000804 red array tasks=1 run=2 gb=0 needs=left,right
at 4 pipeline build
step pack one req-000811 blue array tasks=2 run=8 gb=0
step pack two req-000812 blue array tasks=2 run=2 gb=0 needs=one
at 9 pipeline pack
at 17 cancel-pipeline pack`,
} as const;
type Site = keyof typeof SITES;

const jobKind = fc.constantFrom(
  'array tasks=6 run=4',
  'array tasks=1 run=2',
  'array tasks=8 run=9 spot',
  'array tasks=3 run=3 faulty class=broken',
  'gang tasks=4 run=6 one_zone checkpoint=2',
  'gang tasks=2 run=5 class=pair',
  'service tasks=2 priority=production',
  'service tasks=3 spread',
  'array tasks=5 run=6 zone=a',
  'array tasks=4 run=6 one_zone',
);

interface DrawnDay {
  readonly jobs: readonly { at: number; team: string; kind: string; cancelAfter: number | null }[];
  readonly faults: readonly { at: number; what: readonly string[] }[];
  readonly seed: number;
  readonly site: Site;
}

const daysOf = (scenes: fc.Arbitrary<readonly string[]>, sites: fc.Arbitrary<Site>): fc.Arbitrary<DrawnDay> =>
  fc.record({
    jobs: fc.array(
      fc.record({
        at: tenthsBetween(0.5, LAST_EVENT_S),
        team: fc.constantFrom('red', 'blue'),
        kind: jobKind,
        cancelAfter: fc.option(tenthsBetween(0.1, 14), { freq: 2 }),
      }),
      { minLength: 1, maxLength: 7 },
    ),
    faults: fc.array(fc.record({ at: faultTimeS, what: scenes }), { minLength: 1, maxLength: 6 }),
    seed: fc.integer({ min: 1, max: 1000 }),
    site: sites,
  });

const anyDay = daysOf(
  scene,
  fc.oneof(
    { weight: 4, arbitrary: fc.constant<Site>('usual') },
    { weight: 2, arbitrary: fc.constant<Site>('long') },
    { weight: 2, arbitrary: fc.constant<Site>('scarce') },
    { weight: 2, arbitrary: fc.constant<Site>('quick') },
    { weight: 1, arbitrary: fc.constant<Site>('pipelines') },
  ),
);

/** Days on which jobs are likely to be left waiting: no machine can be provisioned, and there is more work than capacity. */
const waitingDay = daysOf(waitingScene, fc.constant<Site>('scarce'));

/** The numbers in the ids of the jobs that a line submits. */
function submittedNumbers(line: string): number[] {
  const [, many, first] = / submits? (?:(\d+) )?req-(\d+)/.exec(line) ?? [];
  return first === undefined ? [] : Array.from({ length: Number(many ?? 1) }, (_, k) => Number(first) + k);
}

/** Keeps, of several lines that submit the same job id, the first in time: an id belongs to one job. */
function withoutRepeatedJobs(lines: readonly string[]): string[] {
  const seen = new Set<number>();
  const timed = lines.map((line, i) => ({ line, i, at: Number(/^at ([\d.]+)/.exec(line)?.[1] ?? 0) }));
  const kept = new Set<number>();
  for (const { line, i } of [...timed].sort((a, b) => a.at - b.at || a.i - b.i)) {
    const ids = submittedNumbers(line);
    if (!ids.some((id) => seen.has(id))) kept.add(i);
    for (const id of ids) seen.add(id);
  }
  return lines.filter((_, i) => kept.has(i));
}

/** The day as the text of a scenario file, in the format of `test/scenarios`. */
function scenarioText(day: DrawnDay): string {
  const lines = day.jobs.flatMap((job, i) => {
    const id = `req-${String(i + 1).padStart(6, '0')}`;
    const submit = `at ${job.at} submit ${id} ${job.team} ${job.kind} gb=0`;
    // A job that fails everywhere is cancelled by its user.
    const after = job.cancelAfter ?? (job.kind.includes('faulty') ? 20 : null);
    return after === null ? [submit] : [submit, `at ${Math.round((job.at + after) * 10) / 10} cancel ${id}`];
  });
  return [
    SITES[day.site],
    ...withoutRepeatedJobs([...lines, ...day.faults.flatMap((t) => t.what.map((w) => timedLine(t.at, w)))]),
    `set seed=${day.seed}`,
  ].join('\n');
}

/** The kinds of days, as texts of scenarios. */
const DAYS = {
  all: anyDay.map(scenarioText),
  waits: waitingDay.map(scenarioText),
  pipelines: pipelineDay,
};
export type DayKind = keyof typeof DAYS;

export interface Finding {
  readonly text: string;
  readonly failures: readonly string[];
}

/** Runs so many drawn days; the same seed draws the same days. A day that violates an invariant is shrunk to a short scenario. */
export async function search(
  seed: number,
  runs: number,
  prepare: (cluster: SimulatedCluster) => void = () => undefined,
  timeLimitMs?: number,
  shrink = true,
  among: DayKind = 'all',
): Promise<{ readonly played: number; readonly found: Finding | undefined }> {
  let played = 0;
  let lastFinding: Finding | undefined;
  const result = await fc.check(
    fc.asyncProperty(DAYS[among], async (text) => {
      played++;
      const { failures } = await runScenario(text, prepare);
      // Faults throughout a day may leave no machine that works for long enough.
      const broken = failures.filter((f) => !f.startsWith('nothing_ran'));
      if (broken.length === 0) return true;
      lastFinding = { text, failures: broken };
      return false;
    }),
    {
      seed,
      numRuns: runs,
      endOnFailure: !shrink,
      // eslint-disable-next-line @typescript-eslint/no-deprecated -- the plugin that replaces it is not yet tried on shrunk runs
      ...(timeLimitMs === undefined ? {} : { interruptAfterTimeLimit: timeLimitMs }),
    },
  );
  return { played, found: result.failed && lastFinding ? lastFinding : undefined };
}
