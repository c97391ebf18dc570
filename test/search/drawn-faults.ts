import * as fc from 'fast-check';

/** Faults and combinations of faults that days are drawn from, as lines of scenarios. */

/** Settings that all drawn days share. The lengths of faults are drawn around these bounds and their differences. */
export const LEASE_S = 8;
export const CANCEL_S = 22;
const FIRST_FAULT_S = 3;
export const LAST_EVENT_S = 36;

export const tenthsBetween = (least: number, most: number): fc.Arbitrary<number> =>
  fc.integer({ min: Math.round(least * 10), max: Math.round(most * 10) }).map((n) => n / 10);
export const faultTimeS = tenthsBetween(FIRST_FAULT_S, LAST_EVENT_S);
const node = fc.constantFrom('holder', 'n0', 'n1', 'n2', 'follower');
const machine = fc.constantFrom('m-000000', 'm-000001', 'm-000002', 'm-000003', 'm-000004', 'zone:a');
const mode = fc.constantFrom('drop', 'hold', 'reset');
/**
 * Lengths of faults around each bound: the store lease (4 s), the agent lease, how long a leader without the store may answer, and the
 * limit for cancellations.
 */
const faultLengthS = fc
  .tuple(
    fc.constantFrom(0.3, 4, LEASE_S, CANCEL_S - LEASE_S - 2, CANCEL_S - LEASE_S, CANCEL_S),
    fc.constantFrom(-0.5, -0.1, 0, 0.1, 0.5, 2),
  )
  .map(([bound, off]) => Math.max(0.1, Math.round((bound + off) * 10) / 10));
const line = (...parts: readonly fc.Arbitrary<string | number>[]): fc.Arbitrary<string> =>
  fc.tuple(...parts).map((p) => p.join(' '));
const literal = fc.constant;

export const singleFault: fc.Arbitrary<string> = fc.oneof(
  line(
    literal('crash'),
    fc.constantFrom('holder', 'all', 'n0', 'n1', 'follower'),
    fc.constantFrom(0.1, 0.3, 1, 3),
  ),
  line(literal('stall'), node, faultLengthS),
  line(
    literal('cut'),
    node,
    fc.constantFrom('store', 'cloud', 'peers', 'workers', 'all'),
    mode,
    faultLengthS,
  ),
  line(literal('refuse'), node, faultLengthS),
  line(literal('outage'), fc.constantFrom('store', 'cloud'), faultLengthS),
  line(literal('isolate'), machine, mode, faultLengthS),
  line(literal('hang'), machine, faultLengthS),
  line(literal('deafen'), machine, faultLengthS),
  line(literal('mute'), machine, faultLengthS),
  line(literal('spoil'), fc.oneof(machine, literal('all')), faultLengthS),
  line(literal('lose-words'), node, faultLengthS),
  line(literal('copies'), fc.constantFrom(5, 20), literal(1), fc.constantFrom(3, LEASE_S, 3 * LEASE_S)),
  line(literal('restart'), machine),
  line(literal('take'), fc.constantFrom('m-000001', 'm-000003', 'm-000004')),
  line(literal('fail'), fc.constantFrom('m-000000', 'm-000002')),
  line(literal('notice'), literal('m-000003'), fc.constantFrom(1, 5)),
  line(literal('late-orders'), fc.constantFrom(1, 8), fc.constantFrom(2, LEASE_S, 20)),
  line(literal('late-commands'), fc.constantFrom(0.3, 1), fc.constantFrom(5, 20)),
  line(literal('late-commands'), fc.constantFrom(0.3, 1), fc.constantFrom(5, 20), literal('answers')),
  line(literal('lose-rentals'), fc.constantFrom(1, 2)),
  line(literal('duds'), fc.constantFrom(1, 3)),
  line(literal('late-writes'), fc.constantFrom(0.2, 0.6, 1), fc.constantFrom(3, 12)),
  line(literal('lost-answers'), fc.constantFrom(0.2, 0.6, 1), fc.constantFrom(3, 12)),
  line(literal('copies-for-next'), fc.constantFrom(5, 15)),
  line(literal('close-looks'), fc.constantFrom(5, 20), fc.constantFrom(0, 0.2)),
  line(literal('cancel-now'), fc.constantFrom(1, 4), fc.constantFrom(0, 6, LEASE_S, CANCEL_S)),
  line(literal('cancel-at-end'), fc.constantFrom(0.3, 1), fc.constantFrom(5, 20)),
  line(literal('odd-requests'), fc.constantFrom(3, 15)),
  line(literal('enclose'), fc.constantFrom('zone:a', 'zone:b', 'm-000000'), node, mode, faultLengthS),
  line(
    literal('slow-links'),
    fc.constantFrom('all', 'holder', 'n1'),
    fc.constantFrom('store', 'peers', 'workers', 'all'),
    fc.constantFrom(0.2, 0.8, 1.5),
    faultLengthS,
  ),
  line(literal('slow-store'), fc.constantFrom(0.3, 1), fc.constantFrom(0.3, 1, 3), fc.constantFrom(3, 12)),
  line(
    literal('hook'),
    fc.constantFrom('plan/', 'finished/', 'end/', 'job/', 'term/'),
    fc.constantFrom(1, 2, 3),
    fc.oneof(
      fc.constantFrom('crash-before', 'crash-after', 'lose-reply', 'slow-answer 0.4', 'slow-answer 1'),
      faultLengthS.map((s) => `hold ${s}`),
      faultLengthS.map((s) => `outage ${s}`),
    ),
  ),
);

