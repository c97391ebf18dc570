import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runScenario } from './simulator/scenario-runner.js';
import { search } from './search/schedule.js';
import { FAULTS, withFault } from './search/faults.js';

/** Days drawn from fixed seeds: a few here, thousands with `npm run search`. */
test('drawn days of overlapping faults violate no invariant', async () => {
  const { played, found } = await search(20261202, 36);
  assert.deepEqual(found, undefined);
  assert.equal(played, 36);
});

test('the same seed draws and plays the same days', async () => {
  const log = async (): Promise<string[]> => {
    const seen: string[] = [];
    await search(7, 3, (u) => seen.push(`${u.options.seed} ${u.options.cancelS}`));
    return seen;
  };
  assert.deepEqual(await log(), await log());
});

/** Seeds whose first days expose each fault; longer searches find it with nearly any seed. */
const SEEDS: Readonly<Record<string, number>> = {
  'a delayed copy of a heartbeat is accepted as current': 1,
  'an isolated leader answers agents indefinitely': 1,
  'a leader that is loading the cluster state stops no cancelled tasks': 2,
  'writes omit the fencing condition': 1,
  'a completed task is removed before its completion is persisted': 1,
  'a delayed completion record overwrites a newer one': 3,
  'reads are answered from a job cache that was not synced': 1,
  'a delayed delete removes a key that was created again': 5,
  'a job is completed while a plan that names it has no answer': 12,
  'ended attempts are forgotten while their starts may be repeated': 2,
  'a reservation never ends': 1,
  'a quarantine never ends': 1,
};

/** Faults that leave jobs waiting: they show on days short of capacity, and rarely on others. */
const WAITS: ReadonlySet<string> = new Set(['a reservation never ends', 'a quarantine never ends']);

for (const name of Object.keys(FAULTS)) {
  test(`the search finds that ${name}`, async () => {
    const among = WAITS.has(name) ? 'waits' : 'all';
    const { found } = await withFault(name, () =>
      search(SEEDS[name]!, 30, undefined, undefined, false, among),
    );
    assert.ok(found, 'the search found no invariant violation');
    // Without the fault, the same day violates no invariant.
    const { failures } = await runScenario(found.text);
    assert.deepEqual(failures, []);
  });
}
