import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { maxMinFairShares } from '../src/coordination/fair-share/max-min-fair-shares.js';
import { RuntimeEstimates } from '../src/cluster/runtime-estimates.js';
import { BackfillReservations } from '../src/coordination/fair-share/backfill-reservations.js';
import type {
  Attempt,
  JobId,
  MachineId,
  PlanId,
  AgentEpoch,
  TaskIndex,
  Term,
  ZoneName,
} from '../src/protocol/ids.js';
import type { JobSpec } from '../src/protocol/jobs.js';
import type { SteadyMs } from '../src/transport/clock.js';
import { ClusterState, waitingTaskCount, type Job, type Machine } from '../src/cluster/cluster-state.js';
import { addQueuedJobs, buildJobSpec } from './simulator/cluster-state-builders.js';
import { mean, runWorkload, type Workload, type WorkloadClass } from './simulator/workload.js';
import { machineType, team } from './simulator/cluster-builders.js';

const ZONES = ['a', 'b'];
const SMALL = machineType('g2', ZONES, { gpus: 2, cpus: 12, memoryGb: 48 });
const BIG = machineType('g4', ZONES, { gpus: 4, cpus: 32, memoryGb: 128 });

/** Gangs on a few GPUs, gangs on whole machines (each in one zone), and arrays of small independent tasks. */
const SHAPES: Readonly<Record<string, Partial<JobSpec>>> = {
  small: { kind: 'gang', tasks: 2, cpus: 5, gpus: 1, memoryGb: 10, oneZone: true, checkpointS: 30 },
  whole: { kind: 'gang', tasks: 2, cpus: 28, gpus: 4, memoryGb: 100, oneZone: true, checkpointS: 30 },
  array: { kind: 'array', tasks: 20, cpus: 5, gpus: 1, memoryGb: 10 },
};

const NOW = 1000 as SteadyMs;

/** A cluster state with machines of four GPUs in zone a. */
function buildCluster(
  specs: readonly JobSpec[],
  machineCount: number,
): { cluster: ClusterState; machines: Machine[] } {
  const cluster = new ClusterState(1n as Term);
  addQueuedJobs(cluster, specs);
  const machines = Array.from({ length: machineCount }, (_, i) => {
    const machine = cluster.addMachine(`m-${i}` as MachineId, BIG.name, 'a' as ZoneName, false, NOW, NOW);
    return Object.assign(machine, { state: 'up', fenced: true, agentEpoch: 1n as AgentEpoch });
  });
  return { cluster, machines };
}

const buildWorkload = (classes: readonly WorkloadClass[], overrides: Partial<Workload> = {}): Workload => ({
  types: [SMALL, BIG],
  machines: [8, 8],
  zones: ZONES,
  teams: [team('red', 1000, 9000)],
  classes,
  seconds: 900,
  knobs: { maxReservedShare: 0.25, preferUnderserved: 1 },
  seed: 1,
  ...overrides,
});

test('max-min fairness gives equal shares, and no demand more than it asks for', () => {
  assert.deepEqual(maxMinFairShares([0.1, 0.9, 0.9], 0.9), [0.1, 0.4, 0.4]);
  assert.deepEqual(maxMinFairShares([0.2, 0.3], 1), [0.2, 0.3]);
  assert.deepEqual(maxMinFairShares([1, 1], 0), [0, 0]);
});

test('gangs of whole machines are served beside many small gangs of the same rank', () => {
  const classes: WorkloadClass[] = [
    { name: 'whole', spec: { ...SHAPES['whole'], priority: 'high' }, runS: 60, rate: 0.05 },
    { name: 'small', spec: { ...SHAPES['small'], priority: 'high' }, runS: 60, backlog: 60 },
  ];
  const before = runWorkload(
    buildWorkload(classes, { knobs: { maxReservedShare: 0, preferUnderserved: 0 } }),
  ).get('whole')!;
  const now = runWorkload(buildWorkload(classes)).get('whole')!;
  // Without reservations and share floors each GPU that becomes free goes to the next small job.
  assert.ok(before.started < now.started / 2, `${before.started} and ${now.started} of ${now.submitted}`);
  assert.ok(now.done >= 0.7 * now.submitted, `${now.done} of ${now.submitted} done`);
});

