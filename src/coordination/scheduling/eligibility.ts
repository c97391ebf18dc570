import type { MachineType } from '../../protocol/cloud.js';
import type { TypeName, ZoneName } from '../../protocol/ids.js';
import type { JobSpec } from '../../protocol/jobs.js';
import type { Job, Machine } from '../../cluster/cluster-state.js';
import { CPUS_PER_GPU_UNIT, hasCapacityFor } from './resources.js';
import type { SchedulingSnapshot } from './snapshot.js';

/**
 * Which machines may take new tasks at all, and which machine types and zones suit a job. The rules are the
 * same for scheduling, fleet planning and explanations. Free capacity is not considered here.
 */

/** Whether an empty machine of the type could run a task of the job. */
export const fitsMachineType = (spec: JobSpec, type: MachineType): boolean =>
  (spec.types === null || spec.types.includes(type.name)) && hasCapacityFor(type, spec);

/** The size of a machine type in GPUs, or in thousandths of a processor where it has no GPUs. */
export const sizeOfMachineType = (type: Pick<MachineType, 'gpus' | 'cpus'>): number =>
  type.gpus > 0 ? type.gpus : type.cpus / CPUS_PER_GPU_UNIT;

/** Whether a task takes more than half of the smallest machine that it fits. */
export function needsMoreThanHalfOfSmallestType(
  spec: JobSpec,
  types: ReadonlyMap<TypeName, MachineType>,
): boolean {
  let smallest: MachineType | undefined;
  for (const type of types.values()) {
    if (!fitsMachineType(spec, type)) continue;
    if (!smallest || sizeOfMachineType(type) < sizeOfMachineType(smallest)) smallest = type;
  }
  const twice = { cpus: 2 * spec.cpus, gpus: 2 * spec.gpus, memoryGb: 2 * spec.memoryGb };
  return smallest !== undefined && !hasCapacityFor(smallest, twice);
}

/**
 * Why a machine gets no new tasks now. `explain/ineligible-machines.ts` says when each of them ends at the
 * latest.
 */
export type IneligibilityReason =
  | 'booting'
  | 'returning'
  /** No heartbeat has carried this term's fencing token yet. */
  | 'not-fenced'
  | 'heartbeat-late'
  /** The provider has announced a spot interruption. */
  | 'interrupted'
  /** Tasks failed or were refused on it recently. */
  | 'quarantined'
  /** Its heartbeats arrive, but commands seem not to reach it. */
  | 'suspect'
  | 'zone-silent'
  | 'orphan-tasks'
  /** Its agent retains so many exited attempts that its heartbeats could become too long. */
  | 'exits-retained';

/**
 * From this number of retained exits on, a machine gets no new tasks. An exit takes about 100 bytes of a heartbeat, which is limited to
 * 64 KiB; the rest is for tasks that run.
 */
export const MAX_RETAINED_EXITS = 256;

/** The inputs that decide whether a machine is eligible. */
export type EligibilityContext = Pick<
  SchedulingSnapshot,
  'now' | 'staleMs' | 'silentMs' | 'unresponsiveZones'
>;

/** The first reason for which the machine gets no new tasks; undefined if it may take some. */
export function ineligibilityReason(
  machine: Machine,
  context: EligibilityContext,
): IneligibilityReason | undefined {
  if (machine.state !== 'up') return machine.state === 'booting' ? 'booting' : 'returning';
  if (!machine.fenced || machine.lastHeartbeat === undefined) return 'not-fenced';
  if (context.silentMs(machine.lastHeartbeat) > context.staleMs) return 'heartbeat-late';
  if (machine.interruptionAt !== undefined) return 'interrupted';
  if (machine.quarantinedUntil > context.now) return 'quarantined';
  if (machine.suspectedSince !== undefined) return 'suspect';
  if (context.unresponsiveZones?.has(machine.zone)) return 'zone-silent';
  if (machine.orphanTasks.length > 0) return 'orphan-tasks';
  return machine.retainedExits >= MAX_RETAINED_EXITS ? 'exits-retained' : undefined;
}

/** Whether the machine may take new tasks now. */
export const isEligible = (machine: Machine, context: EligibilityContext): boolean =>
  ineligibilityReason(machine, context) === undefined;

/**
 * Number of the job's tasks that possibly run in each zone. Tasks proven to be off their machine do not
 * count.
 */
export function countTasksByZone(job: Job): Map<ZoneName, number> {
  const counts = new Map<ZoneName, number>();
  for (const placement of job.placements.values()) {
    if (placement.ended) continue;
    const { zone } = placement.machine;
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }
  return counts;
}

/**
 * Whether one more task may run in the zone, given where the job's other tasks are: a job may require a
 * certain zone, one zone for all tasks, or at most half of them, rounded up, in any zone.
 */
export function isZoneAllowed(
  spec: JobSpec,
  tasksByZone: ReadonlyMap<ZoneName, number>,
  zone: ZoneName,
): boolean {
  if (spec.zone !== null && spec.zone !== zone) return false;
  if (spec.oneZone) for (const other of tasksByZone.keys()) if (other !== zone) return false;
  return !spec.spread || keepsSpread(tasksByZone, zone);
}

function keepsSpread(tasksByZone: ReadonlyMap<ZoneName, number>, zone: ZoneName): boolean {
  const inZone = (tasksByZone.get(zone) ?? 0) + 1;
  let total = 1;
  for (const tasks of tasksByZone.values()) total += tasks;
  return inZone <= Math.ceil(total / 2);
}
