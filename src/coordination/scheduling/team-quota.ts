import type { TeamName } from '../../protocol/ids.js';
import type { JobSpec } from '../../protocol/jobs.js';
import type { TeamLimits } from '../../protocol/settings.js';
import { teamUsageWithOrphans, type ResourceUsage } from '../../cluster/cluster-state.js';
import { RESOURCE_EPSILON } from './resources.js';

/**
 * Checks tasks against the upper limits of their teams during one scheduling cycle. It starts from what the
 * teams use, counts what the cycle places, and never writes cluster state. Guarantees are computed
 * in `guarantees.ts`.
 */
export class TeamQuota {
  private readonly usageByTeam: Map<TeamName, ResourceUsage>;

  constructor(
    cluster: Parameters<typeof teamUsageWithOrphans>[0],
    private readonly limits: ReadonlyMap<TeamName, TeamLimits>,
  ) {
    this.usageByTeam = teamUsageWithOrphans(cluster);
  }

  /**
   * Whether so many more tasks of this kind stay within the limit of their team. Unknown teams may run
   * nothing.
   */
  isWithinLimit(spec: JobSpec, tasks: number): boolean {
    const limit = this.limits.get(spec.team);
    if (!limit) return false;
    const usage = this.usageOf(spec.team);
    return (
      (limit.cpusMax <= 0 || usage.cpus + tasks * spec.cpus <= limit.cpusMax + RESOURCE_EPSILON) &&
      (limit.gpusMax <= 0 || usage.gpus + tasks * spec.gpus <= limit.gpusMax + RESOURCE_EPSILON)
    );
  }

  /** How many more tasks of this kind the limit of their team allows; infinite where it has none. */
  remainingTasks(spec: JobSpec): number {
    const limit = this.limits.get(spec.team);
    if (!limit) return 0;
    const usage = this.usageOf(spec.team);
    return Math.min(
      remainingOf(limit.cpusMax, usage.cpus, spec.cpus),
      remainingOf(limit.gpusMax, usage.gpus, spec.gpus),
    );
  }

  /** Counts tasks that the cycle has placed. */
  charge(spec: JobSpec, tasks: number): void {
    const usage = this.usageOf(spec.team);
    usage.cpus += tasks * spec.cpus;
    usage.gpus += tasks * spec.gpus;
    this.usageByTeam.set(spec.team, usage);
  }

  private usageOf(team: TeamName): ResourceUsage {
    return this.usageByTeam.get(team) ?? { cpus: 0, gpus: 0 };
  }
}

/**
 * Tasks left in one resource; a limit of 0 means none, and a task that takes nothing of it is not bound by
 * it.
 */
function remainingOf(limit: number, used: number, perTask: number): number {
  if (limit <= 0 || perTask <= 0) return Infinity;
  return Math.max(0, Math.floor((limit - used) / perTask + RESOURCE_EPSILON));
}