/**
 * The bound: averaged over four windows, a class that always has waiting work of a shape that fits holds at least 0.4 of its
 * fair share of the GPUs if no class has a higher rank, and 0.2 otherwise. The floors are 0.6 and 0.3 of the fair share; the
 * difference is the cost of freeing whole machines.
 */
test('a class with waiting work gets its share of the GPUs, whatever other classes submit', () => {
  const arbitraryClassShape = fc.record({
    shape: fc.constantFrom('small', 'whole', 'array'),
    priority: fc.constantFrom<JobSpec['priority']>('high', 'normal', 'low'),
    runS: fc.integer({ min: 10, max: 60 }),
    estimate: fc.constantFrom(0.5, 1, 2),
  });
  fc.assert(
    fc.property(
      fc.array(arbitraryClassShape, { minLength: 2, maxLength: 4 }),
      fc.nat(1000),
      (classShapes, seed) => {
        const classes = classShapes.map((classShape, i): WorkloadClass => ({
          name: `c${i}-${classShape.shape}-${classShape.priority}`,
          spec: { ...SHAPES[classShape.shape], priority: classShape.priority },
          runS: classShape.runS,
          estimate: classShape.estimate,
          backlog: 40,
        }));
        const results = runWorkload(buildWorkload(classes, { seed, seconds: 400 }));
        const ranks = classShapes.map((classShape) => ['high', 'normal', 'low'].indexOf(classShape.priority));
        const best = Math.min(...ranks);
        [...results].forEach(([name, result], i) => {
          const share = mean(result.held, 150, 400);
          // Only the larger machines fit a `whole` task; they have two thirds of all GPUs.
          const wholeClasses = classShapes.filter((classShape) => classShape.shape === 'whole').length;
          const fairShare = Math.min(
            1 / classShapes.length,
            classShapes[i]!.shape === 'whole' ? 2 / 3 / wholeClasses : 1,
          );
          const minShare = (ranks[i] === best ? 0.4 : 0.2) * fairShare;
          const measuredShares = [...results]
            .map(([otherName, other]) => `${otherName} ${mean(other.held, 150, 400).toFixed(2)}`)
            .join(', ');
          assert.ok(
            share >= minShare,
            `${name} has ${share.toFixed(3)}, expected at least ${minShare.toFixed(3)}: ${measuredShares}`,
          );
        });
      },
    ),
    { seed: 3, numRuns: 12, endOnFailure: true },
  );
});

test('a waiting job is explained by the fair-share rule that applies, and since when', () => {
  const lines = new Set<string>();
  const findLine = (text: RegExp): string | undefined => [...lines].find((line) => text.test(line));
  runWorkload(
    buildWorkload(
      [
        { name: 'whole', spec: { ...SHAPES['whole'], priority: 'high' }, runS: 60, rate: 0.05 },
        { name: 'small', spec: { ...SHAPES['small'], priority: 'high' }, runS: 60, backlog: 60 },
      ],
      {
        seconds: 200,
        onSecond: (second, cluster, fairShare) => {
          for (const job of cluster.jobs.values()) {
            if (waitingTaskCount(job) === 0) continue;
            for (const line of fairShare.explain(job, (second * 1000) as SteadyMs)) lines.add(line);
          }
        },
      },
    ),
  );
  assert.ok(findLine(/^Rooms are kept for it since \d+ s in [ab]: m-\d+, m-\d+; .* free in \d+ s\.$/));
  assert.ok(findLine(/machines are kept for gangs that waited longer, the first since \d+ s/));
  assert.ok(findLine(/^Its class whole goes first since \d+ s: \d+ % of the machines/));
  assert.ok(findLine(/^Others go first, having had less than their part: class whole/));
});

