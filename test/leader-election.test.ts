import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LeaderElection, type Leadership } from '../src/coordination/election/leader-election.js';
import type { Address, MemberName } from '../src/protocol/ids.js';
import { RateLimiter, RequestPriority } from '../src/transport/rate-limiter.js';
import { silentLog } from '../src/transport/log.js';
import { seededRandom } from '../src/transport/random.js';
import { Keys } from '../src/storage/records.js';
import { StoreClient } from '../src/storage/store-client.js';
import { SimulatedNetwork } from './simulator/simulated-network.js';
import { SimulatedStore } from './simulator/simulated-store.js';
import { ProcessClock, VirtualTime } from './simulator/virtual-time.js';

const LEASE_MS = 4000;
const NO_RESERVED_SHARES = {
  [RequestPriority.Lease]: 0,
  [RequestPriority.User]: 0,
  [RequestPriority.Completion]: 0,
  [RequestPriority.Scheduling]: 0,
  [RequestPriority.GarbageCollection]: 0,
};

/** A restart that still waits for the store when its leadership ends must not be taken for that of the next one in this process. */
test('a restart of an earlier leadership does not count for the present one', async () => {
  const time = new VirtualTime();
  const random = seededRandom(1);
  const network = new SimulatedNetwork(time, random);
  const state = new SimulatedStore(time, { rps: 150, writeRps: 50, txnOps: 12, valueKb: 8 }, random);
  network.serve('store:1', (...a) => state.handle(...a));
  const clock = new ProcessClock(time, 1, 0);
  const http = network.client('n0', () => true);
  const limiter = new RateLimiter(clock, 500, NO_RESERVED_SHARES);
  const store = new StoreClient(http, 'store:1' as Address, clock, limiter, limiter, silentLog);
  const elected: Leadership[] = [];
  const election = new LeaderElection(
    store,
    clock,
    random,
    silentLog,
    'n0' as MemberName,
    'n0:80' as Address,
    LEASE_MS,
  );
  election.onElected = (leadership) => void elected.push(leadership);
  election.start();
  const run = (seconds: number): Promise<void> => time.runUntil(time.now + seconds * 1000, () => undefined);
  await run(2);
  assert.equal(elected.length, 1);
  // The answer to the first restart's read takes a second; meanwhile the leadership ends, and this process is elected anew.
  state.slowRequests = { share: 1, ms: 1000, until: time.now + 50 };
  const first = election.restartTerm('the first');
  await run(0.05);
  election.loseLeadership('test');
  await run(0.4);
  assert.equal(elected.length, 2);
  const second = election.restartTerm('the second');
  await run(3);
  await Promise.all([first, second]);
  assert.equal(elected.length, 3);
  assert.ok(elected[2]!.term > elected[1]!.term);
  const record = await Promise.all([store.get(Keys.leader, RequestPriority.Lease), run(1)]);
  assert.ok(record[0].ok && record[0].value?.modRevision === election.leadership?.modRevision);
});
