import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PIPELINE_FAULTS, withFault } from './search/faults.js';
import { search } from './search/schedule.js';
import { runScenario } from './simulator/scenario-runner.js';

/** Days drawn from fixed seeds: a few here, thousands with `npm run search`. */
test('drawn days of pipelines beside every kind of bad answer violate no invariant', async () => {
  const { played, found } = await search(20261207, 12, undefined, undefined, true, 'pipelines');
  assert.deepEqual(found, undefined);
  assert.equal(played, 12);
});

/** Seeds whose first days expose each fault. */
const SEEDS: Readonly<Record<string, number>> = {
  'a comparison of ids that says nothing counts as ids that are taken': 4,
  'a late answer to an own write brings back a pipeline that has ended': 4,
};

for (const name of Object.keys(PIPELINE_FAULTS)) {
  test(`the search finds that ${name}`, async () => {
    const { found } = await withFault(name, () =>
      search(SEEDS[name]!, 30, undefined, undefined, false, 'pipelines'),
    );
    assert.ok(found, 'the search found no invariant violation');
    // Without the fault, the same day violates no invariant.
    const { failures } = await runScenario(found.text);
    assert.deepEqual(failures, []);
  });
}
