import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Keys } from '../src/storage/records.js';
import { CloudClient } from '../src/storage/cloud-client.js';
import { StoreClient } from '../src/storage/store-client.js';
import { MachineTypeCatalog } from '../src/coordination/fleet/machine-type-catalog.js';
import type { MachineType } from '../src/protocol/cloud.js';
import type { Address, ModRevision } from '../src/protocol/ids.js';
import type { Condition } from '../src/protocol/state.js';
import { RateLimiter, RequestPriority } from '../src/transport/rate-limiter.js';
import { silentLog } from '../src/transport/log.js';
import { ok } from '../src/transport/result.js';
import { seededRandom } from '../src/transport/random.js';
import { ProcessClock, VirtualTime } from './simulator/virtual-time.js';
import { SimulatedNetwork } from './simulator/simulated-network.js';
import { SimulatedStore } from './simulator/simulated-store.js';
import { machineType } from './simulator/cluster-builders.js';

/** A simulated store, and a function that starts controllers whose machine type catalogs are stored in it. */
function createSimulatedCluster() {
  const time = new VirtualTime();
  const random = seededRandom(2);
  const network = new SimulatedNetwork(time, random);
  const store = new SimulatedStore(time, { rps: 500, writeRps: 500, txnOps: 12, valueKb: 32 }, random);
  network.serve('store:1', (...a) => store.handle(...a));
  const untouchedShares = {
    [RequestPriority.Lease]: 0,
    [RequestPriority.User]: 0,
    [RequestPriority.Completion]: 0,
    [RequestPriority.Scheduling]: 0,
    [RequestPriority.GarbageCollection]: 0,
  };
  const startController = (name: string) => {
    const clock = new ProcessClock(time, 1, 0);
    const http = network.client(name, () => true);
    const budget = new RateLimiter(clock, 500, untouchedShares);
    const client = new StoreClient(http, 'store:1' as Address, clock, budget, budget, silentLog);
    const state = {
      types: [] as readonly MachineType[],
      leadershipCondition: undefined as Condition | undefined,
    };
    const cloud = { catalog: () => Promise.resolve(ok([...state.types])) } as unknown as CloudClient;
    const catalog = new MachineTypeCatalog(cloud, client, clock, random, silentLog);
    void catalog.run(() => state.leadershipCondition);
    return { state, client };
  };
  const storedTypes = (): string => JSON.stringify(store.keys.get(Keys.machineTypes)?.value ?? null);
  const runForS = (seconds: number): Promise<void> =>
    time.runUntil(time.now + seconds * 1000, () => undefined);
  return { store, startController, storedTypes, runForS };
}
const type = (name: string): MachineType => machineType(name, ['a'], {});

describe('MachineTypeCatalog', () => {
  it('is stored only by the leader, and a late write of an earlier leader does not replace a newer record', async () => {
    const { store, startController, storedTypes, runForS } = createSimulatedCluster();
    const [first, second] = [startController('n0'), startController('n1')];
    first.state.types = [type('old')];
    second.state.types = [type('old')];
    await runForS(100);
    assert.equal(storedTypes(), 'null', 'stored without a leader');
    const takeLeadership = async (controller: typeof first, leaderRevision: bigint): Promise<ModRevision> => {
      const outcome = await controller.client.txn(
        [{ key: Keys.leader, modRevision: leaderRevision as ModRevision }],
        [{ op: 'put', key: Keys.leader, value: { sum: '', body: '' } }],
        RequestPriority.Lease,
      );
      assert.ok(outcome.ok && outcome.value.kind === 'committed');
      return outcome.value.revision as unknown as ModRevision;
    };
    const firstLeaderRevision = takeLeadership(first, 0n);
    await runForS(1);
    first.state.leadershipCondition = { key: Keys.leader, modRevision: await firstLeaderRevision };
    await runForS(100);
    assert.match(storedTypes(), /old/);
    // The next write of the first leader is delayed; meanwhile the second one is elected and stores newer types.
    store.hooks.push({ prefix: Keys.machineTypes, nth: 1, fault: { holdS: 200 } });
    first.state.types = [type('late')];
    await runForS(60);
    const secondLeaderRevision = takeLeadership(second, await firstLeaderRevision);
    await runForS(1);
    second.state.types = [type('newest')];
    second.state.leadershipCondition = { key: Keys.leader, modRevision: await secondLeaderRevision };
    await runForS(100);
    assert.match(storedTypes(), /newest/);
    await runForS(200);
    assert.match(storedTypes(), /newest/);
  });

  it('is not replaced by a late write of the same leader, and a write with an unknown outcome is repeated', async () => {
    const { store, startController, storedTypes, runForS } = createSimulatedCluster();
    const controller = startController('n0');
    controller.state.types = [type('old')];
    // Nobody writes the leader record here, so the condition that it does not exist always holds.
    controller.state.leadershipCondition = { key: Keys.leader, modRevision: 0n as ModRevision };
    await runForS(70);
    assert.match(storedTypes(), /old/);
    store.hooks.push({ prefix: Keys.machineTypes, nth: 1, fault: { holdS: 150 } });
    controller.state.types = [type('late')];
    await runForS(60);
    controller.state.types = [type('newest')];
    await runForS(70);
    assert.match(storedTypes(), /newest/);
    await runForS(200);
    assert.match(storedTypes(), /newest/);
    store.hooks.push({ prefix: Keys.machineTypes, nth: 1, fault: 'lose-reply' });
    controller.state.types = [type('after')];
    await runForS(60);
    controller.state.types = [type('last')];
    await runForS(120);
    assert.match(storedTypes(), /last/);
  });

  // The types that were stored before counted as stored, although the store held those of the write that got no answer.
  it('is stored again when the types change back after a write with an unknown outcome', async () => {
    const { store, startController, storedTypes, runForS } = createSimulatedCluster();
    const controller = startController('n0');
    controller.state.types = [type('old')];
    controller.state.leadershipCondition = { key: Keys.leader, modRevision: 0n as ModRevision };
    await runForS(70);
    store.hooks.push({ prefix: Keys.machineTypes, nth: 1, fault: 'lose-reply' });
    controller.state.types = [type('passing')];
    await runForS(15);
    while (!storedTypes().includes('passing')) await runForS(1);
    controller.state.types = [type('old')];
    await runForS(120);
    assert.match(storedTypes(), /old/);
  });

  it('is stored again by a leader that was elected again after another one stored other types', async () => {
    const { store, startController, storedTypes, runForS } = createSimulatedCluster();
    const [first, second] = [startController('n0'), startController('n1')];
    const leadAs = async (controller: typeof first, name: string): Promise<void> => {
      store.keys.set(Keys.leader, { value: name, modRevision: ++leaderRevision, lease: undefined });
      first.state.leadershipCondition = second.state.leadershipCondition = undefined;
      controller.state.types = [type(name)];
      controller.state.leadershipCondition = {
        key: Keys.leader,
        modRevision: BigInt(leaderRevision) as ModRevision,
      };
      await runForS(200);
    };
    let leaderRevision = 1000;
    await leadAs(first, 'first');
    await leadAs(second, 'second');
    assert.match(storedTypes(), /second/);
    await leadAs(first, 'first');
    assert.match(storedTypes(), /first/);
  });
});
