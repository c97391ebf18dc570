import type {
  AgentEpoch,
  Attempt,
  ImageName,
  JobId,
  MachineId,
  ModRevision,
  PlanId,
  TaskIndex,
  TeamName,
  Term,
  TypeName,
  ZoneName,
} from '../../src/protocol/ids.js';
import type { JobSpec } from '../../src/protocol/jobs.js';
import type { Job, ClusterState, Machine, Placement } from '../../src/cluster/cluster-state.js';
import type { SteadyMs } from '../../src/transport/clock.js';

/** Adds queued jobs to a leader's cluster state, each accepted a millisecond after the one before. */
export const addQueuedJobs = (cluster: ClusterState, specs: readonly JobSpec[]): Job[] =>
  specs.map((spec, i) =>
    cluster.addJob(
      {
        spec,
        state: 'queued',
        generation: 0,
        term: 0n as Term,
        attempt: 0,
        done: 0,
        acceptedAt: i as never,
        cancelledAt: null,
      },
      1n as ModRevision,
      0 as SteadyMs,
      undefined,
    ),
  );

/** Adds the machine `m-INDEX`, in the first epoch of its agent; what matters to a test is given on top. */
export const addMachine = (
  cluster: ClusterState,
  index: number,
  overrides: Partial<Machine> = {},
): Machine => {
  const id = `m-${index}` as MachineId;
  const now = 0 as SteadyMs;
  const machine = cluster.addMachine(id, 'g' as TypeName, 'a' as ZoneName, false, now, now);
  return Object.assign(machine, { state: 'up', agentEpoch: 1n as AgentEpoch }, overrides);
};

/** Places a task on the machine, by a plan of its own. */
export const placeTask = (
  cluster: ClusterState,
  job: Job,
  index: number,
  machine: Machine,
  attempt = 1n as Attempt,
): Placement => {
  const plan = `p-${index}` as PlanId;
  cluster.plans.set(plan, { id: plan, openTasks: 1, completionBatches: new Set() });
  const now = 0 as SteadyMs;
  return cluster.addPlacement(job, index as TaskIndex, attempt, machine, machine.agentEpoch, plan, now);
};

/** A job of one task of one GPU that may run anywhere; what matters to a test is given on top. */
export const buildJobSpec = (id: JobId, f: Partial<JobSpec> = {}): JobSpec => ({
  id,
  class: 'c',
  team: 'red' as TeamName,
  kind: 'array',
  priority: 'normal',
  tasks: 1,
  cpus: 1,
  gpus: 1,
  memoryGb: 1,
  image: 'img' as ImageName,
  imageGb: 0,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  estimateS: 10,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
  ...f,
});
