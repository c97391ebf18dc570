import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RuntimeEstimates } from '../src/cluster/runtime-estimates.js';
import { ClusterState, type Placement } from '../src/cluster/cluster-state.js';
import { HeartbeatMonitor } from '../src/coordination/heartbeats/heartbeat-monitor.js';
import type { HeartbeatContext } from '../src/coordination/heartbeats/heartbeat-context.js';
import { handleCommandReply, handleHeartbeat } from '../src/coordination/heartbeats/heartbeat-handler.js';
import type {
  Address,
  Attempt,
  ImageName,
  JobId,
  MachineId,
  ModRevision,
  PlanId,
  HeartbeatSequence,
  AgentEpoch,
  TaskIndex,
  TeamName,
  Term,
  TypeName,
  ZoneName,
} from '../src/protocol/ids.js';
import type { Command, Heartbeat, ReportedTask } from '../src/protocol/heartbeats.js';
import { Causes, type Cause } from '../src/protocol/wire.js';
import { attemptOf } from '../src/storage/records.js';
import type { SteadyMs } from '../src/transport/clock.js';
import { silentLog } from '../src/transport/log.js';
import { Metrics } from '../src/transport/metrics.js';
import { ProcessClock, VirtualTime } from './simulator/virtual-time.js';

/**
 * What proves that a task no longer runs on its machine, and what does not. Each case guards against a wrong proof, after which a
 * task runs twice.
 */
const TERM = 5n as Term;

function setUp(): {
  context: HeartbeatContext & { readonly cluster: ClusterState };
  placement: Placement;
  heartbeat: (f: Partial<Heartbeat>) => Heartbeat;
} {
  const cluster = new ClusterState(TERM);
  const clock = new ProcessClock(new VirtualTime(), 1, 0);
  const job = cluster.addJob(
    {
      spec: {
        id: 'req-000001' as JobId,
        class: 'c',
        team: 'red' as TeamName,
        kind: 'service',
        priority: 'normal',
        tasks: 1,
        cpus: 1,
        gpus: 1,
        memoryGb: 1,
        image: 'i' as ImageName,
        imageGb: 1,
        types: null,
        zone: null,
        oneZone: false,
        spread: false,
        spot: false,
        estimateS: 0,
        checkpointS: 0,
        saveS: 0,
        deadlineS: null,
      },
      state: 'running',
      generation: 1,
      term: TERM,
      attempt: 1,
      done: 0,
      acceptedAt: 0 as never,
      cancelledAt: null,
    },
    1n as ModRevision,
    0 as SteadyMs,
    undefined,
  );
  const machine = cluster.addMachine(
    'm-1' as MachineId,
    'g' as TypeName,
    'a' as ZoneName,
    false,
    clock.now(),
    clock.now(),
  );
  machine.state = 'up';
  machine.agentEpoch = 1n as AgentEpoch;
  machine.heartbeatSequence = 10n as HeartbeatSequence;
  const placement = cluster.addPlacement(
    job,
    0 as TaskIndex,
    1n as Attempt,
    machine,
    1n as AgentEpoch,
    'p' as PlanId,
    clock.now(),
  );
  const context = {
    cluster,
    clock,
    log: silentLog,
    estimates: new RuntimeEstimates(),
    metrics: new Metrics(),
    imageCacheGb: () => 100,
    mayStartTasks: () => true,
    wake: () => undefined,
    stallAwareClock: { since: (then: SteadyMs) => clock.now() - then },
    leaseS: 10,
    fencingToken: () => cluster.term,
    onHeartbeat: () => undefined,
    onUnverifiedHeartbeat: () => undefined,
  };
  const heartbeat = (fields: Partial<Heartbeat>): Heartbeat => ({
    machine: 'm-1' as MachineId,
    address: 'x:1' as Address,
    type: 'g' as TypeName,
    zone: 'a' as ZoneName,
    spot: false,
    epoch: 1n as AgentEpoch,
    sequence: 11n as HeartbeatSequence,
    token: TERM,
    noticeS: null,
    tasks: [],
    ...fields,
  });
  return { context, placement, heartbeat };
}

const outcomeOf = (placement: Placement): string | undefined => placement.ended?.outcome;

const requestStop = (placement: Placement): void => {
  placement.stop = { graceS: 0, reason: 'test', at: 0 as SteadyMs, sent: false };
};

const runningTask: ReportedTask = {
  job: 'req-000001' as JobId,
  index: 0 as TaskIndex,
  attempt: 1n as Attempt,
  state: 'running',
  saved: false,
};

