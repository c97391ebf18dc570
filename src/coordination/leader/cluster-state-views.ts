import type { ClusterState } from '../../cluster/cluster-state.js';

/**
 * The parts of the cluster state that each component may read and write. A loop that needs more is extended here, so that one file shows
 * who changes what: placements are created by scheduling cycles or by a failover, end with the agents' heartbeats, and are removed when
 * their completion is committed.
 */

/** Reads jobs, machines and usage; places tasks, requests stops, and records what a scheduling cycle leaves to be removed. */
export type SchedulingClusterState = Pick<
  ClusterState,
  | 'jobs'
  | 'machines'
  | 'teamUsage'
  | 'groupUsage'
  | 'completedJobs'
  | 'machinesWithOrphans'
  | 'machinesWithImage'
  | 'plans'
  | 'garbage'
  | 'pendingStatus'
  | 'addPlacement'
  | 'requestStop'
  | 'endPlacement'
>;

/** Applies what agents' heartbeats say of machines and tasks; places nothing. */
export type AgentClusterState = Pick<
  ClusterState,
  | 'jobs'
  | 'machines'
  | 'pendingStops'
  | 'initialToken'
  | 'addMachine'
  | 'isFromRemovedMachine'
  | 'interruptedMachines'
  | 'setOrphanTasks'
  | 'setRetainedExits'
  | 'reconciledTaskCount'
  | 'recordImage'
  | 'imagesChanged'
  | 'markInDoubt'
  | 'resolveInDoubt'
  | 'jobsWithUncountedFailures'
  | 'endPlacement'
>;

/** Stores completions, and removes records that nothing needs any more. */
export type CompletionClusterState = Pick<
  ClusterState,
  | 'jobs'
  | 'machines'
  | 'plans'
  | 'garbage'
  | 'pendingCompletions'
  | 'referenceBatchFromJob'
  | 'referenceBatchFromPlan'
  | 'unreferenceBatch'
  | 'recordEndedJob'
  | 'completePlacement'
  | 'removeJob'
  | 'removePlan'
  | 'imagesChanged'
> &
  PipelinesClusterState;

/** Creates the jobs of pipeline steps in the transaction that commits another job's completion. */
export type PipelinesClusterState = Pick<
  ClusterState,
  'jobs' | 'garbage' | 'jobsWithUncountedFailures' | 'addJob'
>;

/** Adds and removes machines, ends the tasks of a removed machine, and requests stops of tasks that are to leave a machine. */
export type FleetClusterState = Pick<
  ClusterState,
  | 'jobs'
  | 'machines'
  | 'pendingStops'
  | 'addMachine'
  | 'removeMachine'
  | 'rememberedImages'
  | 'cardSeconds'
  | 'interruptedMachines'
  | 'machinesWithOrphans'
  | 'requestStop'
  | 'endPlacement'
>;

/** Reads jobs, machines and the usage of classes and teams for fair sharing; changes nothing. */
export type FairShareClusterState = Pick<ClusterState, 'jobs' | 'machines' | 'groupUsage' | 'completedJobs'>;

/** Reads what operators are shown; changes nothing. */
export type ExplainClusterState = Pick<
  ClusterState,
  'jobs' | 'machines' | 'teamUsage' | 'machinesWithOrphans' | 'endedJobs'
>;
