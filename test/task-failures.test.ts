import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ClusterState, waitingTaskCount } from '../src/cluster/cluster-state.js';
import { clearFailuresOfSoundJobs } from '../src/coordination/heartbeats/task-failures.js';
import type { JobId, MachineId, Term } from '../src/protocol/ids.js';
import type { SteadyMs } from '../src/transport/clock.js';
import { addMachine, addQueuedJobs, buildJobSpec, placeTask } from './simulator/cluster-state-builders.js';

/** Guards against a service that stays at one replica for ever after a spell in which all machines failed it. */
test('a job that fails everywhere is placed as a whole again once a task has run well beyond its failed runs', () => {
  const cluster = new ClusterState(1n as Term);
  const [job] = addQueuedJobs(cluster, [buildJobSpec('req-000001' as JobId, { kind: 'service', tasks: 3 })]);
  const startedAt = 1000 as SteadyMs;
  const placement = placeTask(cluster, job!, 0, addMachine(cluster, 0));
  placement.runningSince = startedAt;
  for (const id of ['m-0', 'm-1']) job!.failedOn.add(id as MachineId);
  job!.failuresSinceCompletion = 2;
  job!.longestFailedRunMs = 25_000;
  const waitingAfter = (runMs: number): number => {
    clearFailuresOfSoundJobs(cluster.jobs.values(), (startedAt + runMs) as SteadyMs);
    return waitingTaskCount(job!);
  };
  assert.equal(waitingAfter(49_000), 0);
  assert.equal(waitingAfter(50_000), 2);
  assert.equal(job!.longestFailedRunMs, 0);
});
