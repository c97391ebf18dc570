import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ClusterState } from '../src/cluster/cluster-state.js';
import { ScaleIn } from '../src/coordination/fleet/scale-in.js';
import { ScaleOut } from '../src/coordination/fleet/scale-out.js';
import type { MachineId, Term, TypeName, ZoneName } from '../src/protocol/ids.js';
import { silentLog } from '../src/transport/log.js';
import { err } from '../src/transport/result.js';
import { seededRandom } from '../src/transport/random.js';
import { ProcessClock, VirtualTime } from './simulator/virtual-time.js';

/** A leader that is cut off from the state service decides nothing: its successor may have placed tasks on the machine by then. */
test('a leader that can decide nothing repeats no call to the cloud, and goes on once it can', async () => {
  const time = new VirtualTime();
  const clock = new ProcessClock(time, 1, 0);
  let canDecide = true;
  const calls: string[] = [];
  const unanswered = (call: string) => () => {
    calls.push(call);
    return Promise.resolve(err({ kind: 'unknown' as const, why: 'no answer' }));
  };
  const dependencies = {
    clock,
    random: seededRandom(1),
    log: silentLog,
    cluster: new ClusterState(1n as Term),
    cloud: { returnMachines: unanswered('return'), provisionMachines: unanswered('rent') },
    leadership: { term: 1n as Term },
    election: { canDecide: () => canDecide },
    isActive: () => time.now < 20_000,
    wake: () => undefined,
  };
  const run = (seconds: number): Promise<void> => time.runUntil(time.now + seconds * 1000, () => undefined);
  new ScaleIn(dependencies as never).returnMachines(['m-0' as MachineId], 'idle');
  new ScaleOut(dependencies as never).request({
    type: 'g' as TypeName,
    zone: 'a' as ZoneName,
    spot: false,
    count: 1,
  });
  await run(0.1);
  assert.deepEqual(calls.splice(0), ['return', 'rent']);
  canDecide = false;
  await run(6);
  assert.deepEqual(calls, []);
  canDecide = true;
  await run(6);
  assert.deepEqual(new Set(calls), new Set(['return', 'rent']));
});