/** Seconds from one fault to the overlapping one, around the bounds of both. */
export const overlapDelayS = fc.constantFrom(0, 0.1, 0.5, 1, 2, 3.9, 4.2, 5, 7, 10);
export const delayed = (s: number, what: string): string => `+${Math.round(s * 10) / 10} ${what}`;

/** A long job is submitted this long before the faults that its cancellation overlaps. */
const SUBMIT_LEAD_S = 4;
/** A job that runs until it is cancelled, or nearly to the end of the day, and its cancellation. */
const anyLongJob = fc
  .tuple(
    fc.integer({ min: 10, max: 99 }),
    fc.constantFrom('service tasks=2', 'array tasks=4 run=90', 'gang tasks=2 run=90'),
    fc.constantFrom('follower', 'other', 'n0', 'n2'),
  )
  .map(([n, kind, by]) => ({
    id: `req-0000${n}`,
    submit: `submit req-0000${n} red ${kind} gb=0`,
    cancel: `cancel req-0000${n} ${by}`,
  }));

/**
 * Pairs of overlapping faults that have caused invariant violations: the second starts within seconds of the first, and users cancel,
 * poll and submit in between. `+s` before a line delays it by so many seconds.
 */
const faultPair: fc.Arbitrary<readonly string[]> = fc.oneof(
  // The store refuses the leader, then has an outage. Users cancel in the gap through controllers that the store still serves; some
  // of these cancellations get no reply from the store.
  fc
    .tuple(faultLengthS, overlapDelayS, faultLengthS, anyLongJob, fc.boolean())
    .map(([refused, gap, down, longJob, unclear]) => [
      longJob.submit,
      delayed(SUBMIT_LEAD_S, `refuse holder ${refused + 4}`),
      ...(unclear ? [delayed(SUBMIT_LEAD_S + 0.1, 'hook job/ 1 lose-reply')] : []),
      delayed(SUBMIT_LEAD_S + 0.2, longJob.cancel),
      ...(unclear
        ? [
            delayed(SUBMIT_LEAD_S + 0.4, `poll ${longJob.id} other`),
            delayed(SUBMIT_LEAD_S + 0.6, `poll ${longJob.id} n1`),
          ]
        : []),
      delayed(SUBMIT_LEAD_S + gap + 0.3, `outage store ${down + CANCEL_S}`),
    ]),
  // The store has an outage while a new leader is elected.
  fc
    .tuple(
      fc.oneof(
        line(literal('cut holder store'), mode, faultLengthS),
        literal('crash holder 1'),
        line(literal('refuse holder'), faultLengthS),
      ),
      anyLongJob,
      faultLengthS,
    )
    .map(([how, longJob, down]) => [
      longJob.submit,
      delayed(SUBMIT_LEAD_S, `hook term/ 1 outage ${down + CANCEL_S}`),
      delayed(SUBMIT_LEAD_S, how),
      delayed(SUBMIT_LEAD_S + 0.3, longJob.cancel),
    ]),
  // Transactions are applied late, and another fault overlaps.
  fc
    .tuple(fc.constantFrom(0.3, 0.7), overlapDelayS, singleFault, anyLongJob)
    .map(([share, gap, second, longJob]) => [
      longJob.submit,
      delayed(SUBMIT_LEAD_S, `late-writes ${share} 6`),
      delayed(SUBMIT_LEAD_S + gap, second),
      delayed(SUBMIT_LEAD_S + gap + 0.2, longJob.cancel),
    ]),
  // Tasks of one job complete in several waves, some completions are written late, and the leader crashes twice in between.
  fc
    .tuple(fc.constantFrom(0.3, 0.6), fc.constantFrom(5, 7, 9, 12), fc.constantFrom(0.2, 1, 3), anyLongJob)
    .map(([share, crashAfterS, restartS, longJob]) => [
      `submit ${longJob.id} red array tasks=40 run=3 gb=0`,
      delayed(3, `late-writes ${share} 8`),
      delayed(crashAfterS, `crash holder ${restartS}`),
      delayed(crashAfterS + 6, `crash holder ${restartS}`),
    ]),
  // The store is slow, requests are refused or controllers restart, and users cancel.
  fc
    .tuple(
      fc.constantFrom(0.5, 1.5),
      overlapDelayS,
      fc.constantFrom('refuse holder 6', 'crash all 0.3', 'refuse n1 9'),
      anyLongJob,
    )
    .map(([delayS, gap, second, longJob]) => [
      longJob.submit,
      delayed(SUBMIT_LEAD_S, `slow-store 0.7 ${delayS} 15`),
      delayed(SUBMIT_LEAD_S + gap, second),
      delayed(SUBMIT_LEAD_S + gap + 0.3, longJob.cancel),
    ]),
  // Machines are unreachable, or have a one-way link failure, while the leader crashes or stalls.
  fc
    .tuple(
      fc.oneof(
        line(literal('isolate'), machine, mode, faultLengthS),
        line(literal('deafen'), machine, faultLengthS),
      ),
      overlapDelayS,
      fc.constantFrom('crash holder 0.2', 'crash holder 3', 'stall holder 9'),
      anyLongJob,
    )
    .map(([first, gap, second, longJob]) => [
      longJob.submit,
      delayed(SUBMIT_LEAD_S, first),
      delayed(SUBMIT_LEAD_S + gap, second),
      delayed(SUBMIT_LEAD_S + gap + 0.5, longJob.cancel),
    ]),
  // Machines hang while starts reach them late, and users cancel.
  fc
    .tuple(
      line(literal('hang'), machine, faultLengthS),
      fc.constantFrom(1, 5),
      fc.constantFrom(2, 4, LEASE_S),
      anyLongJob,
    )
    .map(([hang, n, late, longJob]) => [
      `late-orders ${n} ${late}`,
      longJob.submit,
      delayed(0.3, hang),
      delayed(1, longJob.cancel),
    ]),
  // Several failovers within seconds.
  fc
    .tuple(fc.constantFrom(0.1, 0.5, 1), overlapDelayS, fc.constantFrom('holder', 'all', 'n0'), fc.boolean())
    .map(([restartS, gap, who, again]) => [
      `crash holder ${restartS}`,
      delayed(gap, `crash ${who} ${restartS}`),
      ...(again ? [delayed(gap + 0.2, `crash holder ${restartS}`)] : []),
    ]),
  // The leader is isolated from the store and its peers, while users cancel through the new leader.
  fc.tuple(mode, faultLengthS, fc.boolean(), anyLongJob).map(([cutMode, lengthS, cloud, longJob]) => [
    longJob.submit,
    delayed(SUBMIT_LEAD_S, `cut holder store ${cutMode} ${lengthS + CANCEL_S}`),
    delayed(SUBMIT_LEAD_S, `cut holder peers ${cutMode} ${lengthS + CANCEL_S}`),
    // With the cloud reachable, machines with cancelled tasks are returned, whichever controller answers them.
    ...(cloud ? [delayed(SUBMIT_LEAD_S, `outage cloud ${lengthS + CANCEL_S}`)] : []),
    delayed(SUBMIT_LEAD_S + 6, longJob.cancel),
  ]),
);

