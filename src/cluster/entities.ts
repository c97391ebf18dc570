/**
 * The entities of the cluster state: jobs, machines, placements and plans, as the leader knows them. They are changed in place.
 * `ClusterState` keeps the indexes over them, so fields that an index depends on are changed only by its methods.
 */
import type { SteadyMs } from '../transport/clock.js';
import type {
  Address,
  Attempt,
  ImageName,
  JobId,
  MachineId,
  ModRevision,
  PlanId,
  HeartbeatSequence,
  AgentEpoch,
  StoreKey,
  TaskIndex,
  Term,
  TypeName,
  ZoneName,
} from '../protocol/ids.js';
import type { JobSpec } from '../protocol/jobs.js';
import type { Cause, TaskState } from '../protocol/wire.js';
import type { ReportedTask } from '../protocol/heartbeats.js';
import type { CompletedTaskSet, JobRecord } from '../storage/records.js';

/** One attempt of a task on a machine, from the commit of its plan until its completion is persisted. */
export interface Placement {
  readonly job: Job;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly machine: Machine;
  /** Epoch of the machine's agent that the attempt was planned for; no other epoch runs it. */
  readonly agentEpoch: AgentEpoch;
  readonly plan: PlanId;
  /** When this leader added the placement to the cluster state. */
  readonly addedAt: SteadyMs;
  /** Sequence number of the heartbeat whose answer carried the start. */
  startSentWith: HeartbeatSequence | undefined;
  /**
   * State of a start that was sent to the agent's own address: `inFlight` until it is answered, `inDoubt` if it never was.
   * An in-doubt start may be executed minutes later, so the task's absence proves nothing until the agent obeys a higher token.
   */
  startDelivery: 'inFlight' | 'inDoubt' | undefined;
  /** Fencing token under which the start was sent: an agent that obeys a higher one drops the start. */
  startToken: Term | undefined;
  /** Whether a heartbeat of the placement's epoch has reported the task. */
  confirmed: boolean;
  /** State of the task in the newest heartbeat. */
  state: TaskState | undefined;
  /** When the agent first reported the task. */
  reportedSince: SteadyMs | undefined;
  /** When the agent first reported the task with its image present. */
  imageReadySince: SteadyMs | undefined;
  runningSince: SteadyMs | undefined;
  /** Whether the task was stopped with its progress saved. */
  progressSaved: boolean;
  /** The request to stop it, and whether that was sent to the agent. */
  stop: { graceS: number; readonly reason: string; readonly at: SteadyMs; sent: boolean } | undefined;
  /** Set once the task is proven to have left the machine; its completion then waits to be persisted. */
  ended: { readonly outcome: 'done' | Cause | 'gone' | 'unsent'; readonly at: SteadyMs } | undefined;
}

/** A live job. */
export interface Job {
  readonly id: JobId;
  readonly spec: JobSpec;
  /** Its record as last written or read, with the generation that scheduling cycles have claimed since. */
  record: JobRecord;
  /** Mod revision of the record, for the conditions of transactions. */
  modRevision: ModRevision;
  /** The transaction that names the job and has no answer yet: a plan with its tasks, or its completion (`job-writes.ts`). */
  unansweredWrite: 'plan' | 'completion' | undefined;
  /** Revision of its record that the store refused as a condition. */
  refusedRevision: ModRevision | undefined;
  readonly done: CompletedTaskSet;
  readonly placements: Map<TaskIndex, Placement>;
  /** No waiting task has a lower index. */
  waitingCursor: number;
  readonly acceptedAt: SteadyMs;
  cancelledAt: SteadyMs | undefined;
  /** Consecutive failures, for the backoff; all failures during one retry delay count once. */
  backoffFailures: number;
  /** Machines on which its tasks failed since one of its tasks last completed. */
  readonly failedOn: Set<MachineId>;
  /** Failures since one of its tasks last completed, each counted. */
  failuresSinceCompletion: number;
  /** The longest that one of its tasks ran before it failed, in ms. */
  longestFailedRunMs: number;
  /** Whether it was found to fail everywhere, so that its failures no longer count against machines. */
  machinesExonerated: boolean;
  /** All failures that this leader has seen. */
  totalFailures: number;
  /** Whether it is in backoff: its tasks are not placed, and it claims nothing of its team's guarantee. */
  backedOff: boolean;
  /** None of its tasks is placed before this time. */
  retryAt: SteadyMs;
  /** Machines that refused or failed one of its tasks, or that it is moved away from, and until when it avoids them. */
  readonly avoidedUntil: Map<MachineId, SteadyMs>;
  /** Completion chunks of the job in the store, and their mod revisions. */
  readonly completionChunks: Map<number, ModRevision>;
  /** Completion batches in the store that name tasks of the job. */
  readonly completionBatches: Set<StoreKey>;
  hasStarted: boolean;
}

