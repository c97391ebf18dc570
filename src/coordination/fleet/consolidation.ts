import type { SteadyMs } from '../../transport/clock.js';
import type { MachineType } from '../../protocol/cloud.js';
import type { TypeName, ZoneName } from '../../protocol/ids.js';
import type { JobSpec } from '../../protocol/jobs.js';
import type { Job, Machine, Placement } from '../../cluster/cluster-state.js';
import {
  countTasksByZone,
  fitsMachineType,
  isEligible,
  isZoneAllowed,
  needsMoreThanHalfOfSmallestType,
} from '../scheduling/eligibility.js';
import type { UnplacedTasks } from '../scheduling/snapshot.js';
import type { FleetClusterState } from '../leader/cluster-state-views.js';
import { hasCapacityFor, type ResourceAmounts } from '../scheduling/resources.js';

/** Input of a consolidation plan. */
export interface ConsolidationSnapshot {
  readonly now: SteadyMs;
  readonly cluster: FleetClusterState;
  readonly types: ReadonlyMap<TypeName, MachineType>;
  /** Machines that are kept whatever runs on them: emptying them saves nothing. */
  readonly preProvisionedMachines: ReadonlySet<string>;
  /** Nothing is moved to a machine whose last heartbeat is older than this. */
  readonly staleMs: number;
  /** Milliseconds since `then` in which this process could receive heartbeats. */
  readonly silentMs: (then: SteadyMs) => number;
  /** Jobs that wait for a machine that runs only replicas, in scheduling order; none while no work waits for capacity. */
  readonly jobsNeedingWholeMachine: readonly Job[];
}

/** A replica that has run for less than this is not moved. */
const MIN_REPLICA_AGE_MS = 35_000;
/** A machine with more than this share of its capacity in use is not emptied. */
const MAX_UTILIZATION = 0.26;
/** Share of all replicas that may be moving at once: a moving replica is unavailable for a moment. */
const MAX_MOVING_SHARE = 0.005;
/** However few replicas there are, this many may be moving at once, */
const MIN_MOVE_LIMIT = 1;
/** and this many where jobs wait for the machines that they run on. */
const MIN_MOVE_LIMIT_FOR_WAITING_JOBS = 2;

/**
 * Replicas make way only for jobs that have waited for this long: completions have not helped them. It is well below a wait of
 * 90 s.
 */
const MIN_WAIT_MS = 45_000;

/** Each of these jobs is compared with every machine, so only the first in scheduling order are considered. */
const MAX_JOBS_NEEDING_WHOLE_MACHINE = 8;

/**
 * Returns the waiting jobs whose tasks need more than half of a machine, only the first in scheduling order. Replicas run
 * indefinitely and may run singly on every suitable machine: with two replicas on two machines, a job that needs whole
 * machines would never run. That violates no capacity rule, since no machine has capacity for the job.
 */
export function jobsNeedingWholeMachine(
  unplaced: readonly UnplacedTasks[],
  types: ReadonlyMap<TypeName, MachineType>,
  now: SteadyMs,
): readonly Job[] {
  return unplaced
    .filter(({ job, reason }) => reason === 'no room' && job.spec.kind !== 'service')
    .filter(
      ({ job }) => now - job.acceptedAt >= MIN_WAIT_MS && needsMoreThanHalfOfSmallestType(job.spec, types),
    )
    .slice(0, MAX_JOBS_NEEDING_WHOLE_MACHINE)
    .map(({ job }) => job);
}

/**
 * Returns replicas to move so that machines that run only a few can be returned, or used for jobs that need whole machines.
 * As services end, the remaining replicas are spread thinly over machines that were provisioned for many. A move makes one
 * replica unavailable for a moment; it is planned only where other machines in use hold the image and have capacity for all
 * replicas of the emptied one.
 */
export function planConsolidation(snapshot: ConsolidationSnapshot): Placement[] {
  const { sources, hosts, maxMoves } = surveyMachines(snapshot);
  const moves: Placement[] = [];
  const reserved = new ReservedCapacity();
  const emptied = new Set<Machine>();
  for (const source of sources) {
    if (moves.length + source.usage.tasks > maxMoves) break;
    if (reserved.isHost(source)) continue; // Other replicas are to move to it.
    const targets = findHosts(source, hosts, { emptied, reserved, snapshot });
    if (!targets) continue;
    emptied.add(source);
    for (const [replica, host] of targets) {
      reserved.add(host, replica.job.spec);
      moves.push(replica);
    }
  }
  return moves;
}

interface MachineSurvey {
  /** Machines that could be emptied, those with the fewest tasks first. */
  readonly sources: readonly Machine[];
  /** Machines that could run more replicas, those with the most replicas first. */
  readonly hosts: readonly Machine[];
  readonly maxMoves: number;
}

function surveyMachines(snapshot: ConsolidationSnapshot): MachineSurvey {
  let replicas = 0;
  let moving = 0;
  const sources: Machine[] = [];
  const hosts: Machine[] = [];
  for (const machine of snapshot.cluster.machines.values()) {
    replicas += machine.usage.services;
    moving += countStoppingReplicas(machine);
    const type = snapshot.types.get(machine.type);
    if (!type || !isEligible(machine, snapshot) || machine.usage.tasks === 0) continue;
    if (!machine.spot) hosts.push(machine);
    if (shouldEmpty(machine, type, snapshot)) sources.push(machine);
  }
  sources.sort((a, b) => a.usage.tasks - b.usage.tasks || (a.id < b.id ? -1 : 1));
  hosts.sort((a, b) => b.usage.services - a.usage.services || (a.id < b.id ? -1 : 1));
  const minMoveLimit =
    snapshot.jobsNeedingWholeMachine.length > 0 ? MIN_MOVE_LIMIT_FOR_WAITING_JOBS : MIN_MOVE_LIMIT;
  const maxMoves = Math.max(minMoveLimit, Math.ceil(replicas * MAX_MOVING_SHARE)) - moving;
  return { sources, hosts, maxMoves };
}

