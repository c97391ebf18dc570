import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ineligibilityEnd,
  explainIneligibleMachines,
} from '../src/coordination/explain/ineligible-machines.js';
import {
  ineligibilityReason,
  type EligibilityContext,
  type IneligibilityReason,
} from '../src/coordination/scheduling/eligibility.js';
import type { JobId, MachineId, TaskIndex, Term, ZoneName } from '../src/protocol/ids.js';
import type { SteadyMs } from '../src/transport/clock.js';
import { ClusterState, type Machine } from '../src/cluster/cluster-state.js';
import { addQueuedJobs, buildJobSpec } from './simulator/cluster-state-builders.js';
import { machineType } from './simulator/cluster-builders.js';

/** Each reason for which a machine gets no new tasks is explained to users, and ends soon once the fault is over. */
const NOW = 100_000 as SteadyMs;
const G4 = machineType('g4', ['a'], { gpus: 4, cpus: 16, bootS: 15 });
const CONTEXT: EligibilityContext = {
  now: NOW,
  staleMs: 5000,
  silentMs: (then) => NOW - then,
  unresponsiveZones: new Set(['b' as ZoneName]),
};
const AGENT_SETTINGS = { reportS: 6, leaseS: 60 };
const ELIGIBLE: Partial<Machine> = { state: 'up', fenced: true, lastHeartbeat: (NOW - 1000) as SteadyMs };

const REASONS: Readonly<Record<IneligibilityReason, Partial<Machine>>> = {
  booting: { ...ELIGIBLE, state: 'booting' },
  returning: { ...ELIGIBLE, state: 'returning' },
  'not-fenced': { ...ELIGIBLE, fenced: false },
  'heartbeat-late': { ...ELIGIBLE, lastHeartbeat: (NOW - 9000) as SteadyMs },
  interrupted: { ...ELIGIBLE, interruptionAt: (NOW + 20_000) as SteadyMs },
  quarantined: { ...ELIGIBLE, quarantinedUntil: (NOW + 30_000) as SteadyMs },
  suspect: { ...ELIGIBLE, suspectedSince: (NOW - 4000) as SteadyMs },
  'zone-silent': { ...ELIGIBLE, zone: 'b' as ZoneName },
  'orphan-tasks': { ...ELIGIBLE, orphanTasks: [{ job: 'req-000009' as JobId, index: 0 as TaskIndex }] },
  'exits-retained': { ...ELIGIBLE, retainedExits: 256 },
};

function buildMachine(overrides: Partial<Machine>): { cluster: ClusterState; machine: Machine } {
  const cluster = new ClusterState(1n as Term);
  addQueuedJobs(cluster, [buildJobSpec('req-000001' as JobId, { tasks: 3, gpus: 1, cpus: 1, memoryGb: 1 })]);
  const at = (NOW - 10_000) as SteadyMs;
  const machine = cluster.addMachine('m-000000' as MachineId, G4.name, 'a' as ZoneName, false, at, at);
  return { cluster, machine: Object.assign(machine, overrides) };
}

for (const [reason, overrides] of Object.entries(REASONS) as [IneligibilityReason, Partial<Machine>][]) {
  test(`a machine ineligible as '${reason}': the reason ends soon and is explained to the job's user`, () => {
    const { cluster, machine } = buildMachine(overrides);
    assert.equal(ineligibilityReason(machine, CONTEXT), reason);
    for (const agentSettings of [{ reportS: 1, leaseS: 8 }, AGENT_SETTINGS]) {
      const end = ineligibilityEnd(reason, machine, G4.bootS, agentSettings, NOW);
      assert.ok(end.withinS > 0 && end.withinS <= 60, `${reason}: ${end.withinS} s`);
    }
    const [job] = [...cluster.jobs.values()];
    const lines = explainIneligibleMachines(
      job!,
      cluster.machines.values(),
      new Map([[G4.name, G4]]),
      CONTEXT,
      AGENT_SETTINGS,
    );
    assert.equal(lines.length, 1);
    assert.match(
      lines[0]!,
      /^Of machines that may run it 1 .*; it ends when .*, within \d+ s once all is well/,
    );
  });
}

test('an eligible machine is explained only to a job that avoids it', () => {
  const { cluster, machine } = buildMachine(ELIGIBLE);
  assert.equal(ineligibilityReason(machine, CONTEXT), undefined);
  const [job] = [...cluster.jobs.values()];
  const explain = (): string[] =>
    explainIneligibleMachines(
      job!,
      cluster.machines.values(),
      new Map([[G4.name, G4]]),
      CONTEXT,
      AGENT_SETTINGS,
    );
  assert.deepEqual(explain(), []);
  job!.avoidedUntil.set(machine.id, (NOW + 7000) as SteadyMs);
  assert.deepEqual(explain(), [
    'It keeps away from 1 where it failed, was refused or made way, for 7 s at most.',
  ]);
});
