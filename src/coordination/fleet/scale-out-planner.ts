import type { SteadyMs } from '../../transport/clock.js';
import type { MachineType } from '../../protocol/cloud.js';
import type { TypeName, ZoneName } from '../../protocol/ids.js';
import type { JobSpec } from '../../protocol/jobs.js';
import type { Job, Machine } from '../../cluster/cluster-state.js';
import { countTasksByZone, fitsMachineType, isZoneAllowed } from '../scheduling/eligibility.js';
import type { UnplacedTasks } from '../scheduling/snapshot.js';
import { CapacityForecast } from './capacity-forecast.js';
import type { FleetSnapshot, MachineRequest } from './fleet-snapshot.js';
import { IncomingCapacity } from './incoming-capacity.js';
import { machineKindKey, type MachineKind } from './machine-kind.js';

/** A machine that boots for longer than this multiple of its type's boot time no longer counts as incoming capacity. */
const LATE_BOOT_FACTOR = 1.8;
/** How long a machine that is up may take to send its first heartbeat before others are requested in its place. */
const FIRST_HEARTBEAT_TIMEOUT_MS = 10_000;
/** Most machines in one request. */
const MAX_MACHINES_PER_REQUEST = 50;
/** Capacity that running work is expected to release later than this from now does not count. */
const FORECAST_HORIZON_S = 600;
/** Share of a finish objective that is planned with; the rest is a margin for estimates that are too low. */
const OBJECTIVE_SHARE = 0.9;
/** Prices that differ by less are equal, and a task count that rounding put this far below a whole number is that number. */
const COMPARISON_TOLERANCE = 1e-9;
/** Lower bound of the image fetch rate, for types that give no rate. */
const MIN_FETCH_GB_PER_S = 1e-3;

/**
 * Decides which machines to request for the tasks that found no capacity. Capacity that running work is expected to release
 * in time, and incoming capacity, are used first. It plans only; `ScaleOut` sends the requests.
 */
export function planScaleOut(snapshot: FleetSnapshot): MachineRequest[] {
  const unplaced = snapshot.unplaced.filter(({ reason }) => reason === 'no room');
  if (unplaced.length === 0) return [];
  return new ScaleOutPlan(snapshot).requestsFor(unplaced);
}

class ScaleOutPlan {
  private readonly incoming = new IncomingCapacity();
  /** Number of machines of each type and zone, including requested ones. */
  private readonly machinesByTypeAndZone = new Map<string, number>();
  private readonly requests = new Map<string, MachineRequest & { count: number }>();
  private readonly forecast: CapacityForecast;

  constructor(private readonly snapshot: FleetSnapshot) {
    for (const machine of snapshot.cluster.machines.values()) this.countMachine(machine);
    for (const request of snapshot.pendingScaleOut) this.countPendingRequest(request);
    this.forecast = new CapacityForecast({ ...snapshot, horizonS: FORECAST_HORIZON_S });
  }

  requestsFor(unplaced: readonly UnplacedTasks[]): MachineRequest[] {
    for (const { job, count } of unplaced) this.planJob(job, count);
    return [...this.requests.values()];
  }

  private countMachine(machine: Machine): void {
    const { snapshot, incoming } = this;
    this.addToCount(machine.type, machine.zone, 1);
    const type = snapshot.types.get(machine.type);
    if (!type) return;
    const kind = { type, zone: machine.zone, spot: machine.spot };
    if (
      machine.state === 'booting' &&
      (snapshot.now - machine.rentedAt) / 1000 < LATE_BOOT_FACTOR * type.bootS
    )
      incoming.addMachines(kind, 1);
    if (machine.state === 'up' && isFirstHeartbeatDue(machine, snapshot))
      incoming.addPartlyFreeMachine(kind, {
        cpus: type.cpus - machine.usage.cpus,
        gpus: type.gpus - machine.usage.gpus,
        memoryGb: type.memoryGb - machine.usage.memoryGb,
      });
  }

  private countPendingRequest(request: MachineRequest): void {
    const type = this.snapshot.types.get(request.type);
    this.addToCount(request.type, request.zone, request.count);
    if (type) this.incoming.addMachines({ type, zone: request.zone, spot: request.spot }, request.count);
  }

  private addToCount(type: TypeName, zone: ZoneName, count: number): void {
    const key = `${type}/${zone}`;
    this.machinesByTypeAndZone.set(key, (this.machinesByTypeAndZone.get(key) ?? 0) + count);
  }

  private planJob(job: Job, count: number): void {
    const tasksByZone = countTasksByZone(job);
    let missing = count - this.reserveExpectedReleases(job, count);
    if (missing > 0) missing -= this.incoming.reserve(job, tasksByZone, missing);
    while (missing > 0) {
      const kind = this.cheapestKind(job, missing, tasksByZone);
      if (!kind) return;
      this.requestOne(kind);
      const placed = this.incoming.reserve(job, tasksByZone, missing);
      if (placed === 0) return;
      missing -= placed;
    }
  }

