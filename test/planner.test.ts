import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { RuntimeEstimates } from '../src/cluster/runtime-estimates.js';
import { ClusterState, type Job, type Machine } from '../src/cluster/cluster-state.js';
import { findJobsWithinGuarantee } from '../src/coordination/scheduling/guarantees.js';
import { planSchedulingCycle } from '../src/coordination/scheduling/planner.js';
import type { PlannedTask, SchedulingSnapshot } from '../src/coordination/scheduling/snapshot.js';
import type { JobId, MachineId, TeamName, Term, TypeName, ZoneName } from '../src/protocol/ids.js';
import type { JobSpec } from '../src/protocol/jobs.js';
import type { SteadyMs } from '../src/transport/clock.js';
import { arbitraryJobSpec } from './simulator/arbitrary-jobs.js';
import { addQueuedJobs } from './simulator/cluster-state-builders.js';
import { machineType, team } from './simulator/cluster-builders.js';

const NOW = 10_000 as SteadyMs;
const ZONES = ['a', 'b', 'c'];
const MACHINE_TYPES = new Map(
  [
    machineType('small', ZONES, { cpus: 8, gpus: 2, memoryGb: 32 }),
    machineType('big', ZONES, { cpus: 32, gpus: 4, memoryGb: 128 }),
  ].map((type) => [type.name, type]),
);
const TEAM_LIMITS = new Map([team('red', 4, 6), team('blue', 0, 5)].map((limits) => [limits.name, limits]));

/** Waiting jobs and empty machines. */
interface Scenario {
  readonly specs: readonly JobSpec[];
  readonly machines: readonly {
    readonly type: 'small' | 'big';
    readonly zone: 'a' | 'b' | 'c';
    readonly spot: boolean;
  }[];
}

const arbitraryScenario: fc.Arbitrary<Scenario> = fc.record({
  specs: fc.uniqueArray(arbitraryJobSpec, { maxLength: 8, selector: (spec) => spec.id }),
  machines: fc.array(
    fc.record({
      type: fc.constantFrom('small' as const, 'big' as const),
      zone: fc.constantFrom('a' as const, 'b' as const, 'c' as const),
      spot: fc.boolean(),
    }),
    { maxLength: 6 },
  ),
});

function buildSnapshot(scenario: Scenario): {
  readonly snapshot: SchedulingSnapshot;
  readonly jobs: readonly Job[];
} {
  const cluster = new ClusterState(1n as Term);
  const jobs = addQueuedJobs(cluster, scenario.specs);
  scenario.machines.forEach(({ type, zone, spot }, i) => {
    const id = `m-${i}` as MachineId;
    const machine = cluster.addMachine(id, type as TypeName, zone as ZoneName, spot, NOW, NOW);
    machine.state = 'up';
    machine.fenced = true;
    machine.lastHeartbeat = NOW;
  });
  const snapshot: SchedulingSnapshot = {
    now: NOW,
    cluster,
    machineTypes: MACHINE_TYPES,
    teamLimits: TEAM_LIMITS,
    staleMs: 5000,
    silentMs: (since) => NOW - since,
    maxTasks: 100,
    maxJobs: 10,
    preemptAfterMs: 0,
    estimates: new RuntimeEstimates(),
    objectives: {
      startWithinSByClass: new Map(),
      guaranteeWithinS: undefined,
      finishWithinSByClass: new Map(),
    },
  };
  return { snapshot, jobs };
}

const describeTasks = (tasks: readonly PlannedTask[]): unknown[] =>
  tasks.map(({ job, index, machine }) => [job.id, index, machine.id]);

/** Plans random scenarios and checks each plan. */
function checkPlans(
  check: (tasks: readonly PlannedTask[], jobs: readonly Job[], scenario: Scenario) => void,
): void {
  fc.assert(
    fc.property(arbitraryScenario, (scenario) => {
      const { snapshot, jobs } = buildSnapshot(scenario);
      check(planSchedulingCycle(snapshot).tasks, jobs, scenario);
    }),
    { seed: 20260, numRuns: 200 },
  );
}

function countBy<K>(tasks: readonly PlannedTask[], keyOf: (task: PlannedTask) => K): Map<K, number> {
  const counts = new Map<K, number>();
  for (const task of tasks) counts.set(keyOf(task), (counts.get(keyOf(task)) ?? 0) + 1);
  return counts;
}