function countStoppingReplicas(machine: Machine): number {
  let count = 0;
  for (const { stop, job } of machine.placements) if (stop && job.spec.kind === 'service') count++;
  return count;
}

function shouldEmpty(machine: Machine, type: MachineType, snapshot: ConsolidationSnapshot): boolean {
  if (!runsOnlyLongRunningReplicas(machine, snapshot.now)) return false;
  const waiting = snapshot.jobsNeedingWholeMachine;
  if (waiting.length === 0) return isUnderutilized(machine, type, snapshot);
  return waiting.some((job) => couldRunOn(machine, type, job, snapshot.now));
}

function runsOnlyLongRunningReplicas(machine: Machine, now: SteadyMs): boolean {
  if (machine.usage.tasks !== machine.usage.services) return false;
  for (const { ended, stop, runningSince } of machine.placements) {
    // A task that has ended or is stopping changes the machine's load anyway.
    if (ended || stop || runningSince === undefined || now - runningSince < MIN_REPLICA_AGE_MS) return false;
  }
  return true;
}

function isUnderutilized(machine: Machine, type: MachineType, snapshot: ConsolidationSnapshot): boolean {
  if (snapshot.preProvisionedMachines.has(machine.id)) return false;
  const utilization = type.gpus > 0 ? machine.usage.gpus / type.gpus : machine.usage.cpus / type.cpus;
  return utilization <= MAX_UTILIZATION;
}

/** Whether a task of the job could run on the machine if it were empty. */
function couldRunOn(machine: Machine, type: MachineType, job: Job, now: SteadyMs): boolean {
  const { spec } = job;
  if ((machine.spot && !spec.spot) || !fitsMachineType(spec, type)) return false;
  return (
    (job.avoidedUntil.get(machine.id) ?? 0) <= now && isZoneAllowed(spec, countTasksByZone(job), machine.zone)
  );
}

/** Capacity of hosts that is reserved for replicas that are to move there. */
class ReservedCapacity {
  private readonly byHost = new Map<Machine, { cpus: number; gpus: number; memoryGb: number }>();

  isHost(machine: Machine): boolean {
    return this.byHost.has(machine);
  }

  add(host: Machine, spec: JobSpec): void {
    const amounts = this.byHost.get(host) ?? { cpus: 0, gpus: 0, memoryGb: 0 };
    amounts.cpus += spec.cpus;
    amounts.gpus += spec.gpus;
    amounts.memoryGb += spec.memoryGb;
    this.byHost.set(host, amounts);
  }

  /** Returns `free` less the reserved capacity of the host. */
  subtractFrom(free: ResourceAmounts, host: Machine): ResourceAmounts {
    const amounts = this.byHost.get(host);
    if (!amounts) return free;
    return {
      cpus: free.cpus - amounts.cpus,
      gpus: free.gpus - amounts.gpus,
      memoryGb: free.memoryGb - amounts.memoryGb,
    };
  }
}

interface PlannedMoves {
  readonly emptied: ReadonlySet<Machine>;
  readonly reserved: ReservedCapacity;
  readonly snapshot: ConsolidationSnapshot;
}

/** Returns a host for each replica of the source; undefined if there is none for any of them. */
function findHosts(
  source: Machine,
  hosts: readonly Machine[],
  moves: PlannedMoves,
): ReadonlyMap<Placement, Machine> | undefined {
  const targets = new Map<Placement, Machine>();
  const reservedForSource = new ReservedCapacity();
  for (const replica of source.placements) {
    const { spec } = replica.job;
    const tasksByZone = countOtherTasksByZone(replica);
    const host = hosts.find(
      (candidate) =>
        isSuitableHost(candidate, source, spec, moves) &&
        hasCapacityFor(freeCapacityOn(candidate, moves, reservedForSource), spec) &&
        isZoneAllowed(spec, tasksByZone, candidate.zone),
    );
    if (!host) return undefined;
    targets.set(replica, host);
    reservedForSource.add(host, spec);
  }
  return targets.size > 0 ? targets : undefined;
}

function countOtherTasksByZone(replica: Placement): ReadonlyMap<ZoneName, number> {
  const tasksByZone = new Map<ZoneName, number>();
  for (const other of replica.job.placements.values()) {
    if (other === replica || other.ended) continue;
    tasksByZone.set(other.machine.zone, (tasksByZone.get(other.machine.zone) ?? 0) + 1);
  }
  return tasksByZone;
}

function isSuitableHost(host: Machine, source: Machine, spec: JobSpec, { emptied }: PlannedMoves): boolean {
  if (host === source || emptied.has(host) || !host.cachedImages.has(spec.image)) return false;
  // Replicas move only to the machine with more of them: otherwise two underutilized machines would empty into each other.
  if (host.usage.services < source.usage.services) return false;
  if (host.usage.services === source.usage.services && host.id > source.id) return false;
  return spec.types === null || spec.types.includes(host.type);
}

function freeCapacityOn(
  host: Machine,
  { reserved, snapshot }: PlannedMoves,
  reservedForSource: ReservedCapacity,
): ResourceAmounts {
  const type = snapshot.types.get(host.type)!;
  const free = {
    cpus: type.cpus - host.usage.cpus,
    gpus: type.gpus - host.usage.gpus,
    memoryGb: type.memoryGb - host.usage.memoryGb,
  };
  return reservedForSource.subtractFrom(reserved.subtractFrom(free, host), host);
}
