import type { JobId, TeamName } from '../../protocol/ids.js';
import { priorityRank } from '../../protocol/jobs.js';
import type { TeamLimits } from '../../protocol/settings.js';
import type { Job, ResourceUsage } from '../../cluster/cluster-state.js';
import { compareIds } from './queue-order.js';
import { RESOURCE_EPSILON } from './resources.js';

/** Which jobs the guaranteed quotas of their teams cover. Upper limits are checked in `team-quota.ts`. */

/**
 * Finds the jobs that fit into their team's guarantee, either together with the team's earlier unfinished jobs, which is
 * how users count, or together with its jobs of higher priority. The second rule keeps a team's older arrays from pushing
 * its urgent work out of the guarantee.
 */
export function findJobsWithinGuarantee(
  jobs: Iterable<Job>,
  teamLimits: ReadonlyMap<TeamName, TeamLimits>,
): ReadonlySet<JobId> {
  const byAge = [...jobs].sort((a, b) => a.record.acceptedAt - b.record.acceptedAt || compareIds(a.id, b.id));
  const byPriority = [...byAge].sort((a, b) => priorityRank(a.spec.priority) - priorityRank(b.spec.priority));
  const covered = new Set<JobId>();
  fillGuarantees(byAge, teamLimits, covered);
  fillGuarantees(byPriority, teamLimits, covered);
  return covered;
}

/**
 * Adds the unfinished tasks of each team's jobs up in the given order, and collects the jobs that still fit.
 */
function fillGuarantees(
  orderedJobs: readonly Job[],
  teamLimits: ReadonlyMap<TeamName, TeamLimits>,
  covered: Set<JobId>,
): void {
  const usageByTeam = new Map<TeamName, ResourceUsage>();
  for (const job of orderedJobs) {
    if (job.cancelledAt !== undefined || job.backedOff) continue;
    const { spec } = job;
    const limits = teamLimits.get(spec.team);
    if (!limits || (limits.cpus <= 0 && limits.gpus <= 0)) continue;
    const usage = usageByTeam.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const unfinished = spec.tasks - job.done.count;
    usage.cpus += unfinished * spec.cpus;
    usage.gpus += unfinished * spec.gpus;
    usageByTeam.set(spec.team, usage);
    if (isWithinGuarantee(usage, limits)) covered.add(job.id);
  }
}

/** A guarantee of 0 leaves the resource unbounded. */
const isWithinGuarantee = (usage: ResourceUsage, { cpus, gpus }: TeamLimits): boolean =>
  (cpus <= 0 || usage.cpus <= cpus + RESOURCE_EPSILON) &&
  (gpus <= 0 || usage.gpus <= gpus + RESOURCE_EPSILON);