test('a reserved machine that is removed is replaced; without enough machines in any zone the reservation is abandoned', () => {
  const { cluster, machines } = buildCluster(
    [
      buildJobSpec('req-000001' as JobId, { ...SHAPES['whole'], priority: 'high' }),
      buildJobSpec('req-000002' as JobId, { tasks: 100, cpus: 5, priority: 'high' }),
    ],
    3,
  );
  const [gang, small] = [...cluster.jobs.values()];
  machines.forEach((machine, i) => {
    const placement = cluster.addPlacement(
      small!,
      i as TaskIndex,
      1n as Attempt,
      machine,
      1n as AgentEpoch,
      'p' as PlanId,
      NOW,
    );
    placement.runningSince = NOW;
  });
  const reservations = new BackfillReservations();
  const update = (now: SteadyMs): string[] =>
    reservations
      .update({
        now,
        cluster,
        types: new Map([[BIG.name, BIG]]),
        estimates: new RuntimeEstimates(),
        usable: (machine) => machine.state === 'up',
        blocked: [gang!],
        mayPreempt: () => false,
        maxReservations: () => 1,
        maxReservedShare: 0.25,
      })
      .map(({ kind }) => kind);
  assert.deepEqual(update(NOW), ['created']);
  const [reserved] = [...reservations.reservedMachines.keys()];
  cluster.removeMachine(cluster.machines.get(reserved!)!, NOW);
  assert.deepEqual(update(NOW), ['moved']);
  assert.equal(reservations.reservedMachines.size, 2);
  assert.ok(!reservations.reservedMachines.has(reserved!));
  cluster.removeMachine(cluster.machines.get([...reservations.reservedMachines.keys()][0]!)!, NOW);
  assert.deepEqual(update(NOW), ['abandoned']);
  assert.equal(reservations.reservedMachines.size, 0);
});

/** A gang of whole machines beside free ones, and the reservations for it: `updateAt` returns their changes, with the reasons. */
function setUpReservations(): {
  cluster: ClusterState;
  machines: readonly Machine[];
  gang: Job;
  reservations: BackfillReservations;
  updateAt: (now: number) => string[];
} {
  const { cluster, machines } = buildCluster(
    [buildJobSpec('req-000001' as JobId, { ...SHAPES['whole'] })],
    2,
  );
  const gang = [...cluster.jobs.values()][0]!;
  const reservations = new BackfillReservations();
  const snapshotAt = (now: number): Parameters<BackfillReservations['update']>[0] => ({
    now: now as SteadyMs,
    cluster,
    types: new Map([[BIG.name, BIG]]),
    estimates: new RuntimeEstimates(),
    usable: () => true,
    blocked: gang.placements.size > 0 || !cluster.jobs.has(gang.id) ? [] : [gang],
    mayPreempt: () => false,
    maxReservations: () => 1,
    maxReservedShare: 0.25,
  });
  const updateAt = (now: number): string[] =>
    reservations
      .update(snapshotAt(now))
      .map((event) => ('reason' in event ? `${event.kind}: ${event.reason}` : event.kind));
  return { cluster, machines, gang, reservations, updateAt };
}

test('a reservation is abandoned when it expires and ends when its job is placed', () => {
  const { cluster, machines, gang, updateAt } = setUpReservations();
  assert.deepEqual(updateAt(1000), ['created']);
  // The machines are free but the job is not placed: other work may use them for a while.
  assert.deepEqual(updateAt(40_000), ['abandoned: its rooms took too long to become free']);
  assert.deepEqual(updateAt(50_000), []);
  assert.deepEqual(updateAt(61_000), ['created']);
  cluster.addPlacement(
    gang,
    0 as TaskIndex,
    1n as Attempt,
    machines[0]!,
    1n as AgentEpoch,
    'p' as PlanId,
    NOW,
  );
  assert.deepEqual(updateAt(62_000), ['ended: it has its rooms']);
});

test('a reservation ends with its job, and when the job is cancelled, and releases its machines', () => {
  for (const end of ['removed', 'cancelled']) {
    const { cluster, gang, reservations, updateAt } = setUpReservations();
    assert.deepEqual(updateAt(1000), ['created']);
    assert.ok(reservations.reservedMachines.size > 0);
    if (end === 'removed') cluster.removeJob(gang);
    else gang.cancelledAt = NOW;
    assert.equal(updateAt(2000)[0], 'ended: the job has ended or was cancelled');
    if (end === 'removed') assert.equal(reservations.reservedMachines.size, 0);
  }
});
