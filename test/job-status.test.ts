import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobStatusReader } from '../src/coordination/users/job-status.js';
import { decodeAs } from '../src/protocol/codec.js';
import type { JobId } from '../src/protocol/ids.js';
import { jobAnswerSchema } from '../src/protocol/jobs.js';
import { silentLog } from '../src/transport/log.js';

/** Guards against an older answer to a question that was on its way when the same controller confirmed the cancellation. */
test('a job whose cancellation was confirmed while the question waited for the store is called cancelled', async () => {
  const id = 'req-000001' as JobId;
  const cancelled = new Set<JobId>();
  let answerSync: (ok: boolean) => void = () => undefined;
  const reader = new JobStatusReader({
    stallAwareClock: { since: () => 0 },
    log: silentLog,
    store: { lastContactAt: 0 } as never,
    jobCache: {
      sync: () => new Promise((resolve) => (answerSync = resolve)),
      get: () => ({ record: { state: 'running', done: 0 }, modRevision: 1n }) as never,
    },
    cancellations: { add: (job) => void cancelled.add(job), has: (job) => cancelled.has(job) },
    liveTaskCounts: () => undefined,
  });
  const question = reader.read(id);
  cancelled.add(id);
  answerSync(true);
  const answer = decodeAs(jobAnswerSchema, (await question).body ?? new Uint8Array());
  assert.ok(answer.ok);
  assert.equal(answer.value.state, 'cancelled');
});