/** Faults that end a leadership. */
export const leaderFault = fc.constantFrom(
  'crash holder 0.2',
  'crash holder 3',
  'refuse holder 9',
  'stall holder 6',
  'crash all 0.3',
);
/** More overlapping faults: users probing after each answer, lost replies, team limits, and old heartbeats that reach the next leader. */
const otherFaultPair: fc.Arbitrary<readonly string[]> = fc.oneof(
  // Users probe all controllers while replies of the store are lost and the leader fails.
  fc
    .tuple(fc.constantFrom(0.3, 0.7), overlapDelayS, leaderFault, anyLongJob)
    .map(([share, gap, fault, longJob]) => [
      'close-looks 20 0.1',
      longJob.submit,
      delayed(SUBMIT_LEAD_S, `lost-answers ${share} 8`),
      delayed(SUBMIT_LEAD_S + gap, fault),
      delayed(SUBMIT_LEAD_S + gap + 0.1, longJob.cancel),
    ]),
  // A team is at its limit, machines are unreachable, jobs are cancelled, and the leader fails.
  fc
    .tuple(
      fc.oneof(
        line(literal('isolate'), machine, mode, faultLengthS),
        line(literal('deafen'), machine, faultLengthS),
        line(literal('mute'), machine, faultLengthS),
        line(literal('hang'), machine, faultLengthS),
      ),
      overlapDelayS,
      leaderFault,
      anyLongJob,
    )
    .map(([how, gap, fault, longJob]) => [
      'submits 3 req-000500 blue array tasks=4 run=60 gb=0',
      longJob.submit,
      'submits 2 req-000510 blue array tasks=2 run=3 gb=0',
      delayed(SUBMIT_LEAD_S, how),
      delayed(SUBMIT_LEAD_S + 0.2, 'cancels 2 req-000500'),
      delayed(SUBMIT_LEAD_S + 0.4, longJob.cancel),
      delayed(SUBMIT_LEAD_S + gap, fault),
    ]),
  // Old heartbeats reach all controllers as a new leader starts.
  fc
    .tuple(fc.constantFrom(1, 5, 9), leaderFault, machine, anyLongJob)
    .map(([gap, fault, machineId, longJob]) => [
      longJob.submit,
      'copies-for-next 12',
      delayed(1, `restart ${machineId}`),
      delayed(gap, longJob.cancel),
      delayed(gap, fault),
    ]),
  // Several jobs are cancelled at once, their machines hang, and the leader fails.
  fc
    .tuple(fc.constantFrom(0, 6, LEASE_S, CANCEL_S), overlapDelayS, leaderFault, anyLongJob)
    .map(([hang, gap, fault, longJob]) => [
      longJob.submit,
      delayed(SUBMIT_LEAD_S, `cancel-now 4 ${hang}`),
      delayed(SUBMIT_LEAD_S + gap, fault),
    ]),
  // Writes are delayed just after machines were provisioned, and the leader fails.
  fc
    .tuple(
      fc.constantFrom('late-writes 0.5 8', 'lost-answers 0.5 8', 'slow-store 0.8 1 8'),
      overlapDelayS,
      leaderFault,
    )
    .map(([lag, gap, fault]) => [
      'submits 3 req-000520 red array tasks=4 run=6 gb=0',
      lag,
      delayed(1, 'take m-000001'),
      delayed(gap + 0.5, fault),
    ]),
  // Users cancel and probe jobs at the moment their last task completes.
  fc
    .tuple(fc.constantFrom(0.5, 1), singleFault)
    .map(([share, second]) => [
      `cancel-at-end ${share} 20`,
      'close-looks 20',
      'submits 4 req-000530 red array tasks=1 run=2 gb=0',
      delayed(3, second),
    ]),
);

