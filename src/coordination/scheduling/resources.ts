/**
 * Amounts of the three schedulable resources and how they compare. This module knows nothing of machines,
 * jobs or scheduling cycles.
 */

/**
 * An amount of each resource: what a task requests, what a machine type offers, or what is free on a machine.
 */
export interface ResourceAmounts {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** Tolerance for sums of fractional CPUs and gigabytes. */
export const RESOURCE_EPSILON = 1e-9;

/** Processors that weigh as much as one GPU where machines or tasks of both sorts are compared. */
export const CPUS_PER_GPU_UNIT = 1000;

/** Whether everything that is requested is available. */
export const hasCapacityFor = (available: ResourceAmounts, requested: ResourceAmounts): boolean =>
  available.cpus + RESOURCE_EPSILON >= requested.cpus &&
  available.gpus + RESOURCE_EPSILON >= requested.gpus &&
  available.memoryGb + RESOURCE_EPSILON >= requested.memoryGb;

/** How often the request fits into what is available; at least 1, also for a request of nothing. */
export function countFitting(available: ResourceAmounts, requested: ResourceAmounts): number {
  const count = Math.min(
    timesContained(available.cpus, requested.cpus),
    timesContained(available.gpus, requested.gpus),
    timesContained(available.memoryGb, requested.memoryGb),
  );
  return Math.max(1, count === Infinity ? 1 : count);
}

const timesContained = (available: number, requested: number): number =>
  requested > 0 ? Math.floor(available / requested + RESOURCE_EPSILON) : Infinity;
