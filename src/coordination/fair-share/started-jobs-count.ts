import type { SteadyMs } from '../../transport/clock.js';
import { classGroup, type FairShareGroupKey } from '../../cluster/fair-share-groups.js';
import type { FairShareClusterState } from '../leader/cluster-state-views.js';
import type { FairShareGroup } from './share-accounting.js';

/**
 * A class is underserved once less than this fraction of its overdue jobs has started, until `SERVED_AGAIN_FROM` has. Unless a
 * class of a higher rank waits, its floor is then its whole fair share: a day on which half of a class is not served counts as
 * failed, however well the others fare. With a floor of 0.6 of the fair share, and 0.3 of the machines for all the work,
 * gangs of whole machines completed 0.47 of their jobs, and the other classes 0.98 and 0.93.
 */
const UNDERSERVED_BELOW = 0.55;
const SERVED_AGAIN_FROM = 0.7;
/** A job is overdue after this many of its start objectives, but not before the minimum. */
const OVERDUE_OBJECTIVES = 2;
const MIN_OVERDUE_S = 60;
/** With fewer overdue jobs the fraction is not computed, and the class is not underserved. */
const MIN_COUNTED_JOBS = 5;

interface JobCount {
  due: number;
  started: number;
}

/** Counts how many of each class's overdue jobs have started, and marks underserved classes. */
export class StartedJobsCount {
  /** `startObjectivesS`: seconds within which a class's tasks should start. */
  constructor(private readonly startObjectivesS: ReadonlyMap<string, number>) {}

  /** Sets `underserved` on all groups. */
  markUnderserved(
    groups: ReadonlyMap<FairShareGroupKey, FairShareGroup>,
    cluster: FairShareClusterState,
    now: SteadyMs,
  ): void {
    const counts = this.countJobs(cluster, now);
    for (const group of groups.values()) {
      const count = counts.get(group.key);
      const startedFraction = count && count.due >= MIN_COUNTED_JOBS ? count.started / count.due : 1;
      group.underserved = startedFraction < (group.underserved ? SERVED_AGAIN_FROM : UNDERSERVED_BELOW);
    }
  }

  private countJobs(cluster: FairShareClusterState, now: SteadyMs): ReadonlyMap<FairShareGroupKey, JobCount> {
    const counts = new Map<FairShareGroupKey, JobCount>();
    for (const { spec, acceptedAt, cancelledAt, hasStarted } of cluster.jobs.values()) {
      if (cancelledAt !== undefined || spec.priority === 'production') continue;
      if ((now - acceptedAt) / 1000 < this.overdueAfterS(spec.class)) continue;
      const key = classGroup(spec);
      const count = counts.get(key) ?? { due: 0, started: 0 };
      counts.set(key, count);
      count.due++;
      if (hasStarted) count.started++;
    }
    for (const [key, done] of cluster.completedJobs) {
      const count = counts.get(key);
      if (!count) continue;
      count.due += done;
      count.started += done;
    }
    return counts;
  }

  private overdueAfterS(className: string): number {
    return Math.max(MIN_OVERDUE_S, OVERDUE_OBJECTIVES * (this.startObjectivesS.get(className) ?? 0));
  }
}
