import type { ImageName, JobId, PipelineId, TeamName, TypeName, ZoneName } from '../../src/protocol/ids.js';
import type { JobSpec } from '../../src/protocol/jobs.js';
import type { PipelineSpec } from '../../src/protocol/pipelines.js';
import type { TeamLimits } from '../../src/protocol/settings.js';
import type { WallMs } from '../../src/transport/clock.js';
import { team } from './cluster-builders.js';
import type { TxnFault } from './simulated-store.js';

/**
 * Reads scenario files into a `Scenario`. It plays nothing: actions are checked and played by `scenario-actions.ts`,
 * expectations are judged by `scenario-expectations.ts`. A file has one statement on each line:
 *
 *     zones a b          type g4 gpus=4 boot=5 [zones=a] (offered only there)      machine g4 a [spot]     team red 4 8
 *     machines 100 g4 a             (so many at once)     isolate zone:a hold 40
 *     submits 50 req-000100 red array tasks=8    (fifty jobs, numbered on; at one moment)
 *     expect gave-up <= 0 | expect oldest-accept <= 50 | expect put-off <= 2000   (of submissions)
 *     expect event reservation-abandoned >= 1            (log lines of the kind, over all nodes)
 *     mark store | expect requests since-mark <= 90
 *     set lease=10 cancel=25 report=1 capacity=3 nodes=3 seed=1
 *     at 2 submit req-000001 red array tasks=4 run=5 [one_zone] [spread] [spot] [faulty] ...
 *     at 5 crash holder 3           (the leader; or a node's name, `all`; `follower` and `other` don't lead)
 *     at 5 stall holder 3           (its timers and all it is sent wait so long)
 *     at 5 cut holder store hold 20 (what: store cloud peers workers all; how: drop hold reset)
 *     at 5 deafen m-000001 20       (its reports arrive, nothing reaches it; zone:a, all; `mute`: the reverse)
 *     at 5 enclose zone:a n0 hold 20    (these machines and this node reach each other, and nobody else)
 *     at 5 spoil m-000001 20        (whatever runs on the machine fails)
 *     at 5 lose-words holder 20     (what it says reaches no machine)
 *     at 5 copies 20 1 30           (for 20 s what controllers are asked is copied, and comes 1 to 30 s later, at any node)
 *     at 5 copies-for-next 20       (copies of the heartbeats of 20 s are kept until a new leader was elected, then reach every node)
 *     at 5 restart m-000001         (the machine is back at once, in a new session)
 *     at 5 refuse holder 14         (the state service refuses this node alone)
 *     at 5 outage store 60          (or cloud; for everybody)
 *     at 5 late-writes 0.3 20       (for 20 s that share of transactions gets no answer, and is carried out 2 to 12 s later)
 *     at 5 lost-answers 0.3 20      (that share of transactions is carried out at once, and only the answer is lost)
 *     at 5 late-commands 0.3 20     (that share of direct commands is carried out once, 2 to 16 s later, unanswered; `answers`: at
 *                                    once, and only the answer is lost)
 *     at 5 slow-links holder workers 0.4 20    (for 20 s everything between them takes 0.4 s more, give or take half)
 *     at 5 slow-store 0.5 2 20      (for 20 s that share of requests takes 2 s more, give or take half)
 *     at 9 cancel req-000001 [n1]   (at any node, or always at this one)
 *     at 9 cancels 50 req-000100 [n1]    (fifty jobs, numbered on)
 *     at 9 cancel-now 20 [6]        (20 jobs that run, within a fifth of a second; up to eight of their machines hang for 6 s)
 *     at 5 cancel-at-end 0.3 20     (that share of the jobs that end is cancelled around that moment)
 *     at 5 close-looks 20 [0.1]     (users ask all nodes within milliseconds of each accept, end and cancellation, and submit
 *                                    again; that share cancels at once)
 *     at 5 odd-requests 20          (repeats, cancellations of what is done, jobs that can't run or lack a field)
 *     at 5 stream 4 120 0.25 req-000100 red array run=3    (four jobs a second for 120 s, a quarter of them cancelled)
 *     expect late-starts <= 3 [0.1]     (tasks that started [more than so long] after their user was told that the job is cancelled)
 *     expect served >= 0.5          (of each class, team and the largest tenth of a class)
 *     expect begun <= 240           (seconds until the last of the largest jobs began)
 *     on plan/ 1 crash-after        (the nth transaction that touches the prefix)
 *     at 9 hook plan/ 1 hold 20     (the same, counted from then on; `*`: any key)
 *     at 9 hook term/ 1 outage 60   (carried out, and from that moment on the state service is down)
 *     at 9 hook plan/ 1 slow-answer 0.4    (carried out at once, and answered so much later)
 *     at 9 hook compare:end/ 1 throttled   (the nth that changes nothing and compares such a key; `throttled` and `unavailable`: refused
 *                                    with 429 and 503; `garbled`: carried out, and its answer can't be read)
 *     at 5 bad-answers 0.3 20       (that share of transactions gets any of these, or an answer that is lost, late or slow)
 *     expect req-000001 done by 30
 *     each n 1 2 3                  (played once for each value; `{n}` stands for it in all other lines)
 *
 * Pipelines (with `set pipelines=1`): steps are declared, then the pipeline is sent.
 *
 *     step build compile req-000001 red array tasks=2 run=3 [needs=a,b*] [always] [retries=2] [backoff=1]
 *     steps 20 build part req-000100 red array needs=compile     (part-0 to part-19)
 *     at 2 pipeline build [start=30] [late=5] [skip] [withdraw]
 *     at 9 cancel-pipeline build | at 9 retry build compile | at 4 hook job/pipe 2 crash-after
 *     expect build done by 40 | expect build state ended | expect build status 409
 */
