import type { SteadyMs } from '../../transport/clock.js';
import type { MachineType } from '../../protocol/cloud.js';
import type { ImageName, TypeName, ZoneName } from '../../protocol/ids.js';
import type { JobSpec } from '../../protocol/jobs.js';
import type { RuntimeEstimates } from '../../cluster/runtime-estimates.js';
import type { Job, Machine, Placement } from '../../cluster/cluster-state.js';
import type { FleetClusterState } from '../leader/cluster-state-views.js';

/** The memory of a slot is rounded down to steps of this size, so that there are few groups. */
const MEMORY_STEP_GB = 4;

/** Inputs of a forecast. */
export interface CapacityForecastInputs {
  readonly cluster: FleetClusterState;
  readonly types: ReadonlyMap<TypeName, MachineType>;
  readonly estimates: RuntimeEstimates;
  readonly now: SteadyMs;
  /** Capacity that is released later than this many seconds from now is left out. */
  readonly horizonS: number;
  /** How many tasks of an elastic job run on borrowed capacity, which is released on demand. */
  readonly borrowedTasks?: ((job: Job) => number) | undefined;
}

/** Task slots of one size, on machines of one kind, that are released within the same second. */
interface ReleaseGroup {
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly gpus: number;
  readonly cpus: number;
  readonly memoryGb: number;
  /** Seconds until the release. */
  readonly releaseInS: number;
  /** Images that any of the machines holds. */
  readonly images: Set<ImageName>;
  count: number;
}

/**
 * Capacity that running work is expected to release, counted by machine kind, size and second: tens of thousands of tasks
 * form a few hundred groups, so that a query for one job does not visit each task. A forecast serves one plan; capacity that
 * one job reserves is not available to the next.
 */
export class CapacityForecast {
  private readonly groups: readonly ReleaseGroup[];

  constructor(inputs: CapacityForecastInputs) {
    this.groups = groupReleases(inputs).sort((a, b) => a.releaseInS - b.releaseInS);
  }

  /**
   * Reserves up to `count` slots for tasks of the spec and returns how many it reserved. A slot counts if it is released
   * within `latestS` seconds, `fetchS` seconds earlier where the machine lacks the image.
   */
  reserve(spec: JobSpec, count: number, latestS: number, fetchS: number): number {
    let reserved = 0;
    for (const group of this.groups) {
      if (reserved >= count || group.releaseInS > latestS) break;
      if (group.count === 0 || !fitsSlot(group, spec)) continue;
      if (group.releaseInS + (group.images.has(spec.image) ? 0 : fetchS) > latestS) continue;
      const taken = Math.min(group.count, count - reserved);
      group.count -= taken;
      reserved += taken;
    }
    return reserved;
  }
}

function fitsSlot(group: ReleaseGroup, spec: JobSpec): boolean {
  if (group.gpus < spec.gpus || group.cpus < spec.cpus || group.memoryGb < spec.memoryGb) return false;
  if (group.spot && !spec.spot) return false;
  if (spec.types !== null && !spec.types.includes(group.type)) return false;
  return spec.zone === null || spec.zone === group.zone;
}

function groupReleases(inputs: CapacityForecastInputs): ReleaseGroup[] {
  const { types, now, horizonS } = inputs;
  const groups = new Map<string, ReleaseGroup>();
  const borrowedLeft = new Map<Job, number>();
  for (const machine of inputs.cluster.machines.values()) {
    if (machine.state !== 'up' || machine.interruptionAt !== undefined || machine.quarantinedUntil > now)
      continue;
    if (machine.usage.tasks === machine.usage.services) continue;
    const type = types.get(machine.type);
    if (!type) continue;
    for (const placement of machine.placements) {
      if (placement.ended || (placement.job.spec.kind === 'service' && !placement.stop)) continue;
      const releaseInS = expectedReleaseS(placement, inputs, borrowedLeft);
      if (releaseInS > horizonS) continue;
      const group = findOrAddGroup(groups, machine, type, placement.job.spec, releaseInS);
      group.count++;
      for (const image of machine.cachedImages.keys()) group.images.add(image);
    }
  }
  return [...groups.values()];
}

/** Seconds within which the task is expected to be gone. */
function expectedReleaseS(
  placement: Placement,
  { estimates, now, borrowedTasks }: CapacityForecastInputs,
  borrowedLeft: Map<Job, number>,
): number {
  const { job, stop, runningSince } = placement;
  const { spec } = job;
  const runtimeS = runningSince === undefined ? 0 : (now - runningSince) / 1000;
  const releaseInS = Math.ceil(stop ? spec.saveS : estimates.remainingSeconds(spec, runtimeS));
  if (!spec.elastic || stop) return releaseInS;
  // Borrowed tasks are reclaimed on demand, so no machine is requested while their capacity would do.
  const borrowedTasksLeft = borrowedLeft.get(job) ?? borrowedTasks?.(job) ?? 0;
  borrowedLeft.set(job, borrowedTasksLeft - 1);
  return borrowedTasksLeft > 0 ? Math.min(releaseInS, Math.ceil(spec.elastic.giveBackS)) : releaseInS;
}

/** Returns the group of a slot, and adds it if it is new. A slot includes the machine's free capacity beside the task. */
function findOrAddGroup(
  groups: Map<string, ReleaseGroup>,
  machine: Machine,
  type: MachineType,
  spec: JobSpec,
  releaseInS: number,
): ReleaseGroup {
  const { usage } = machine;
  const cpus = Math.floor(spec.cpus + (type.cpus - usage.cpus));
  const freeGb = spec.memoryGb + (type.memoryGb - usage.memoryGb);
  const memoryGb = Math.floor(freeGb / MEMORY_STEP_GB) * MEMORY_STEP_GB;
  const key = `${machine.type}/${machine.zone}/${machine.spot}/${spec.gpus}/${cpus}/${memoryGb}/${releaseInS}`;
  let group = groups.get(key);
  if (!group) {
    const { type: typeName, zone, spot } = machine;
    group = {
      type: typeName,
      zone,
      spot,
      gpus: spec.gpus,
      cpus,
      memoryGb,
      releaseInS,
      images: new Set(),
      count: 0,
    };
    groups.set(key, group);
  }
  return group;
}
