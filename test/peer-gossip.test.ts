import assert from 'node:assert/strict';
import { test } from 'node:test';
import { splitIntoTransactions, Keys, seal } from '../src/storage/records.js';
import { IsolatedLeader } from '../src/coordination/election/isolated-leader.js';
import { encodeTransaction } from '../src/protocol/state.js';
import { decode } from '../src/protocol/codec.js';
import type { MachineId, Term } from '../src/protocol/ids.js';
import { FrameKind } from '../src/transport/mesh.js';
import { silentLog } from '../src/transport/log.js';
import { ProcessClock, VirtualTime } from './simulator/virtual-time.js';
import { createPeerLinkHarness } from './simulator/peer-link-harness.js';

test('records that fit one by one are written in as many transactions as their sizes need', () => {
  const changes = Array.from({ length: 7 }, (_, i) => ({
    op: 'put' as const,
    key: Keys.cachedImages(i),
    value: seal({
      images: [{ name: 'img', gb: 1, on: Array.from({ length: 1800 }, (_, n) => `m-${n}00000`) }],
    }),
  }));
  const parts = splitIntoTransactions(changes, 12);
  assert.deepEqual(parts.flat(), changes);
  for (const part of parts) {
    const wire = decode(encodeTransaction([{ key: Keys.leader, modRevision: 9_999_999n as never }], part));
    assert.ok(wire.ok);
    const size = JSON.stringify(wire.value, (_, v: unknown) =>
      typeof v === 'bigint' ? Number(v) : v,
    ).length;
    assert.ok(size <= 64 * 1024, `${size} bytes`);
  }
  assert.ok(parts.length < changes.length, 'records that fit into one transaction are combined');
  const small = changes.map((c) => ({ ...c, value: seal({ images: [] }) }));
  assert.deepEqual(
    splitIntoTransactions(small, 3).map((p) => p.length),
    [3, 3, 1],
  );
});

test('an answer to a ping of an earlier incarnation of this controller confirms nothing for the present one', () => {
  const earlier = createPeerLinkHarness(1001);
  const present = createPeerLinkHarness(2002);
  const [earlierPing] = earlier.sent;
  present.receive({ number: earlierPing!.number });
  present.peers.recordStoreRead(present.clock.now());
  assert.equal(present.peers.confirmedAt(4n as Term), undefined);
  present.receive({ number: present.sent[0]!.number });
  present.peers.recordStoreRead(present.clock.now());
  assert.notEqual(present.peers.confirmedAt(4n as Term), undefined);
});

test('a quick restart of a peer is noticed once, by its first frame; frames of the earlier incarnation are dropped', () => {
  const harness = createPeerLinkHarness(7);
  harness.receive({ kind: FrameKind.Ping, incarnation: 50 });
  assert.deepEqual(harness.restarted, []);
  const sentBefore = harness.sent.length;
  harness.receive({ kind: FrameKind.Ping, incarnation: 51 });
  assert.deepEqual(harness.restarted, ['b']);
  harness.receive({ kind: FrameKind.Ping, incarnation: 50 });
  harness.receive({ kind: FrameKind.Ping, incarnation: 51 });
  assert.deepEqual(harness.restarted, ['b']);
  assert.equal(harness.sent.length, sentBefore + 2, 'the earlier incarnation gets no answer');
  // A peer that is the leader in its new incarnation is alive.
  harness.receive({ kind: FrameKind.Ping, incarnation: 52, holder: 'b', term: '5' });
  assert.deepEqual(harness.restarted, ['b']);
});

const createIsolatedLeader = (reportS: number, leaseS: number, isIsolated: () => boolean): IsolatedLeader =>
  new IsolatedLeader({
    clock: new ProcessClock(new VirtualTime(), 1, 0),
    log: silentLog,
    workers: { reportS, leaseS, gangWaitS: 20, gangPeerS: 4, cancelS: 50 },
    controllerCount: 3,
    isIsolated: isIsolated,
  });

test('a late frame of an incarnation that was never seen does not silence the present one', async () => {
  const harness = createPeerLinkHarness(7);
  harness.receive({ kind: FrameKind.Ping, incarnation: 50 });
  const [pingBefore] = harness.sent;
  // A frame that the process before the present one sent arrives late, and is taken for a restart.
  harness.receive({ kind: FrameKind.Ping, incarnation: 49 });
  assert.deepEqual(harness.restarted, ['b']);
  harness.receive({ incarnation: 50, number: pingBefore!.number });
  assert.equal(harness.peers.allUnresponsiveFor(1000), true);
  await harness.time.runUntil(1000, () => undefined);
  const pingAfter = harness.sent.findLast((frame) => frame.kind === FrameKind.Ping);
  harness.receive({ incarnation: 50, number: pingAfter!.number });
  assert.equal(harness.peers.allUnresponsiveFor(1000), false);
  // From now on frames of the earlier process are dropped, and that was no second restart.
  harness.receive({ kind: FrameKind.Ping, incarnation: 49 });
  assert.deepEqual(harness.restarted, ['b']);
});

test('an isolated leader turns each agent away once per period of isolation', () => {
  let isolated = false;
  const leader = createIsolatedLeader(6, 30, () => isolated);
  const [a, b] = ['m-1', 'm-2'] as MachineId[];
  assert.equal(leader.shouldTurnAway(a!), false);
  isolated = true;
  assert.deepEqual(
    [
      leader.shouldTurnAway(a!),
      leader.shouldTurnAway(a!),
      leader.shouldTurnAway(b!),
      leader.shouldTurnAway(b!),
    ],
    [true, false, true, false],
  );
  isolated = false;
  assert.equal(leader.shouldTurnAway(b!), false);
  isolated = true;
  assert.equal(leader.shouldTurnAway(b!), true);
});

test('an isolated leader turns no agent away where trying all controllers takes longer than a lease', () => {
  assert.equal(createIsolatedLeader(1, 10, () => true).shouldTurnAway('m-1' as MachineId), false);
  assert.equal(createIsolatedLeader(5, 24, () => true).shouldTurnAway('m-1' as MachineId), true);
});
