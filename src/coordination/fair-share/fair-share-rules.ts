import type { SteadyMs } from '../../transport/clock.js';
import type { MachineId, ZoneName } from '../../protocol/ids.js';
import type { Job } from '../../cluster/cluster-state.js';
import type { FairShareGroupKey } from '../../cluster/fair-share-groups.js';

/**
 * What a scheduling cycle needs to know about fair shares and reservations. This module contains only types, so that the
 * scheduling snapshot and the policy that implements them do not depend on each other.
 */

/** How urgent a job is by its group's share: 2 starving, 1 below its floor, 0 neither (queue order decides). */
export type ShareUrgency = 0 | 1 | 2;

/** What a group lacks to reach its floor, in GPUs, or in thousands of processors where there are no GPUs. */
export interface ShareDeficit {
  readonly group: FairShareGroupKey;
  readonly gpus: number;
}

/** How much of a class may be preempted, as fractions of all machines. */
export interface PreemptibleShare {
  /** The share of the class beyond its floor. */
  readonly surplus: number;
  /** The share that stopping one task of the job releases; for a gang, that of all its tasks. */
  readonly taskShare: number;
}

/** A machine reserved for a job. Tasks that are expected to finish before `expectedUntil` may use it. */
export interface ReservedMachine {
  readonly job: Job;
  readonly expectedUntil: SteadyMs;
}

/** The rules that scheduling cycles follow. */
export interface FairShareRules {
  /** The urgency of the job's class or team, whichever is more urgent. */
  urgencyOf(job: Job): ShareUrgency;
  /** The deficit of the job's class or team. */
  deficitOf(job: Job): ShareDeficit;
  /** How much of the job's class may be preempted. */
  preemptibleShareOf(job: Job): PreemptibleShare;
  /** The reservation on a machine, if there is one. */
  reservationOn(machine: MachineId): ReservedMachine | undefined;
  /** The zone in which machines are reserved for the job. */
  reservedZoneOf(job: Job): ZoneName | undefined;
}
