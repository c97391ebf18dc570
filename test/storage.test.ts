import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { jsonByteLength } from '../src/protocol/codec.js';
import type { Address, JobId, LeaseId, ModRevision, Term } from '../src/protocol/ids.js';
import type { StoreEvent } from '../src/protocol/state.js';
import { JobCache } from '../src/storage/job-cache.js';
import {
  fitsStoreValue,
  Keys,
  planCapacityBytes,
  planId,
  planJobBytes,
  seal,
  type JobRecord,
  type PlanJob,
} from '../src/storage/records.js';
import { StoreClient } from '../src/storage/store-client.js';
import { silentLog } from '../src/transport/log.js';
import type { RateLimiter } from '../src/transport/rate-limiter.js';
import { err, ok } from '../src/transport/result.js';
import { ProcessClock, VirtualTime } from './simulator/virtual-time.js';

describe('JobCache', () => {
  it('does not decode a record that this node wrote when the watch brings it back', async () => {
    const time = new VirtualTime();
    const clock = new ProcessClock(time, 1, 0);
    const record = {
      state: 'queued',
      generation: 1,
      term: 1n as Term,
      attempt: 1,
      done: 0,
    } as unknown as JobRecord;
    const id = 'req-000001' as JobId;
    const event = (modRevision: bigint): StoreEvent => ({
      op: 'put',
      key: Keys.job(id),
      value: seal(record),
      modRevision: modRevision as ModRevision,
    });
    const store = {
      range: () => Promise.resolve(ok({ entries: [], revision: 1n })),
      changes: () => Promise.resolve(ok({ revision: 3n, events: [event(2n)] })),
    } as unknown as StoreClient;
    const cache = new JobCache(store, clock, { next: () => 0.5 }, silentLog, 1e9);
    await cache.sync();
    cache.recordWrite(id, record, 2n as ModRevision);
    const synced = cache.sync();
    await time.runUntil(10, () => undefined);
    assert.ok(await synced);
    assert.equal(cache.recordsDecoded, 0);
    assert.equal(cache.get(id)?.modRevision, 2n);
  });

  // All records were read again between the write and its answer: the record had been removed, and would have come back for good.
  it('does not enter a record that this node wrote before all were read again without it', async () => {
    const clock = new ProcessClock(new VirtualTime(), 1, 0);
    const store = { range: () => Promise.resolve(ok({ entries: [], revision: 3n })) };
    const cache = new JobCache(store as unknown as StoreClient, clock, { next: () => 0.5 }, silentLog, 1e9);
    await cache.sync();
    const id = 'req-000001' as JobId;
    cache.recordWrite(id, { state: 'queued' } as JobRecord, 2n as ModRevision);
    assert.equal(cache.get(id), undefined);
  });
});

describe('a JobCache that reads all records again', () => {
  // A job whose unreadable record was removed kept every later leader from collecting completion records.
  it('forgets an unreadable record that is gone', async () => {
    const time = new VirtualTime();
    const clock = new ProcessClock(time, 1, 0);
    const unreadable = { key: Keys.job('req-000001' as JobId), value: {}, modRevision: 1n as ModRevision };
    const pages = [[unreadable], []];
    const store = {
      range: () => Promise.resolve(ok({ entries: pages.shift() ?? [], revision: 3n })),
      changes: () => Promise.resolve(err({ kind: 'gone', why: 'too old' })),
    };
    const cache = new JobCache(store as unknown as StoreClient, clock, { next: () => 0.5 }, silentLog, 1e9);
    await cache.sync();
    assert.equal(cache.unreadableJobs.size, 1);
    const synced = cache.sync();
    await time.runUntil(10, () => undefined);
    assert.ok(await synced);
    assert.equal(cache.unreadableJobs.size, 0);
  });
});

describe('StoreClient', () => {
  // Any status but those named by the protocol counted as a renewal, and a leader may decide only under a lease that certainly stands.
  it('takes no other status than 200 for a renewed lease', async () => {
    const clock = new ProcessClock(new VirtualTime(), 1, 0);
    const limiter = { overdraw: () => undefined, onThrottled: () => undefined } as unknown as RateLimiter;
    const outcomeOf = async (status: number): Promise<unknown> => {
      const http = { call: () => Promise.resolve(ok({ status })) };
      const client = new StoreClient(http, 'store:1' as Address, clock, limiter, limiter, silentLog);
      const outcome = await client.renewLease(7n as LeaseId, 1000);
      return outcome.ok ? outcome.value : outcome.error.kind;
    };
    assert.equal(await outcomeOf(200), 'renewed');
    assert.equal(await outcomeOf(404), 'ended');
    for (const status of [400, 500]) assert.equal(await outcomeOf(status), 'unknown');
    for (const status of [429, 503]) assert.equal(await outcomeOf(status), 'unavailable');
  });
});

describe('plan size', () => {
  it('summed job by job is never less than the size that the store counts', () => {
    const job = fc.record({
      job: fc.nat().map((n) => `req-${n}`),
      attempt: fc.bigInt(0n, 2n ** 64n - 1n),
      on: fc.array(
        fc.record({
          machine: fc.string(),
          session: fc.nat().map(BigInt),
          type: fc.string(),
          zone: fc.string(),
          spot: fc.boolean(),
          tasks: fc.constantFrom('0', '0-4,9', '17-400'),
        }),
        { maxLength: 6 },
      ),
    }) as unknown as fc.Arbitrary<PlanJob>;
    fc.assert(
      fc.property(fc.array(job, { maxLength: 10 }), (jobs) => {
        const plan = { id: planId(9n as Term, 12), term: 9n as Term, jobs };
        const capacityBytes = planCapacityBytes({ ...plan, jobs: [] }, 8);
        const leftBytes = jobs.reduce((n, j) => n - planJobBytes(j), capacityBytes);
        const expectedLeftBytes = 8 * 1024 - 64 - jsonByteLength(seal(plan));
        // There is one comma fewer than there are jobs.
        assert.ok(
          leftBytes <= expectedLeftBytes && leftBytes >= expectedLeftBytes - 1,
          `${leftBytes} ${expectedLeftBytes}`,
        );
        assert.equal(leftBytes >= 0, leftBytes >= 0 && fitsStoreValue(seal(plan), 8));
      }),
      { numRuns: 300, seed: 11 },
    );
  });
});