/** A task that runs on a machine and that no live plan put there. */
export interface OrphanTask {
  readonly job: JobId;
  readonly index: TaskIndex;
}

/** A machine, and what its agent last reported. */
export interface Machine {
  readonly id: MachineId;
  /** Address at which its agent takes commands. */
  address: Address | undefined;
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  state: 'booting' | 'up' | 'returning' | 'gone';
  /** Epoch of its agent; a higher epoch proves that all tasks of lower epochs are gone. */
  agentEpoch: AgentEpoch;
  /** Sequence number of its newest heartbeat within the epoch. */
  heartbeatSequence: HeartbeatSequence;
  /** Whether its newest heartbeat carried this term's token: no command of an older leader can still be executed. */
  fenced: boolean;
  fencedAt: SteadyMs;
  /** Whether it was provisioned under this term: no older leader can have sent it anything. */
  rentedThisTerm: boolean;
  lastHeartbeat: SteadyMs | undefined;
  readonly firstKnownAt: SteadyMs;
  /** Time since which heartbeats are expected from it. */
  heartbeatsExpectedSince: SteadyMs;
  readonly rentedAt: SteadyMs;
  /** Whether it has appeared in the provider's list. */
  inProviderList: boolean;
  /** When the provider is to interrupt it, according to the termination notice. */
  interruptionAt: SteadyMs | undefined;
  /** It is given no work before this time, because tasks failed on it. */
  quarantinedUntil: SteadyMs;
  /** Jobs of which a task failed here since any task last completed here, except jobs that fail everywhere. */
  readonly failedJobs: Set<JobId>;
  idleSince: SteadyMs;
  readonly placements: Set<Placement>;
  /** Resources and number of its live placements. Changed by `ClusterState` alone. */
  readonly usage: { cpus: number; gpus: number; memoryGb: number; tasks: number; services: number };
  /** Tasks in its newest heartbeat that no live plan put there and that have not exited. */
  orphanTasks: readonly OrphanTask[];
  /** Plans being committed that put tasks here; the machine must not be returned as idle meanwhile. */
  pendingCommits: number;
  /** Images seen in use here, the least recently used first, with their sizes in GB. */
  readonly cachedImages: Map<ImageName, number>;
  /**
   * Tasks of a heartbeat that agreed with the cluster state and required no action. The same tasks in a later heartbeat require
   * none either, until the cluster state of this machine changes. Changed by `ClusterState` and by reconciliation.
   */
  reconciledTasks: readonly ReportedTask[] | undefined;
  /** Fencing token of the newest reconciled heartbeat. */
  reconciledToken: Term | undefined;
  /** Exited attempts in that heartbeat that the agent must not forget before it obeys a higher token. Changed by `ClusterState`. */
  retainedExits: number;
  /** When its agent was last probed. */
  probedAt: SteadyMs | undefined;
  /** A command in an answer to a heartbeat that no heartbeat has confirmed yet. */
  unconfirmedCommand: UnconfirmedCommand | undefined;
  /** Since when it is suspected not to receive: its heartbeats arrive, but show no effect of what is sent to it. */
  suspectedSince: SteadyMs | undefined;
}

/** The first command of the answers sent since the agent last proved that it receives them. */
export interface UnconfirmedCommand {
  readonly at: SteadyMs;
  readonly token: Term;
  /** The task to start or forget; undefined where the answer carried only the token. */
  readonly task:
    | {
        readonly op: 'start' | 'forget';
        readonly job: JobId;
        readonly index: TaskIndex;
        readonly attempt: Attempt;
      }
    | undefined;
}

/** A plan in the store with tasks that are not over. */
export interface PlanState {
  readonly id: PlanId;
  /** Its tasks whose completion is not persisted yet. */
  openTasks: number;
  /** Completion batches that say which of its tasks went back to waiting. */
  readonly completionBatches: Set<StoreKey>;
}

/** An amount of shared resources; fractions of CPUs are allowed. */
export interface ResourceUsage {
  cpus: number;
  gpus: number;
}