export interface ScenarioExpectation {
  readonly words: readonly string[];
  /** The line as it stands in the file, for messages. */
  readonly line: string;
}

/** An `at` line: what happens, and when in seconds from the start. */
export interface ScenarioAction {
  readonly atS: number;
  readonly words: readonly string[];
  readonly line: string;
}

/** Words of the form `key=value`; a bare word has the value `yes`. */
export const parseOptions = (words: readonly string[]): Map<string, string> =>
  new Map(words.map((w) => w.split('=') as [string, string | undefined]).map(([k, v]) => [k, v ?? 'yes']));

export const numberOption = (options: Map<string, string>, key: string, fallback: number): number =>
  Number(options.get(key) ?? fallback);

/** A job as a scenario describes it: what is submitted, how long its tasks run, and whether they fail. */
export interface ScenarioJob {
  readonly spec: JobSpec;
  readonly runS: number;
  readonly faulty: boolean;
}

/** Parses `ID TEAM KIND [key=value ...]`. */
export function parseJob(words: readonly string[]): ScenarioJob {
  const [id, teamName, kind, ...rest] = words;
  const options = parseOptions(rest);
  const checkpointS = numberOption(options, 'checkpoint', 0);
  return {
    runS: numberOption(options, 'run', 5),
    faulty: options.has('faulty'),
    spec: {
      id: id as JobId,
      class: options.get('class') ?? kind!,
      team: teamName as TeamName,
      kind: kind as JobSpec['kind'],
      priority: (options.get('priority') ?? 'normal') as JobSpec['priority'],
      tasks: numberOption(options, 'tasks', 1),
      cpus: numberOption(options, 'cpus', 1),
      gpus: numberOption(options, 'gpus', 1),
      memoryGb: numberOption(options, 'mem', 1),
      image: (options.get('image') ?? 'img-1') as ImageName,
      imageGb: numberOption(options, 'gb', 1),
      types: (options.get('types')?.split(',') as TypeName[] | undefined) ?? null,
      zone: (options.get('zone') as ZoneName | undefined) ?? null,
      oneZone: options.has('one_zone'),
      spread: options.has('spread'),
      spot: options.has('spot'),
      estimateS: numberOption(options, 'run', 5),
      checkpointS,
      saveS: checkpointS > 0 ? 1 : 0,
      deadlineS: null,
      ...elasticOptionsOf(options),
    },
  };
}

/** `width=2-12`, `giveback=10`, `rent=0.5`; `headroom=0.5` of a service. */
function elasticOptionsOf(options: Map<string, string>): Pick<JobSpec, 'elastic' | 'headRoom'> {
  const [least, most] = (options.get('width') ?? '').split('-').map(Number);
  return {
    ...(most === undefined
      ? {}
      : {
          elastic: {
            least: least!,
            most,
            giveBackS: numberOption(options, 'giveback', 10),
            rentUpTo: numberOption(options, 'rent', 0),
          },
        }),
    ...(options.has('headroom') ? { headRoom: numberOption(options, 'headroom', 0) } : {}),
  };
}

/** A `step` line: one step of a pipeline, declared before the pipeline is sent. */
export interface StepDeclaration {
  readonly pipeline: string;
  readonly name: string;
  readonly words: readonly string[];
}