/** A task of which a machine can run and retain many. */
const SMALL_TASK = 'cpus=0.05 gpus=0.02 mem=0.1 gb=0';

/** Answers and repeats that meet a cancellation or a failure: each has broken an invariant (`docs/incidents`, 2026-12-04). */
const answerScene: fc.Arbitrary<readonly string[]> = fc.oneof(
  // Answers to commits take some hundred milliseconds longer while users cancel what was just planned.
  fc
    .tuple(
      fc.constantFrom('plan/', 'end/', 'finished/', 'job/'),
      fc.constantFrom(1, 2),
      fc.constantFrom(0.3, 0.6, 1),
      fc.constantFrom(0.1, 0.2, 0.3, 0.5),
      anyLongJob,
    )
    .map(([prefix, nth, delayS, cancelAfterS, longJob]) => [
      `hook ${prefix} ${nth} slow-answer ${delayS}`,
      longJob.submit,
      delayed(cancelAfterS, longJob.cancel),
      delayed(cancelAfterS + 2, 'submits 2 req-000590 blue array tasks=2 run=3 gb=0'),
    ]),
  // A machine retains many ended attempts, tasks fail or are moved away there, and starts that were carried out are repeated.
  fc
    .tuple(
      fc.constantFrom(40, 140, 200),
      fc.constantFrom('spoil m-000000 5', 'spoil m-000003 5', 'notice m-000003 5', 'restart m-000000'),
      fc.constantFrom(3, LEASE_S, 3 * LEASE_S),
      leaderFault,
      fc.boolean(),
    )
    .map(([tasks, fault, lateS, leaderEnds, changesLeader]) => [
      `submit req-000595 red array tasks=${tasks} run=60 zone=a spot ${SMALL_TASK}`,
      delayed(4, 'cancel req-000595'),
      delayed(5, `copies 14 1 ${lateS}`),
      delayed(6, fault),
      delayed(6.5, 'submits 2 req-000596 blue array tasks=4 run=9 spot gb=0'),
      ...(changesLeader ? [delayed(9, leaderEnds)] : []),
    ]),
);

