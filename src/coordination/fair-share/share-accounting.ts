import type { SteadyMs } from '../../transport/clock.js';
import type { MachineType } from '../../protocol/cloud.js';
import type { TypeName } from '../../protocol/ids.js';
import { priorityRank } from '../../protocol/jobs.js';
import type { ResourceUsage } from '../../cluster/entities.js';
import { classGroup, teamGroup, type FairShareGroupKey } from '../../cluster/fair-share-groups.js';
import { waitingTaskCount, type Job } from '../../cluster/cluster-state.js';
import type { FairShareClusterState } from '../leader/cluster-state-views.js';
import type { PreemptibleShare, ShareDeficit, ShareUrgency } from './fair-share-rules.js';
import { maxMinFairShares } from './max-min-fair-shares.js';
import { StartedJobsCount } from './started-jobs-count.js';
import { DEFAULT_PATIENCE_S } from '../scheduling/objectives.js';

/** Time constant of a group's exponentially weighted average share; its half-life is 0.7 of this. */
const SHARE_WINDOW_S = 60;
/** Floors as fractions of the fair share: of classes of the highest waiting rank, and of classes of a lower rank. */
const TOP_RANK_FLOOR_FACTOR = 0.6;
const LOWER_RANK_FLOOR_FACTOR = 0.3;
/** A group below this fraction of its fair share, after this wait, goes before other groups' guarantees. */
const STARVING_FACTOR = 0.15;
const STARVING_WAIT_S = 2 * SHARE_WINDOW_S;
/** When demand exceeds the available machines by this factor, groups may claim their floor without having waited first. */
const SHORTAGE_FACTOR = 1.5;
/** A group below its floor stays so until it exceeds it by this factor, so that work is not started and stopped in turn. */
const FLOOR_HYSTERESIS_FACTOR = 1.25;

/** Shares of one class or team: fractions of all machines that are up, by the scarcer of GPUs and processors. */
export interface FairShareGroup {
  readonly key: FairShareGroupKey;
  /** Highest rank of its waiting jobs: 0 is the highest rank, Infinity if no job waits. */
  rank: number;
  /** Moving average, with a time constant of `SHARE_WINDOW_S`. */
  averageShare: number;
  currentShare: number;
  /** Share of its placed and waiting tasks together. */
  demand: number;
  /** Its max-min fair share. */
  fairShare: number;
  /** Below this share its work goes first. */
  shareFloor: number;
  oldestWaitS: number;
  belowFloorSince: SteadyMs | undefined;
  starvingSince: SteadyMs | undefined;
  /** For a class: too few of its jobs that are long past their start objective have started. */
  underserved: boolean;
}

/** The waiting tasks of a group. */
interface WaitingWork {
  readonly usage: ResourceUsage;
  rank: number;
  oldestWaitS: number;
  /** Whether any of its jobs has waited longer than its start objective. */
  isStartOverdue: boolean;
}

/** The fraction of all machines that the usage takes, by the scarcer of GPUs and processors. */
export const dominantShare = (usage: ResourceUsage, total: ResourceUsage): number =>
  Math.max(total.gpus > 0 ? usage.gpus / total.gpus : 0, total.cpus > 0 ? usage.cpus / total.cpus : 0);

/**
 * Measures the share of the machines that each class and team uses, and decides which groups with waiting work are below
 * their floor or starving. Production work counts for no group, because it is served first anyway. This class reads
 * the cluster state and never writes it.
 */
export class ShareAccounting {
  readonly groups = new Map<FairShareGroupKey, FairShareGroup>();
  private readonly startedJobs: StartedJobsCount;
  private updatedAt: SteadyMs | undefined;
  private total: ResourceUsage = { cpus: 0, gpus: 0 };

  /** `startObjectivesS`: seconds within which a class's tasks should start. Unless machines are short, groups claim nothing before. */
  constructor(private readonly startObjectivesS: ReadonlyMap<string, number>) {
    this.startedJobs = new StartedJobsCount(startObjectivesS);
  }

  /** Updates the shares and states of all groups. */
  update(cluster: FairShareClusterState, types: ReadonlyMap<TypeName, MachineType>, now: SteadyMs): void {
    const previousWeight =
      this.updatedAt === undefined ? 0 : Math.exp(-(now - this.updatedAt) / 1000 / SHARE_WINDOW_S);
    this.updatedAt = now;
    this.total = totalResources(cluster, types);
    const waiting = this.waitingWork(cluster, now);
    this.startedJobs.markUnderserved(this.groups, cluster, now);
    for (const [key, usage] of cluster.groupUsage)
      this.updateShare(key, dominantShare(usage, this.total), previousWeight);
    const available = 1 - this.productionShare(cluster);
    for (const kind of ['class', 'team']) {
      const groups = [...this.groups.values()].filter(({ key }) => key.startsWith(kind));
      this.updateGroupStates(groups, waiting, available, now);
    }
  }