describe('the planner', () => {
  it('returns the same plan for the same snapshot', () => {
    checkPlans((tasks, _jobs, scenario) => {
      const again = planSchedulingCycle(buildSnapshot(scenario).snapshot);
      assert.deepEqual(describeTasks(tasks), describeTasks(again.tasks));
    });
  });

  it('plans no task of a job whose completion has no answer, or whose record was refused', () => {
    fc.assert(
      fc.property(arbitraryScenario, (scenario) => {
        const { snapshot, jobs } = buildSnapshot(scenario);
        const [completing, outdated] = jobs;
        if (completing) completing.unansweredWrite = 'completion';
        if (outdated) outdated.refusedRevision = outdated.modRevision;
        const planned = new Set(planSchedulingCycle(snapshot).tasks.map(({ job }) => job));
        for (const job of [completing, outdated]) if (job) assert.ok(!planned.has(job));
      }),
      { seed: 20260, numRuns: 200 },
    );
  });

  it('never plans more on a machine than fits', () => {
    checkPlans((tasks) => {
      const used = new Map<Machine, { cpus: number; gpus: number; memoryGb: number }>();
      for (const { job, machine } of tasks) {
        const amounts = used.get(machine) ?? { cpus: 0, gpus: 0, memoryGb: 0 };
        amounts.cpus += job.spec.cpus;
        amounts.gpus += job.spec.gpus;
        amounts.memoryGb += job.spec.memoryGb;
        used.set(machine, amounts);
      }
      for (const [machine, { cpus, gpus, memoryGb }] of used) {
        const type = MACHINE_TYPES.get(machine.type)!;
        assert.ok(cpus <= type.cpus && gpus <= type.gpus && memoryGb <= type.memoryGb);
      }
    });
  });

  it('uses only machines of the types, zones and pricing that a job allows', () => {
    checkPlans((tasks) => {
      for (const { job, machine } of tasks) {
        const { spot, types, zone } = job.spec;
        assert.ok(!machine.spot || spot, 'spot');
        assert.ok(types === null || types.includes(machine.type), 'type');
        assert.ok(zone === null || zone === machine.zone, 'zone');
      }
    });
  });

  it('respects the limits of teams', () => {
    checkPlans((tasks) => {
      const gpusByTeam = new Map<TeamName, number>();
      for (const { job } of tasks) {
        gpusByTeam.set(job.spec.team, (gpusByTeam.get(job.spec.team) ?? 0) + job.spec.gpus);
      }
      for (const [name, gpus] of gpusByTeam) assert.ok(gpus <= TEAM_LIMITS.get(name)!.gpusMax);
    });
  });

  it('plans no task twice, and gangs whole or not at all', () => {
    checkPlans((tasks, jobs) => {
      for (const job of jobs) {
        const ofJob = tasks.filter((task) => task.job === job);
        assert.equal(new Set(ofJob.map((task) => task.index)).size, ofJob.length);
        if (job.spec.kind !== 'gang') continue;
        assert.ok(ofJob.length === 0 || ofJob.length === job.spec.tasks);
      }
    });
  });

  it('keeps jobs in one zone, or at most half of their tasks in any, where they ask for it', () => {
    checkPlans((tasks, jobs) => {
      for (const job of jobs) {
        const ofJob = tasks.filter((task) => task.job === job);
        const byZone = countBy(ofJob, ({ machine }) => machine.zone);
        if (job.spec.oneZone) assert.ok(byZone.size <= 1, 'one zone');
        if (!job.spec.spread) continue;
        for (const count of byZone.values()) assert.ok(count <= Math.ceil(ofJob.length / 2), 'spread');
      }
    });
  });
});

describe('the guarantee of a team', () => {
  it('covers urgent work before older arrays', () => {
    const base = fc.sample(arbitraryJobSpec, { seed: 2, numRuns: 1 })[0]!;
    const specOf = (id: string, fields: Partial<JobSpec>): JobSpec => ({
      ...base,
      id: id as JobId,
      team: 'red' as TeamName,
      gpus: 1,
      ...fields,
    });
    const { jobs } = buildSnapshot({
      specs: [
        specOf('req-000001', { kind: 'array', priority: 'normal', tasks: 3 }),
        specOf('req-000002', { kind: 'array', priority: 'normal', tasks: 3 }),
        specOf('req-000003', { kind: 'gang', priority: 'high', tasks: 2 }),
      ],
      machines: [],
    });
    const covered = findJobsWithinGuarantee(jobs, TEAM_LIMITS);
    assert.deepEqual([...covered].sort(), ['req-000001', 'req-000003']);
  });
});