/** Jobs that may be left waiting beside free capacity: behind a gang that can never be placed, or after machines failed tasks for a while. */
export const waitingScene: fc.Arbitrary<readonly string[]> = fc.oneof(
  fc
    .tuple(
      fc.constantFrom('tasks=2 one_zone', 'tasks=3', 'tasks=3 spread'),
      fc.constantFrom(1, 4),
      overlapDelayS,
    )
    .map(([form, n, gap]) => [
      `submits ${n} req-000540 red gang run=6 gb=0 gpus=4 class=huge ${form}`,
      delayed(1, 'take m-000001'),
      delayed(3 + gap, 'submits 3 req-000550 blue array tasks=1 run=5 gb=0 gpus=2'),
      delayed(5 + gap, 'submits 2 req-000560 red gang tasks=2 run=5 gb=0 gpus=2'),
    ]),
  fc
    .tuple(fc.constantFrom('all', 'zone:a', 'zone:b'), faultLengthS, singleFault)
    .map(([who, spoilS, second]) => [
      'submits 3 req-000570 blue array tasks=3 run=6 gb=0',
      `spoil ${who} ${spoilS}`,
      delayed(2, second),
      delayed(3, 'submit req-000580 red array tasks=2 run=6 gb=0 gpus=4'),
    ]),
);

/** Single faults, and combinations whose effect none of their faults has alone. */
export const scene: fc.Arbitrary<readonly string[]> = fc.oneof(
  { weight: 4, arbitrary: singleFault.map((t) => [t]) },
  { weight: 4, arbitrary: faultPair },
  { weight: 4, arbitrary: otherFaultPair },
  { weight: 2, arbitrary: waitingScene },
  { weight: 2, arbitrary: answerScene },
  { weight: 1, arbitrary: faultLengthS.map((s) => [`hook end/ 1 hold ${s}`]) },
  {
    weight: 1,
    arbitrary: fc
      .tuple(
        fc.constantFrom('crash holder 0.1', 'crash holder 1', 'stall holder 9'),
        fc.constantFrom(3, LEASE_S, 3 * LEASE_S),
      )
      .map(([fault, late]) => [`copies 12 1 ${late}`, fault]),
  },
  {
    weight: 1,
    arbitrary: fc
      .tuple(fc.constantFrom(4.5, 5, 6, 9), machine)
      .map(([lengthS, machineId]) => [`stall holder ${lengthS}`, `isolate ${machineId} hold ${lengthS}`]),
  },
);

/** A line of a fault at its time; `+s` before it delays it by so many seconds. */
export const timedLine = (at: number, what: string): string => {
  const [, plus, rest] = /^(?:\+([\d.]+) )?(.*)$/.exec(what)!;
  return `at ${Math.round((at + Number(plus ?? 0)) * 10) / 10} ${rest!}`;
};