  /** Whether the job's class is underserved: too few of its jobs that are long past their start objective have started. */
  isUnderserved(job: Job): boolean {
    return this.groups.get(classGroup(job.spec))?.underserved ?? false;
  }

  /**
   * How much of the job's class may be preempted for work that is not production work. A class keeps its
   * lower-rank floor, with hysteresis; otherwise its work would be started and stopped in turn.
   */
  preemptibleShareOf({ spec }: Job): PreemptibleShare {
    const group = this.groups.get(classGroup(spec));
    return {
      surplus: group
        ? group.currentShare - FLOOR_HYSTERESIS_FACTOR * LOWER_RANK_FLOOR_FACTOR * group.fairShare
        : Infinity,
      taskShare: dominantShare(spec, this.total) * (spec.kind === 'gang' ? spec.tasks : 1),
    };
  }

  /** The deficit of the group that makes the job urgent: what it lacks to be no longer below its floor, or starving. */
  deficitOf(job: Job): ShareDeficit {
    const ofClass = this.groups.get(classGroup(job.spec));
    const ofTeam = this.groups.get(teamGroup(job.spec));
    const isTeamDeficit = ofTeam?.starvingSince !== undefined && ofClass?.belowFloorSince === undefined;
    const group = isTeamDeficit ? ofTeam : ofClass;
    if (!group) return { group: classGroup(job.spec), gpus: 0 };
    const due = group.belowFloorSince !== undefined ? group.shareFloor : STARVING_FACTOR * group.fairShare;
    const missing = Math.max(0, FLOOR_HYSTERESIS_FACTOR * due - group.currentShare);
    const { gpus, cpus } = this.total;
    return { group: group.key, gpus: missing * (gpus > 0 ? gpus : cpus / 1000) };
  }

  /** The urgency of the job's class or team, whichever is more urgent. */
  urgencyOf(job: Job): ShareUrgency {
    const ofClass = this.groups.get(classGroup(job.spec));
    const ofTeam = this.groups.get(teamGroup(job.spec));
    if (ofClass?.starvingSince !== undefined || ofTeam?.starvingSince !== undefined) return 2;
    return ofClass?.belowFloorSince !== undefined ? 1 : 0;
  }

  private productionShare(cluster: FairShareClusterState): number {
    let share = 0;
    for (const { spec, placements } of cluster.jobs.values()) {
      if (spec.priority === 'production') share += placements.size * dominantShare(spec, this.total);
    }
    return share;
  }

  private updateShare(key: FairShareGroupKey, share: number, previousWeight: number): void {
    const group = this.groups.get(key);
    if (!group) {
      this.groups.set(key, newGroup(key, share));
      return;
    }
    group.currentShare = share;
    group.averageShare = previousWeight * group.averageShare + (1 - previousWeight) * share;
  }

  private waitingWork(cluster: FairShareClusterState, now: SteadyMs): Map<FairShareGroupKey, WaitingWork> {
    const byGroup = new Map<FairShareGroupKey, WaitingWork>();
    for (const job of cluster.jobs.values()) {
      if (job.cancelledAt !== undefined || job.spec.priority === 'production') continue;
      const tasks = job.retryAt > now ? 0 : waitingTaskCount(job);
      if (tasks <= 0) continue;
      for (const key of [classGroup(job.spec), teamGroup(job.spec)]) {
        const work = byGroup.get(key) ?? newWaitingWork();
        this.addWaiting(work, job, tasks, now);
        byGroup.set(key, work);
        if (!this.groups.has(key)) this.updateShare(key, 0, 0);
      }
    }
    return byGroup;
  }

  private addWaiting(work: WaitingWork, { spec, acceptedAt }: Job, tasks: number, now: SteadyMs): void {
    const waitS = (now - acceptedAt) / 1000;
    work.usage.cpus += tasks * spec.cpus;
    work.usage.gpus += tasks * spec.gpus;
    work.rank = Math.min(work.rank, priorityRank(spec.priority));
    work.oldestWaitS = Math.max(work.oldestWaitS, waitS);
    work.isStartOverdue ||= waitS > (this.startObjectivesS.get(spec.class) ?? DEFAULT_PATIENCE_S);
  }

