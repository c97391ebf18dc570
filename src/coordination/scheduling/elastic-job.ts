import type { Job } from '../../cluster/cluster-state.js';

/**
 * Properties of an elastic job that depend on the job alone. Target widths, and which machines are closed to
 * elastic work, are decided in `elastic/`.
 */

/** Number of the job's tasks that run or are to run, without those that have been ordered to stop. */
export function currentWidth(job: Job): number {
  let width = 0;
  for (const placement of job.placements.values()) if (!placement.ended && !placement.stop) width++;
  return width;
}
