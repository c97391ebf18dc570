import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ClusterState, type Machine } from '../src/cluster/cluster-state.js';
import { CommandDispatcher } from '../src/coordination/dispatch/command-dispatcher.js';
import { LeadershipWatchdog } from '../src/coordination/leader/leadership-watchdog.js';
import type { Address, JobId, Term } from '../src/protocol/ids.js';
import { commandsSchema } from '../src/protocol/heartbeats.js';
import { decodeAs } from '../src/protocol/codec.js';
import { attemptOf } from '../src/storage/records.js';
import type { SteadyMs } from '../src/transport/clock.js';
import { silentLog } from '../src/transport/log.js';
import { err } from '../src/transport/result.js';
import { addMachine, addQueuedJobs, buildJobSpec, placeTask } from './simulator/cluster-state-builders.js';
import { ProcessClock, VirtualTime } from './simulator/virtual-time.js';

/**
 * The fencing token of starts, and when it is raised so that agents may forget exited attempts. Guards against an attempt that is
 * forgotten while its start may still be carried out again (review, case 2).
 */
const TERM = 5n as Term;
const NOW = 1000 as SteadyMs;

/** Adds a machine whose agent obeys this term's token. */
const addFencedMachine = (cluster: ClusterState, index: number): Machine =>
  addMachine(cluster, index, {
    fenced: true,
    lastHeartbeat: NOW,
    address: `m-${index}:1` as Address,
    reconciledToken: TERM,
  });

describe('a start sent to the address of an agent', () => {
  /** Sends the starts of two plans, made under this term and the one before; returns the started tasks. */
  function startedTasks(): number[] {
    const cluster = new ClusterState(TERM);
    const [job] = addQueuedJobs(cluster, [buildJobSpec('req-000001' as JobId, { tasks: 2 })]);
    const machine = addFencedMachine(cluster, 0);
    const placements = [TERM, (TERM - 1n) as Term].map((term, index) =>
      placeTask(cluster, job!, index, machine, attemptOf(term, 1)),
    );
    const bodies: Uint8Array[] = [];
    const dispatcher = new CommandDispatcher({
      cluster,
      leadership: { term: TERM },
      isActive: () => true,
      dependencies: {
        log: silentLog,
        settings: { workers: { reportS: 1 } },
        stallAwareClock: { since: () => 0 },
        election: { canDecide: () => true },
        cancelled: { has: () => false },
        clock: { now: () => NOW },
        http: {
          call: (...call: unknown[]) => {
            bodies.push(call[3] as Uint8Array);
            return Promise.resolve(err({ kind: 'refused', why: 'refused' }));
          },
        },
      },
    } as never);
    dispatcher.send(machine, placements, []);
    return bodies.flatMap((body) => {
      const commands = decodeAs(commandsSchema, body);
      assert.ok(commands.ok);
      return commands.value.commands.map(({ index }) => index);
    });
  }

  it('never carries a later token than that of its plan: such a start goes with the reply to a heartbeat', () => {
    assert.deepEqual(startedTasks(), [0]);
  });
});

describe('the leadership watchdog', () => {
  const TOKEN_HEARTBEAT_INTERVAL_MS = 15_000;

  /** Runs the watchdog for so many seconds, and returns when it raised the token, in seconds. */
  async function raisesOver(
    seconds: number,
    prepare: (cluster: ClusterState) => void,
    onRaised: (cluster: ClusterState) => void = () => undefined,
  ): Promise<number[]> {
    const cluster = new ClusterState(TERM);
    prepare(cluster);
    const time = new VirtualTime();
    const clock = new ProcessClock(time, 1, 0);
    const leadership = { term: TERM };
    const raisedAt: number[] = [];
    let isActive = true;
    const writer = {
      tokenRaisedAt: (clock.now() - TOKEN_HEARTBEAT_INTERVAL_MS) as SteadyMs,
      raiseFencingToken: () => {
        raisedAt.push(time.now / 1000);
        writer.tokenRaisedAt = clock.now();
        leadership.term = (leadership.term + 1n) as Term;
        onRaised(cluster);
        return Promise.resolve();
      },
    };
    const watchdog = new LeadershipWatchdog({
      clock,
      election: { canDecide: () => true, resign: () => undefined },
      leadership: leadership as never,
      cluster,
      heartbeats: { isIsolatedFromAgents: () => false },
      fleet: { mostMachinesUnreachable: false },
      writer,
      dispatcher: { sendFencingToken: () => undefined },
      heartbeatIntervalMs: 5000,
      tokenHeartbeatIntervalMs: TOKEN_HEARTBEAT_INTERVAL_MS,
      isActive: () => isActive,
    });
    void watchdog.run();
    await time.runUntil(seconds * 1000, () => undefined);
    isActive = false;
    return raisedAt;
  }

  it('raises the token once where an agent retains many exits, and not again before the agent shows it', async () => {
    const raisedAt = await raisesOver(60, (cluster) =>
      cluster.setRetainedExits(addFencedMachine(cluster, 0), 64),
    );
    assert.deepEqual(raisedAt, [0.5]);
  });

  it('raises it again no sooner than agents send heartbeats because of it', async () => {
    const raisedAt = await raisesOver(
      31,
      (cluster) => cluster.setRetainedExits(addFencedMachine(cluster, 0), 64),
      // The agent shows the new token at once, and again retains as many exits under it.
      (cluster) => {
        for (const machine of cluster.machines.values())
          machine.reconciledToken = (machine.reconciledToken! + 1n) as Term;
      },
    );
    assert.deepEqual(raisedAt, [0.5, 15.5, 30.5]);
  });

  it('raises it where 4,000 machines retain many exits together, and not for fewer', async () => {
    const retain = (count: number) => (cluster: ClusterState) => {
      for (let i = 0; i < 4000; i++) cluster.setRetainedExits(addFencedMachine(cluster, i), count);
    };
    assert.deepEqual(await raisesOver(60, retain(9)), []);
    assert.deepEqual(await raisesOver(60, retain(10)), [0.5]);
  });
});
