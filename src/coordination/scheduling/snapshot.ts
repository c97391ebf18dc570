import type { SteadyMs } from '../../transport/clock.js';
import type { MachineType } from '../../protocol/cloud.js';
import type { JobId, MachineId, TaskIndex, TeamName, TypeName, ZoneName } from '../../protocol/ids.js';
import type { TeamLimits } from '../../protocol/settings.js';
import type { RuntimeEstimates } from '../../cluster/runtime-estimates.js';
import type { ClusterState, Job, Machine, Placement } from '../../cluster/cluster-state.js';
import type { FairShareRules } from '../fair-share/fair-share-rules.js';
import type { SchedulingObjectives } from './objectives.js';

/**
 * What one scheduling cycle reads and what it returns. The types stand below scheduling, elastic jobs and
 * fair share alike, so that none of the three depends on another; this module contains no behaviour.
 */

/** The input of one cycle. The planner only reads it, and the same snapshot gives the same plan. */
export interface SchedulingSnapshot {
  readonly now: SteadyMs;
  readonly cluster: PlannerClusterState;
  readonly machineTypes: ReadonlyMap<TypeName, MachineType>;
  readonly teamLimits: ReadonlyMap<TeamName, TeamLimits>;
  /** Machines whose last heartbeat is older than this get no new tasks. */
  readonly staleMs: number;
  /**
   * Milliseconds since the given time in which this process was able to receive heartbeats: its own stalls
   * do not count against the machines.
   */
  readonly silentMs: (since: SteadyMs) => number;
  /** The most tasks one plan may start. */
  readonly maxTasks: number;
  /** The most jobs one plan may touch: each is a condition of its transaction. */
  readonly maxJobs: number;
  /** How long a job waits before running work is preempted for it. */
  readonly preemptAfterMs: number;
  readonly estimates: RuntimeEstimates;
  readonly objectives: SchedulingObjectives;
  /** Jobs within their team's guarantee; computed by the planner where the caller leaves it out. */
  readonly withinGuarantee?: ReadonlySet<JobId>;
  /** How wide elastic jobs may be, and what they borrow; left out where elastic jobs are switched off. */
  readonly elastic?: ElasticPlacementRules | undefined;
  /**
   * Which jobs precede others where machines are short, and which machines are reserved; left out where fair share
   * is switched off.
   */
  readonly fairShare?: FairShareRules | undefined;
  /** Whether a machine's free capacity may be withheld for a gang now; always, where this is left out. */
  readonly mayReserve?: (machine: MachineId) => boolean;
  /** Unresponsive zones, from which no heartbeats arrive: no new tasks are placed there. */
  readonly unresponsiveZones?: ReadonlySet<ZoneName>;
}

/** The part of the cluster state that planning reads; it writes none of it. */
export type PlannerClusterState = Pick<
  ClusterState,
  'jobs' | 'machines' | 'teamUsage' | 'machinesWithOrphans' | 'machinesWithImage'
>;

/** What a cycle needs to know of elastic jobs. Implemented by `elastic/`. */
export interface ElasticPlacementRules {
  /** How many more tasks the job may start; undefined for jobs that are not elastic. */
  growthAllowance(job: Job): number | undefined;
  /**
   * How many of the job's tasks are borrowed: they may be reclaimed for any job that needs the capacity, whatever its
   * priority.
   */
  borrowedTasks(job: Job): number;
  /** Whether the machine is about to be returned and takes no more elastic work. */
  isClosedToElastic(machine: MachineId): boolean;
}

/** One task and the machine that was selected for it. */
export interface PlannedTask {
  readonly job: Job;
  readonly index: TaskIndex;
  readonly machine: Machine;
}

/** Why tasks were left waiting. Operators see these words at `/ops/overview`. */
export type PendingReason =
  'team limit' | 'no room' | 'backing off' | 'old attempt not gone' | 'round full' | 'no idle room';

/** Tasks of one job that a cycle left waiting for the same reason. */
export interface UnplacedTasks {
  readonly job: Job;
  readonly count: number;
  readonly reason: PendingReason;
}

/** A running task to preempt for a waiting job. */
export interface PlannedPreemption {
  readonly placement: Placement;
  readonly graceS: number;
  readonly forJob: JobId;
}

/** The output of one cycle. */
export interface CyclePlan {
  readonly tasks: readonly PlannedTask[];
  readonly preemptions: readonly PlannedPreemption[];
  readonly unplaced: readonly UnplacedTasks[];
  /**
   * Machines whose free capacity was withheld for gangs that do not find enough, or do not have all of theirs
   * yet.
   */
  readonly reservedMachines: readonly MachineId[];
  /**
   * How often a machine was searched for tasks to preempt: most of what a cycle costs when all machines are
   * full.
   */
  readonly preemptionSearches: number;
}