  /**
   * Reserves expected releases for the job's waiting tasks, and returns for how many tasks capacity is released in time. A
   * machine requested for these would come later, without the image, and then be idle.
   */
  private reserveExpectedReleases(job: Job, count: number): number {
    const { spec } = job;
    if (spec.tasks > 1 && spec.kind === 'gang') return 0;
    const fitting = [...this.snapshot.types.values()].filter((type) => fitsMachineType(spec, type));
    if (fitting.length === 0) return 0;
    const bootS = Math.min(...fitting.map((type) => type.bootS));
    const fetchS = spec.imageGb / Math.max(...fitting.map((type) => type.fetchGbPerS), MIN_FETCH_GB_PER_S);
    // A release counts at least until a machine that is requested now could start the task.
    const latestS = Math.max(bootS + fetchS, this.latestStartS(job));
    return this.forecast.reserve(spec, count, latestS, fetchS);
  }

  /** Seconds within which a task of an array has to start to meet its deadline or finish objective; 0 where there is none. */
  private latestStartS({ spec, acceptedAt }: Job): number {
    const { now, estimates, finishObjectiveS } = this.snapshot;
    const objectiveS = spec.deadlineS ?? finishObjectiveS.get(spec.class);
    if (objectiveS === undefined || spec.kind !== 'array') return 0;
    const ageS = (now - acceptedAt) / 1000;
    return objectiveS * OBJECTIVE_SHARE - ageS - estimates.expectedSeconds(spec);
  }

  private requestOne(kind: MachineKind): void {
    const { type, zone, spot } = kind;
    const key = machineKindKey(type.name, zone, spot);
    const request = this.requests.get(key) ?? { type: type.name, zone, spot, count: 0 };
    this.incoming.addMachines(kind, 1);
    request.count++;
    this.requests.set(key, request);
    this.addToCount(type.name, zone, 1);
  }

  /** The kind with the lowest price per task that it would run; of equal ones, that with the fewest machines in its zone. */
  private cheapestKind(
    job: Job,
    missing: number,
    tasksByZone: ReadonlyMap<ZoneName, number>,
  ): MachineKind | undefined {
    const { spec } = job;
    let best: (MachineKind & { readonly cost: number; readonly machines: number }) | undefined;
    for (const type of this.snapshot.types.values()) {
      if (!fitsMachineType(spec, type)) continue;
      const usefulTasks = Math.max(1, Math.min(tasksPerMachine(spec, type), missing));
      for (const zone of type.zones) {
        if (!isZoneAllowed(spec, tasksByZone, zone)) continue;
        for (const spot of spec.spot ? [true, false] : [false]) {
          if (!this.mayRequest(type.name, zone, spot)) continue;
          const cost = (spot ? type.spotPrice : type.price) / usefulTasks;
          const machines = this.machinesByTypeAndZone.get(`${type.name}/${zone}`) ?? 0;
          if (!best || isCheaperOrMoreBalanced({ cost, machines }, best))
            best = { type, zone, spot, cost, machines };
        }
      }
    }
    return best;
  }

  private mayRequest(type: TypeName, zone: ZoneName, spot: boolean): boolean {
    const { now, capacityRefusedUntil } = this.snapshot;
    const key = machineKindKey(type, zone, spot);
    if ((capacityRefusedUntil.get(key) ?? 0) > now) return false;
    return (this.requests.get(key)?.count ?? 0) < MAX_MACHINES_PER_REQUEST;
  }
}

/**
 * Whether a machine that is up will be usable soon: its first heartbeat of this term is still due, mostly after a failover,
 * or arrived only after the cycle that found no capacity.
 */
function isFirstHeartbeatDue(machine: Machine, snapshot: FleetSnapshot): boolean {
  if (machine.fenced && machine.fencedAt < snapshot.plannedAt) return false;
  const expectedSince = Math.max(machine.lastHeartbeat ?? 0, machine.heartbeatsExpectedSince) as SteadyMs;
  return snapshot.silentMs(expectedSince) < FIRST_HEARTBEAT_TIMEOUT_MS;
}

function tasksPerMachine(spec: JobSpec, type: MachineType): number {
  const byCpus = spec.cpus > 0 ? type.cpus / spec.cpus : Infinity;
  const byGpus = spec.gpus > 0 ? type.gpus / spec.gpus : Infinity;
  const byMemory = spec.memoryGb > 0 ? type.memoryGb / spec.memoryGb : Infinity;
  return Math.floor(Math.min(byCpus, byGpus, byMemory) + COMPARISON_TOLERANCE);
}

interface KindScore {
  readonly cost: number;
  readonly machines: number;
}

function isCheaperOrMoreBalanced(score: KindScore, best: KindScore): boolean {
  if (score.cost < best.cost - COMPARISON_TOLERANCE) return true;
  return Math.abs(score.cost - best.cost) < COMPARISON_TOLERANCE && score.machines < best.machines;
}