test('an unchanged heartbeat is not reconciled again until the cluster state changes', () => {
  const { context, placement, heartbeat } = setUp();
  const { cluster } = context;
  const send = (sequence: bigint, tasks = [runningTask]) =>
    handleHeartbeat(context, heartbeat({ sequence: sequence as HeartbeatSequence, tasks }));
  send(11n);
  const matchedTasks = cluster.reconciledTaskCount;
  assert.deepEqual(send(12n), []);
  assert.equal(cluster.reconciledTaskCount, matchedTasks);
  // A change in the reported task is reconciled.
  send(13n, [{ ...runningTask, state: 'saving' }]);
  assert.equal(cluster.reconciledTaskCount, matchedTasks + 1);
  send(14n, [runningTask]);
  send(15n, [runningTask]);
  assert.equal(cluster.reconciledTaskCount, matchedTasks + 2);
  cluster.requestStop(placement, 0, 'cancelled', context.clock.now());
  assert.equal(send(16n)[0]?.op, 'stop');
  assert.equal(send(17n)[0]?.op, 'stop');
  // The absence of the task is detected too.
  send(18n, []);
  assert.equal(outcomeOf(placement), 'gone');
});

test('a newer heartbeat of this term without the task proves it absent', () => {
  const { context, placement, heartbeat } = setUp();
  requestStop(placement);
  handleHeartbeat(context, heartbeat({}));
  assert.equal(outcomeOf(placement), 'unsent');
});

test('a heartbeat with an older token proves nothing: an older leader may just have replied', () => {
  const { context, placement, heartbeat } = setUp();
  requestStop(placement);
  assert.deepEqual(handleHeartbeat(context, heartbeat({ token: 4n as Term })), []);
  assert.equal(outcomeOf(placement), undefined);
});

test('a heartbeat that arrives after a newer one proves nothing', () => {
  const { context, placement, heartbeat } = setUp();
  handleHeartbeat(context, heartbeat({ sequence: 20n as HeartbeatSequence, tasks: [runningTask] }));
  handleHeartbeat(context, heartbeat({ sequence: 15n as HeartbeatSequence }));
  assert.equal(outcomeOf(placement), undefined);
});

test('while a direct start is in flight or in doubt, absence proves nothing and no start is sent again', () => {
  for (const delivery of ['inFlight', 'inDoubt'] as const) {
    const { context, placement, heartbeat } = setUp();
    placement.startDelivery = delivery;
    placement.startToken = TERM;
    assert.deepEqual(handleHeartbeat(context, heartbeat({})), []);
    requestStop(placement);
    handleHeartbeat(context, heartbeat({ sequence: 12n as HeartbeatSequence }));
    assert.equal(outcomeOf(placement), undefined, delivery);
    // The agent shows the task, so the only start was carried out, and the exit counts.
    handleHeartbeat(
      context,
      heartbeat({
        sequence: 13n as HeartbeatSequence,
        tasks: [{ ...runningTask, state: 'exited', cause: 'stopped' }],
      }),
    );
    assert.equal(outcomeOf(placement), 'stopped', delivery);
  }
});

test('an agent that obeys a higher token than an in-doubt start carries never carries it out', () => {
  const { context, placement, heartbeat } = setUp();
  placement.startDelivery = 'inDoubt';
  placement.startToken = TERM;
  context.cluster.term = 6n as Term;
  assert.deepEqual(handleHeartbeat(context, heartbeat({})), [], 'not acknowledged yet');
  const [resent] = handleHeartbeat(
    context,
    heartbeat({ sequence: 12n as HeartbeatSequence, token: 6n as Term }),
  );
  assert.equal(resent?.op, 'start');
  const cancelled = setUp();
  cancelled.placement.startDelivery = 'inDoubt';
  cancelled.placement.startToken = TERM;
  requestStop(cancelled.placement);
  handleHeartbeat(cancelled.context, cancelled.heartbeat({ token: 6n as Term }));
  assert.equal(outcomeOf(cancelled.placement), 'unsent');
});

test('a higher agent epoch proves the task gone even with a start in doubt', () => {
  const { context, placement, heartbeat } = setUp();
  placement.startDelivery = 'inDoubt';
  handleHeartbeat(
    context,
    heartbeat({ epoch: 2n as AgentEpoch, sequence: 1n as HeartbeatSequence, token: 0n as Term }),
  );
  assert.equal(outcomeOf(placement), 'gone');
});

