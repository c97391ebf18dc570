import * as fc from 'fast-check';
import {
  CANCEL_S,
  delayed,
  faultTimeS,
  LAST_EVENT_S,
  LEASE_S,
  leaderFault,
  overlapDelayS,
  singleFault,
  tenthsBetween,
  timedLine,
} from './drawn-faults.js';

/**
 * Days on which pipelines of one and of several transactions are submitted, submitted again, cancelled and retried, while transactions get
 * every kind of bad answer.
 */

const END_S = 150;
const SITE = `zones a b c
machine g4 a
machine g4 b
machine g4 c
machine g4 a
team red 8 14
set capacity=2 pipelines=1 report=1 lease=${LEASE_S} cancel=${CANCEL_S}
until ${END_S}`;

/** Takes so little that steps wait for each other alone. */
const SMALL_STEP = 'cpus=0.1 gpus=0.02 mem=0.1 gb=0';
/** More than any pipeline here has steps. */
const IDS_PER_PIPELINE = 100;

type Shape = 'fan' | 'pairs' | 'failing';

interface DrawnPipeline {
  readonly at: number;
  /** Beyond some twenty steps a pipeline takes several transactions, and beyond 48 several comparisons. */
  readonly steps: number;
  readonly shape: Shape;
  readonly repeatAfter: readonly number[];
  readonly change: readonly [after: number, what: 'cancel' | 'cancel-step' | 'retry'] | null;
}

const jobId = (number: number): string => `req-${String(number).padStart(6, '0')}`;

/** The declarations of a pipeline's steps. */
function declarations(id: string, first: number, { steps, shape }: DrawnPipeline): string[] {
  const half = Math.floor(steps / 2);
  switch (shape) {
    case 'fan':
      return [
        `step ${id} first ${jobId(first)} red array run=1 ${SMALL_STEP}`,
        `steps ${steps - 2} ${id} part ${jobId(first + 1)} red array run=1 ${SMALL_STEP} needs=first`,
        `step ${id} last ${jobId(first + steps - 1)} red array run=1 ${SMALL_STEP} needs=part*`,
      ];
    case 'pairs':
      return [
        `steps ${half} ${id} one ${jobId(first)} red array run=1 ${SMALL_STEP}`,
        `steps ${steps - half} ${id} two ${jobId(first + half)} red array tasks=2 run=2 ${SMALL_STEP} needs=one-0`,
      ];
    case 'failing':
      return [
        `step ${id} first ${jobId(first)} red array run=1 ${SMALL_STEP} faulty retries=1 backoff=1`,
        `steps ${steps - 1} ${id} part ${jobId(first + 1)} red array run=1 ${SMALL_STEP}`,
      ];
  }
}

function linesOf(pipeline: DrawnPipeline, index: number): string[] {
  const id = `p${index}`;
  const first = 1000 + index * IDS_PER_PIPELINE;
  const at = (seconds: number, what: string): string => `at ${Math.round(seconds * 100) / 100} ${what}`;
  const { change } = pipeline;
  const changes = change && {
    cancel: `cancel-pipeline ${id}`,
    'cancel-step': `cancel ${jobId(first + 1)}`,
    retry: `retry ${id} ${pipeline.shape === 'pairs' ? 'one-0' : 'first'}`,
  };
  return [
    ...declarations(id, first, pipeline),
    at(pipeline.at, `pipeline ${id}`),
    ...pipeline.repeatAfter.map((after) => at(pipeline.at + after, `pipeline ${id}`)),
    ...(change && changes ? [at(pipeline.at + change[0], changes[change[1]])] : []),
  ];
}

const anyPipeline: fc.Arbitrary<DrawnPipeline> = fc.record({
  at: tenthsBetween(1, LAST_EVENT_S),
  steps: fc.constantFrom(6, 24, 30, 60),
  shape: fc.constantFrom<Shape>('fan', 'pairs', 'failing'),
  repeatAfter: fc.array(fc.constantFrom(0, 0.02, 0.1, 0.3, 1, 5), { maxLength: 2 }),
  change: fc.option(
    fc.tuple(
      fc.constantFrom(0.1, 0.5, 2, 5, 9),
      fc.constantFrom('cancel' as const, 'cancel-step' as const, 'retry' as const),
    ),
    { freq: 2 },
  ),
});

const badAnswer = fc.constantFrom(
  'lose-reply',
  'throttled',
  'unavailable',
  'garbled',
  'hold 3',
  'hold 9',
  'slow-answer 0.4',
  'slow-answer 1',
  'slow-answer 2',
);

/** What meets an acceptance, a change or the end of a pipeline. */
const pipelineScene: fc.Arbitrary<readonly string[]> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc
      .tuple(
        fc.constantFrom('compare:end/', 'job/pipe', 'job/', 'end/', 'pipe/', 'finished/'),
        fc.constantFrom(1, 2, 3),
        badAnswer,
      )
      .map(([prefix, nth, fault]) => [`hook ${prefix} ${nth} ${fault}`]),
  },
  {
    weight: 3,
    arbitrary: fc
      .tuple(fc.constantFrom(0.1, 0.3, 0.6), fc.constantFrom(3, 10, 20))
      .map(([share, lengthS]) => [`bad-answers ${share} ${lengthS}`]),
  },
  {
    weight: 2,
    arbitrary: fc
      .tuple(fc.constantFrom('job/pipe', 'compare:end/', 'end/'), badAnswer, overlapDelayS, leaderFault)
      .map(([prefix, answer, gap, fault]) => [`hook ${prefix} 1 ${answer}`, delayed(gap, fault)]),
  },
  {
    weight: 1,
    arbitrary: fc
      .tuple(fc.constantFrom('n0', 'n1', 'n2', 'follower'), fc.constantFrom(3, 5.9, 9))
      .map(([node, lengthS]) => [
        `hook job/pipe 1 slow-answer 0.4`,
        delayed(0.1, `stall ${node} ${lengthS}`),
      ]),
  },
  { weight: 1, arbitrary: fc.constant(['close-looks 20 0.1']) },
  { weight: 3, arbitrary: singleFault.map((fault) => [fault]) },
);

/** A day as the text of a scenario. */
export const pipelineDay: fc.Arbitrary<string> = fc
  .record({
    pipelines: fc.array(anyPipeline, { minLength: 1, maxLength: 4 }),
    faults: fc.array(fc.record({ at: faultTimeS, what: pipelineScene }), { minLength: 1, maxLength: 6 }),
    seed: fc.integer({ min: 1, max: 1000 }),
  })
  .map(({ pipelines, faults, seed }) =>
    [
      SITE,
      ...pipelines.flatMap(linesOf),
      ...faults.flatMap(({ at, what }) => what.map((line) => timedLine(at, line))),
      `set seed=${seed}`,
    ].join('\n'),
  );