/** The declared steps of a pipeline as its user would send them; a star after a need stands for all that begin so. */
export function buildPipeline(
  id: string,
  declarations: readonly StepDeclaration[],
  words: readonly string[],
  wallMs: number,
): PipelineSpec {
  const ownSteps = declarations.filter((declaration) => declaration.pipeline === id);
  const options = parseOptions(words);
  return {
    id: id as PipelineId,
    steps: ownSteps.map((declaration) => {
      const stepOptions = parseOptions(declaration.words.slice(3));
      const neededNames = stepOptions.get('needs')?.split(',') ?? [];
      const matches = (name: string): boolean =>
        neededNames.some((w) => (w.endsWith('*') ? name.startsWith(w.slice(0, -1)) : w === name));
      return {
        name: declaration.name,
        job: parseJob(declaration.words).spec,
        needs: ownSteps.flatMap((m, i) => (matches(m.name) ? [i] : [])),
        when: stepOptions.has('always') ? ('always' as const) : ('succeeded' as const),
        retries: stepOptions.has('retries') ? numberOption(stepOptions, 'retries', 0) : null,
        backoffS: numberOption(stepOptions, 'backoff', 1),
        dueMs: null,
      };
    }),
    startMs: options.has('start') ? ((wallMs + numberOption(options, 'start', 0) * 1000) as WallMs) : null,
    missed: options.has('skip') ? 'skip' : 'run',
    lateS: numberOption(options, 'late', 3600),
    onCancel: options.has('withdraw') ? 'withdraw' : 'hold',
  };
}

/** A parsed file; defaults stand in for what it leaves out. */
export interface Scenario {
  steps: StepDeclaration[];
  zones: string[];
  types: string[][];
  machines: string[][];
  teams: TeamLimits[];
  settings: Map<string, string>;
  actions: ScenarioAction[];
  /** Faults of transactions that are armed before the start. */
  hooks: string[][];
  expectations: ScenarioExpectation[];
  untilS: number;
}

/** Throws at a line that is no statement; the words of actions are checked by `findActionError`. */
export function parseScenario(text: string): Scenario {
  const scenario: Scenario = {
    steps: [],
    zones: ['a', 'b', 'c'],
    types: [],
    machines: [],
    teams: [],
    settings: new Map(),
    actions: [],
    hooks: [],
    expectations: [],
    untilS: 60,
  };
  for (const raw of text.split('\n')) {
    const line = raw.replace(/#.*/, '').trim();
    if (line !== '') parseLine(scenario, line);
  }
  return scenario;
}

function parseLine(scenario: Scenario, line: string): void {
  const [verb, ...words] = line.split(/\s+/) as [string, ...string[]];
  switch (verb) {
    case 'zones':
      scenario.zones = words;
      return;
    case 'type':
      scenario.types.push(words);
      return;
    case 'machine':
      scenario.machines.push(words);
      return;
    case 'machines':
      for (let i = 0; i < Number(words[0]); i++) scenario.machines.push(words.slice(1));
      return;
    case 'team':
      scenario.teams.push(team(words[0]!, Number(words[1]), Number(words[2])));
      return;
    case 'step':
      scenario.steps.push({ pipeline: words[0]!, name: words[1]!, words: words.slice(2) });
      return;
    case 'steps': {
      const [count, pipeline, name, firstId, ...rest] = words as [
        string,
        string,
        string,
        string,
        ...string[],
      ];
      for (const [i, job] of numberedJobIds(firstId, Number(count)).entries())
        scenario.steps.push({ pipeline, name: `${name}-${i}`, words: [job, ...rest] });
      return;
    }
    case 'set':
      for (const [key, value] of parseOptions(words)) scenario.settings.set(key, value);
      return;
    case 'at':
      scenario.actions.push({ atS: Number(words[0]), words: words.slice(1), line });
      return;
    case 'on':
      scenario.hooks.push(words);
      return;
    case 'expect':
      scenario.expectations.push({ words, line });
      return;
    case 'until':
      scenario.untilS = Number(words[0]);
      return;
    default:
      throw new Error(`scenario: unknown line '${line}'`);
  }
}

const SIMPLE_TXN_FAULTS = [
  'crash-before',
  'crash-after',
  'lose-reply',
  'throttled',
  'unavailable',
  'garbled',
] as const;

/** Throws at a fault that there isn't: scenarios are refused before they are played. */
export function parseTxnFault(words: readonly string[]): TxnFault {
  const [kind, seconds] = words;
  if (kind === 'hold') return { holdS: Number(seconds) };
  if (kind === 'outage') return { outageS: Number(seconds) };
  if (kind === 'slow-answer') return { slowAnswerS: Number(seconds) };
  const simple = SIMPLE_TXN_FAULTS.find((fault) => fault === kind);
  if (simple) return simple;
  throw new Error(`scenario: unknown fault of a transaction '${words.join(' ')}'`);
}

/** So many jobs' ids, numbered on from the first. */
export const numberedJobIds = (first: string, count: number): string[] =>
  Array.from({ length: count }, (_, i) => `req-${String(Number(first.slice(4)) + i).padStart(6, '0')}`);