  /** Updates all classes, or all teams; the groups given share the available fraction of the machines among themselves. */
  private updateGroupStates(
    groups: readonly FairShareGroup[],
    waiting: ReadonlyMap<FairShareGroupKey, WaitingWork>,
    available: number,
    now: SteadyMs,
  ): void {
    for (const group of groups) {
      const work = waiting.get(group.key);
      group.demand = group.currentShare + (work ? dominantShare(work.usage, this.total) : 0);
      group.rank = work?.rank ?? Infinity;
      group.oldestWaitS = work?.oldestWaitS ?? 0;
    }
    const demands = groups.map(({ demand }) => demand);
    const fairShares = maxMinFairShares(demands, available);
    const bestRank = Math.min(...groups.map(({ rank }) => rank));
    // When machines are short, groups may claim their floor without waiting first. Otherwise the work that fills an empty
    // cluster first keeps it: small tasks fragment whole machines within seconds, and no machine is empty again for minutes.
    const isShort = demands.reduce((sum, demand) => sum + demand, 0) > SHORTAGE_FACTOR * available;
    groups.forEach((group, i) => {
      const mayClaimFloor = isShort || (waiting.get(group.key)?.isStartOverdue ?? false);
      group.fairShare = fairShares[i]!;
      updateGroupState(group, { isOutranked: group.rank > bestRank, mayClaimFloor, now });
    });
  }
}

interface GroupConditions {
  /** A group of a higher rank has waiting work, too. */
  readonly isOutranked: boolean;
  /** Machines are short, or the group has waited longer than its start objective. */
  readonly mayClaimFloor: boolean;
  readonly now: SteadyMs;
}

function updateGroupState(group: FairShareGroup, { isOutranked, mayClaimFloor, now }: GroupConditions): void {
  // Freeing whole machines for a lower-ranked group would cost the higher-ranked groups more than their share.
  if (isOutranked) group.underserved = false;
  // Teams have guarantees; beyond these they are only kept from starving.
  group.shareFloor = group.key.startsWith('class') ? floorFactor(group, isOutranked) * group.fairShare : 0;
  const isWaiting = mayClaimFloor && group.rank !== Infinity;
  // The larger of both: tasks placed just now count at once; otherwise the group would get more than it can keep.
  const share = Math.max(group.averageShare, group.currentShare);
  const floor =
    group.belowFloorSince === undefined ? group.shareFloor : group.shareFloor * FLOOR_HYSTERESIS_FACTOR;
  const isBelowFloor = isWaiting && share < Math.min(floor, group.demand);
  group.belowFloorSince = isBelowFloor ? (group.belowFloorSince ?? now) : undefined;
  const starvingBelow =
    STARVING_FACTOR * group.fairShare * (group.starvingSince === undefined ? 1 : FLOOR_HYSTERESIS_FACTOR);
  const isStarving = isWaiting && group.oldestWaitS > STARVING_WAIT_S && share < starvingBelow;
  group.starvingSince = isStarving ? (group.starvingSince ?? now) : undefined;
}

function floorFactor({ underserved }: FairShareGroup, isOutranked: boolean): number {
  if (isOutranked) return LOWER_RANK_FLOOR_FACTOR;
  return underserved ? 1 : TOP_RANK_FLOOR_FACTOR;
}

function totalResources(
  cluster: FairShareClusterState,
  types: ReadonlyMap<TypeName, MachineType>,
): ResourceUsage {
  const total: ResourceUsage = { cpus: 0, gpus: 0 };
  for (const machine of cluster.machines.values()) {
    const type = machine.state === 'up' ? types.get(machine.type) : undefined;
    if (!type) continue;
    total.cpus += type.cpus;
    total.gpus += type.gpus;
  }
  return total;
}

const newWaitingWork = (): WaitingWork => ({
  usage: { cpus: 0, gpus: 0 },
  rank: Infinity,
  oldestWaitS: 0,
  isStartOverdue: false,
});

const newGroup = (key: FairShareGroupKey, share: number): FairShareGroup => ({
  key,
  rank: Infinity,
  averageShare: share,
  currentShare: share,
  demand: share,
  fairShare: 0,
  shareFloor: 0,
  oldestWaitS: 0,
  belowFloorSince: undefined,
  starvingSince: undefined,
  underserved: false,
});
