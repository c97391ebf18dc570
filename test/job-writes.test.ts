import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ClusterState, type Job } from '../src/cluster/cluster-state.js';
import { nextCompletionTransaction } from '../src/coordination/completion/completion-transaction.js';
import {
  JobRecordListener,
  type JobRecordListenerDependencies,
} from '../src/coordination/leader/job-record-listener.js';
import type { JobId, ModRevision, Term } from '../src/protocol/ids.js';
import type { JobSpec } from '../src/protocol/jobs.js';
import type { CompletionTransaction } from '../src/coordination/completion/transaction-part.js';
import { Keys, TASKS_PER_COMPLETION_CHUNK } from '../src/storage/records.js';
import type { SteadyMs } from '../src/transport/clock.js';
import { silentLog } from '../src/transport/log.js';
import { addMachine, addQueuedJobs, buildJobSpec, placeTask } from './simulator/cluster-state-builders.js';
import { ProcessClock, VirtualTime } from './simulator/virtual-time.js';

/**
 * Guards against a job that is completed while another transaction about it has no answer, and against one job's refused record that
 * holds up the completions of all others. Both stopped all completions until the leader was replaced (review, case 1).
 */
const TERM = 5n as Term;
const NOW = 1000 as SteadyMs;
const FIRST = 'req-000001' as JobId;
const SECOND = 'req-000002' as JobId;
const TXN_OPS = 12;

function clusterWith(...specs: JobSpec[]): { cluster: ClusterState; jobs: Job[] } {
  const cluster = new ClusterState(TERM);
  return { cluster, jobs: addQueuedJobs(cluster, specs) };
}

function addEndedTask(cluster: ClusterState, job: Job, index: number): void {
  cluster.endPlacement(placeTask(cluster, job, index, addMachine(cluster, index)), 'done', NOW);
}

const nextTransaction = (cluster: ClusterState): CompletionTransaction | undefined =>
  nextCompletionTransaction(cluster, {
    txnOps: TXN_OPS,
    valueKb: 8,
    batchKey: Keys.completionBatch(TERM, 1),
    batchDue: true,
    requeueDue: true,
  });

const completedJobs = (cluster: ClusterState): JobId[] =>
  nextTransaction(cluster)?.completedJobs.map((job) => job.id) ?? [];

describe('the completion transaction', () => {
  it('completes no cancelled job while a plan that names it has no answer', () => {
    const { cluster, jobs } = clusterWith(buildJobSpec(FIRST), buildJobSpec(SECOND));
    for (const job of jobs) job.cancelledAt = NOW;
    jobs[0]!.unansweredWrite = 'plan';
    assert.deepEqual(completedJobs(cluster), [SECOND]);
    jobs[0]!.unansweredWrite = undefined;
    assert.deepEqual(completedJobs(cluster), [FIRST, SECOND]);
  });

  it('completes no gang that is done while a plan with the replacement of a lost task has no answer', () => {
    const { cluster, jobs } = clusterWith(buildJobSpec(FIRST, { kind: 'gang', tasks: 2 }));
    addEndedTask(cluster, jobs[0]!, 0);
    jobs[0]!.unansweredWrite = 'plan';
    assert.deepEqual(completedJobs(cluster), []);
    jobs[0]!.unansweredWrite = undefined;
    assert.deepEqual(completedJobs(cluster), [FIRST]);
  });

  it('leaves out a job whose record was refused until it is read again, and completes the others', () => {
    const { cluster, jobs } = clusterWith(buildJobSpec(FIRST), buildJobSpec(SECOND));
    jobs.forEach((job, index) => addEndedTask(cluster, job, index));
    const { listener } = listenTo(cluster);
    const [first] = jobs as [Job, Job];
    listener.onConditionRefused({ key: Keys.job(FIRST), modRevision: first.modRevision });
    assert.deepEqual(completedJobs(cluster), [SECOND]);
    listener.onRecord(FIRST, { record: first.record, modRevision: 9n as ModRevision }, 9n as ModRevision);
    assert.deepEqual(completedJobs(cluster), [FIRST, SECOND]);
  });
});

function listenTo(cluster: ClusterState): { listener: JobRecordListener; restarts: string[] } {
  const restarts: string[] = [];
  const dependencies: JobRecordListenerDependencies = {
    clock: new ProcessClock(new VirtualTime(), 1, 0),
    log: silentLog,
    cluster,
    cancelledJobs: { has: () => false },
    dispatcher: { scheduleStops: () => undefined },
    pipelines: undefined,
    isActive: () => true,
    wake: () => undefined,
    restartTerm: (reason) => void restarts.push(reason),
  };
  return { listener: new JobRecordListener(dependencies), restarts };
}

describe('ends of a large array in more records than one transaction writes', () => {
  // An array with ends in 13 records recorded none of them, since all together did not fit.
  it('are recorded in several transactions', () => {
    const { cluster, jobs } = clusterWith(buildJobSpec(FIRST, { tasks: 100_000 }));
    const [job] = jobs as [Job];
    const chunks = TXN_OPS + 1;
    for (let chunk = 0; chunk < chunks; chunk++)
      addEndedTask(cluster, job, chunk * TASKS_PER_COMPLETION_CHUNK);
    for (let written = 0; written < chunks; written = job.done.count) {
      const transaction = nextTransaction(cluster);
      assert.ok(transaction && transaction.changes.length < TXN_OPS);
      transaction.apply(9n as ModRevision);
      assert.ok(job.done.count > written);
    }
    assert.equal(cluster.pendingCompletions.size, 0);
  });
});

describe('the removal of a job record', () => {
  const REMOVED_AT = 9n as ModRevision;

  it('begins a new term if the job has not ended', () => {
    const { cluster } = clusterWith(buildJobSpec(FIRST));
    const { listener, restarts } = listenTo(cluster);
    listener.onRecord(FIRST, undefined, REMOVED_AT);
    assert.equal(restarts.length, 1);
  });

  it('is expected while the completion has no answer, and after it', () => {
    const { cluster, jobs } = clusterWith(buildJobSpec(FIRST));
    const { listener, restarts } = listenTo(cluster);
    jobs[0]!.unansweredWrite = 'completion';
    listener.onRecord(FIRST, undefined, REMOVED_AT);
    cluster.removeJob(jobs[0]!);
    listener.onRecord(FIRST, undefined, REMOVED_AT);
    assert.deepEqual(restarts, []);
  });
});