test('the reply to a command proves presence; a heartbeat made before it proves no absence', () => {
  const { context, placement, heartbeat } = setUp();
  handleCommandReply(
    context,
    placement.machine,
    heartbeat({ sequence: 30n as HeartbeatSequence, tasks: [runningTask] }),
  );
  assert.ok(placement.confirmed);
  handleHeartbeat(context, heartbeat({ sequence: 29n as HeartbeatSequence }));
  assert.equal(outcomeOf(placement), undefined);
  handleCommandReply(context, placement.machine, heartbeat({ sequence: 31n as HeartbeatSequence }));
  assert.equal(outcomeOf(placement), undefined, 'a command reply without the task proves no absence');
  handleHeartbeat(context, heartbeat({ sequence: 32n as HeartbeatSequence }));
  assert.equal(outcomeOf(placement), 'gone');
});

test('a completed task is forgotten only once its completion is persisted', () => {
  const { context, placement, heartbeat } = setUp();
  const done: ReportedTask = { ...runningTask, state: 'exited', cause: 'done' };
  assert.deepEqual(handleHeartbeat(context, heartbeat({ tasks: [done] })), []);
  assert.equal(outcomeOf(placement), 'done');
  context.cluster.completePlacement(placement);
  const [command] = handleHeartbeat(
    context,
    heartbeat({ sequence: 12n as HeartbeatSequence, tasks: [done] }),
  );
  assert.equal(command?.op, 'forget');
});

/** More exited attempts than one agent ever reported at once in the review (case 2). */
const MANY_EXITS = 300;

const exitedTasks = (cause: Cause, count: number): ReportedTask[] =>
  Array.from({ length: count }, (_, index) => ({
    job: 'req-000009' as JobId,
    index: index as TaskIndex,
    attempt: attemptOf(TERM, 1),
    state: 'exited',
    cause,
    saved: false,
  }));

// A start that was carried out may be repeated as long as its token stands: a forgotten attempt would run a second time.
for (const cause of Object.keys(Causes).filter((name) => name !== 'done') as Cause[]) {
  test(`attempts that ended as '${cause}' are forgotten under a higher token, and none before, however many they are`, () => {
    const { context, heartbeat, placement } = setUp();
    context.cluster.endPlacement(placement, 'gone', context.clock.now());
    context.cluster.completePlacement(placement);
    const tasks = exitedTasks(cause, MANY_EXITS);
    const send = (sequence: bigint, token: Term) =>
      handleHeartbeat(context, heartbeat({ sequence: sequence as HeartbeatSequence, tasks, token }));
    const forgotten = (commands: readonly Command[]): number =>
      commands.filter(({ op }) => op === 'forget').length;
    assert.equal(forgotten(send(11n, TERM)), 0);
    const reconciled = context.cluster.reconciledTaskCount;
    assert.equal(forgotten(send(12n, TERM)), 0);
    assert.equal(context.cluster.reconciledTaskCount, reconciled);
    assert.equal(forgotten(send(13n, (TERM + 1n) as Term)), MANY_EXITS);
  });
}

test('attempts that completed are forgotten at once: a second start exits without running', () => {
  const { context, heartbeat } = setUp();
  const commands = handleHeartbeat(context, heartbeat({ tasks: exitedTasks('done', 3) }));
  assert.equal(commands.filter(({ op }) => op === 'forget').length, 3);
  assert.equal(context.cluster.totalRetainedExits, 0);
});

test('the exits of a machine whose agent epoch ends, or that is removed, are retained no longer', () => {
  const { context, heartbeat, placement } = setUp();
  const { cluster } = context;
  const tasks = exitedTasks('error', MANY_EXITS);
  handleHeartbeat(context, heartbeat({ tasks }));
  assert.equal(cluster.totalRetainedExits, MANY_EXITS);
  assert.deepEqual([...cluster.machinesWithManyExits], [placement.machine]);
  const sequence = 1n as HeartbeatSequence;
  handleHeartbeat(context, heartbeat({ epoch: 2n as AgentEpoch, sequence }));
  assert.equal(cluster.totalRetainedExits, 0);
  handleHeartbeat(context, heartbeat({ epoch: 2n as AgentEpoch, sequence: 2n as HeartbeatSequence, tasks }));
  cluster.removeMachine(placement.machine, context.clock.now());
  assert.equal(cluster.totalRetainedExits, 0);
  assert.equal(cluster.machinesWithManyExits.size, 0);
});

