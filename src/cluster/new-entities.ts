/** Initial values of the entities of the cluster state. */
import type {
  AgentEpoch,
  HeartbeatSequence,
  MachineId,
  ModRevision,
  TypeName,
  ZoneName,
} from '../protocol/ids.js';
import { CompletedTaskSet, type JobRecord } from '../storage/records.js';
import type { SteadyMs } from '../transport/clock.js';
import type { Job, Machine, Placement } from './entities.js';

/** A time before all others, for what has not happened. */
const NEVER = 0 as SteadyMs;

/** What is known of a job when it is first seen. */
export interface NewJob {
  readonly record: JobRecord;
  readonly modRevision: ModRevision;
  readonly acceptedAt: SteadyMs;
  readonly cancelledAt: SteadyMs | undefined;
}

/** Returns a job that has no placements yet. */
export function newJob({ record, modRevision, acceptedAt, cancelledAt }: NewJob): Job {
  return {
    id: record.spec.id,
    spec: record.spec,
    record,
    modRevision,
    unansweredWrite: undefined,
    refusedRevision: undefined,
    done: new CompletedTaskSet(record.spec.tasks),
    placements: new Map(),
    waitingCursor: 0,
    acceptedAt,
    cancelledAt,
    backoffFailures: 0,
    failedOn: new Set(),
    failuresSinceCompletion: 0,
    longestFailedRunMs: 0,
    machinesExonerated: false,
    totalFailures: 0,
    backedOff: false,
    retryAt: NEVER,
    avoidedUntil: new Map(),
    completionChunks: new Map(),
    completionBatches: new Set(),
    hasStarted: record.attempt > 0 || record.state === 'running',
  };
}

/** What is known of a machine when it is first seen. */
export interface NewMachine {
  readonly id: MachineId;
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly now: SteadyMs;
  readonly rentedAt: SteadyMs;
}

/** Returns a booting machine whose agent has not sent a heartbeat. */
export function newMachine({ id, type, zone, spot, now, rentedAt }: NewMachine): Machine {
  return {
    id,
    address: undefined,
    type,
    zone,
    spot,
    state: 'booting',
    agentEpoch: 0n as AgentEpoch,
    heartbeatSequence: 0n as HeartbeatSequence,
    fenced: false,
    fencedAt: NEVER,
    rentedThisTerm: false,
    lastHeartbeat: undefined,
    firstKnownAt: now,
    heartbeatsExpectedSince: now,
    rentedAt,
    inProviderList: false,
    interruptionAt: undefined,
    quarantinedUntil: NEVER,
    failedJobs: new Set(),
    idleSince: now,
    placements: new Set(),
    usage: { cpus: 0, gpus: 0, memoryGb: 0, tasks: 0, services: 0 },
    orphanTasks: [],
    pendingCommits: 0,
    cachedImages: new Map(),
    reconciledTasks: undefined,
    reconciledToken: undefined,
    retainedExits: 0,
    probedAt: undefined,
    unconfirmedCommand: undefined,
    suspectedSince: undefined,
  };
}

/** The fields of a placement that its plan determines, and when it is added. */
export type NewPlacement = Pick<
  Placement,
  'job' | 'index' | 'attempt' | 'machine' | 'agentEpoch' | 'plan' | 'addedAt'
>;

/** Returns a placement whose start has not been sent. */
export function newPlacement({
  job,
  index,
  attempt,
  machine,
  agentEpoch,
  plan,
  addedAt,
}: NewPlacement): Placement {
  return {
    job,
    index,
    attempt,
    machine,
    agentEpoch,
    plan,
    addedAt,
    startSentWith: undefined,
    startDelivery: undefined,
    startToken: undefined,
    confirmed: false,
    state: undefined,
    reportedSince: undefined,
    imageReadySince: undefined,
    runningSince: undefined,
    progressSaved: false,
    stop: undefined,
    ended: undefined,
  };
}
