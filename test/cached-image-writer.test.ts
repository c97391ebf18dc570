import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ClusterState } from '../src/cluster/cluster-state.js';
import { CachedImageWriter } from '../src/coordination/completion/cached-image-writer.js';
import type { FencedWriter } from '../src/coordination/leader/fenced-writer.js';
import type { ImageName, Term } from '../src/protocol/ids.js';
import { err, ok } from '../src/transport/result.js';
import { addMachine } from './simulator/cluster-state-builders.js';
import { ProcessClock, VirtualTime } from './simulator/virtual-time.js';

describe('CachedImageWriter', () => {
  // A refused or lost write counted as written: a new leader then knew of no image until an image changed somewhere.
  it('writes the records again after a write that was not confirmed', async () => {
    const outcomes = [
      err({ kind: 'unavailable' as const, why: 'status 429' }),
      err({ kind: 'unknown' as const, why: 'deadline' }),
      ok({ kind: 'committed' as const, revision: 1n }),
    ];
    let writes = 0;
    const writer = { write: () => Promise.resolve(outcomes[writes++]) } as unknown as FencedWriter;
    const cluster = new ClusterState(1n as Term);
    addMachine(cluster, 0).cachedImages.set('img-1' as ImageName, 1);
    cluster.imagesChanged = true;
    const time = new VirtualTime();
    const settings = { store: { txnOps: 12, valueKb: 8 } };
    const dependencies = { clock: new ProcessClock(time, 1, 0), settings };
    const images = new CachedImageWriter({ dependencies, isActive: () => true } as never, writer);
    for (let interval = 1; interval <= 5; interval++) {
      await time.runUntil(interval * 21_000, () => undefined);
      await images.writeIfDue(cluster);
    }
    assert.equal(writes, outcomes.length);
  });
});