test('unverified heartbeats count against isolation in the first lease of a term, and not after', () => {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 1, 0);
  const up = { state: 'up', zone: 'a' as ZoneName, lastHeartbeat: undefined } as const;
  const machines = new Map(Array.from({ length: 300 }, (_, i) => [`m-${i}` as MachineId, up]));
  const monitor = new HeartbeatMonitor({
    clock,
    stallAwareClock: { since: (then: SteadyMs) => clock.now() - then },
    workers: { reportS: 5, leaseS: 24 },
    machines: () => machines,
  });
  time.now = 1000;
  // One machine sends a verified heartbeat. The others send unverified first heartbeats; from seven hundred machines these arrive
  // over five seconds.
  monitor.recordHeartbeat('a' as ZoneName);
  for (time.now = 7000; time.now < 20_000; time.now += 500) {
    monitor.recordUnverifiedHeartbeat();
    assert.equal(monitor.isIsolatedFromAgents(), false, `isolated at ${time.now} ms`);
  }
  time.now += 3000;
  assert.equal(monitor.isIsolatedFromAgents(), true, 'no heartbeat at all');
  time.now = 40_000;
  monitor.recordUnverifiedHeartbeat();
  assert.equal(monitor.isIsolatedFromAgents(), true, 'a late duplicate after the first lease does not count');
});

test('a machine whose heartbeats do not show a command that was sent is suspected until one does', () => {
  const { context, placement, heartbeat } = setUp();
  const { time } = context.clock as unknown as { time: VirtualTime };
  const { machine } = placement;
  const send = (sequence: number, fields: Partial<Heartbeat> = {}): unknown =>
    handleHeartbeat(context, heartbeat({ sequence: BigInt(sequence) as HeartbeatSequence, ...fields }));
  send(11);
  assert.equal(machine.unconfirmedCommand?.task?.op, 'start');
  time.now += 4000;
  send(12);
  assert.equal(machine.suspectedSince, undefined, 'the reply may just have been lost');
  time.now += 1000;
  send(13);
  assert.notEqual(machine.suspectedSince, undefined);
  send(14, { tasks: [runningTask] });
  assert.equal(machine.suspectedSince, undefined);
});

test('an agent epoch that ends soon after a reply makes the machine suspected; one that ends a lease later does not', () => {
  for (const [sinceHeartbeatMs, isSuspected] of [
    [3000, true],
    [11_000, false],
  ] as const) {
    const { context, placement, heartbeat } = setUp();
    const { time } = context.clock as unknown as { time: VirtualTime };
    handleHeartbeat(context, heartbeat({ tasks: [runningTask] }));
    time.now += sinceHeartbeatMs;
    handleHeartbeat(context, heartbeat({ epoch: 2n as AgentEpoch, sequence: 1n as HeartbeatSequence }));
    assert.equal(placement.machine.suspectedSince !== undefined, isSuspected);
  }
});

test('a heartbeat without the token of this term proves exits, but no liveness, notice, address or new machine', () => {
  const { context, placement, heartbeat } = setUp();
  const { machine } = placement;
  const olderTermFields = { token: 4n as Term, noticeS: 3, address: 'elsewhere:1' as Address };
  handleHeartbeat(
    context,
    heartbeat({ ...olderTermFields, tasks: [{ ...runningTask, state: 'exited', cause: 'done' }] }),
  );
  assert.equal(outcomeOf(placement), 'done');
  assert.deepEqual(
    [machine.lastHeartbeat, machine.interruptionAt, machine.address, machine.fenced],
    [undefined, undefined, undefined, false],
  );
  handleHeartbeat(context, heartbeat({ ...olderTermFields, machine: 'm-2' as MachineId }));
  assert.equal(context.cluster.machines.size, 1);
});

test('a late duplicate does not add a removed machine; a newer heartbeat does unless the machine was returned', () => {
  const { context, placement, heartbeat } = setUp();
  const { machine } = placement;
  handleHeartbeat(context, heartbeat({ sequence: 20n as HeartbeatSequence }));
  context.cluster.removeMachine(machine, context.clock.now());
  handleHeartbeat(context, heartbeat({ sequence: 19n as HeartbeatSequence }));
  assert.equal(context.cluster.machines.size, 0);
  handleHeartbeat(context, heartbeat({ sequence: 21n as HeartbeatSequence }));
  assert.equal(context.cluster.machines.size, 1);
  context.cluster.removeMachine(context.cluster.machines.get(machine.id)!, context.clock.now(), true);
  handleHeartbeat(context, heartbeat({ epoch: 9n as AgentEpoch, sequence: 99n as HeartbeatSequence }));
  assert.equal(context.cluster.machines.size, 0);
});
