import type { SteadyMs } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { MachineType } from '../../protocol/cloud.js';
import type { JobId, MachineId, TypeName, ZoneName } from '../../protocol/ids.js';
import type { OperatorSettings } from '../../protocol/operator-settings.js';
import type { RuntimeEstimates } from '../../cluster/runtime-estimates.js';
import type { Job, Machine } from '../../cluster/cluster-state.js';
import type { FairShareClusterState } from '../leader/cluster-state-views.js';
import { type UnplacedTasks } from '../scheduling/snapshot.js';
import { BackfillReservations, type Reservation, type ReservationEvent } from './backfill-reservations.js';
import { explainFairShare } from './explanation.js';
import type {
  FairShareRules,
  PreemptibleShare,
  ReservedMachine,
  ShareDeficit,
  ShareUrgency,
} from './fair-share-rules.js';
import { ShareAccounting, type FairShareGroup } from './share-accounting.js';
import { DEFAULT_PATIENCE_S } from '../scheduling/objectives.js';

/** Intervals at which shares are measured and reservations are updated. */
const SHARE_INTERVAL_MS = 500;
const RESERVATION_INTERVAL_MS = 1000;
/** A job whose group is not below its floor may get a reservation once it has waited for this many of its start objectives. */
const RESERVE_AFTER_OBJECTIVES = 1;
/** Concurrent reservations per class: by default, for jobs of a group below its floor, and of an underserved class. */
const MAX_RESERVATIONS = 1;
const MAX_RESERVATIONS_BELOW_FLOOR = 12;
const MAX_RESERVATIONS_UNDERSERVED = 24;
/** Lower bound of the share of all machines that may be reserved while a job of an underserved class is blocked. */
const MAX_RESERVED_SHARE_UNDERSERVED = 0.45;

/** Dependencies of the policy, fixed for its lifetime. */
export interface FairShareDependencies {
  readonly log: Log;
  readonly operator: Pick<OperatorSettings, 'maxReservedShare' | 'preferUnderserved'>;
  /** Start objective of each class in the settings: seconds within which its tasks should start. */
  readonly startObjectivesS: ReadonlyMap<string, number>;
}

/** Input of one update. */
export interface FairShareSnapshot {
  readonly now: SteadyMs;
  readonly cluster: FairShareClusterState;
  readonly types: ReadonlyMap<TypeName, MachineType>;
  readonly estimates: RuntimeEstimates;
  /** Whether the machine may take new tasks. */
  readonly usable: (machine: Machine) => boolean;
  /** Jobs within their team's guarantee. */
  readonly withinGuarantee: ReadonlySet<JobId>;
  /** Tasks that the last scheduling cycle did not place, in queue order. */
  readonly unplaced: readonly UnplacedTasks[];
}

/**
 * Decides which groups' work is placed first when machines are short. It determines the share that each fair-share group is
 * entitled to and the machines that are reserved for jobs. It never places or stops a task: scheduling cycles do, following
 * these rules.
 */
export class FairSharePolicy implements FairShareRules {
  private readonly shares: ShareAccounting;
  private readonly reservations = new BackfillReservations();
  private sharesUpdatedAt = -Infinity;
  private reservationsUpdatedAt = -Infinity;

  constructor(private readonly dependencies: FairShareDependencies) {
    this.shares = new ShareAccounting(dependencies.startObjectivesS);
  }

  /** Updates shares and reservations. Call it before each scheduling cycle; it does nothing until their intervals have passed. */
  update(snapshot: FairShareSnapshot): void {
    const { now } = snapshot;
    if (now - this.sharesUpdatedAt < SHARE_INTERVAL_MS) return;
    this.sharesUpdatedAt = now;
    this.updateShares(snapshot);
    const { maxReservedShare } = this.dependencies.operator;
    if (maxReservedShare <= 0 || now - this.reservationsUpdatedAt < RESERVATION_INTERVAL_MS) return;
    this.reservationsUpdatedAt = now;
    this.updateReservations(snapshot);
  }

  urgencyOf(job: Job): ShareUrgency {
    return this.hasFloors ? this.shares.urgencyOf(job) : 0;
  }

  deficitOf(job: Job): ShareDeficit {
    return this.shares.deficitOf(job);
  }

  preemptibleShareOf(job: Job): PreemptibleShare {
    return this.hasFloors ? this.shares.preemptibleShareOf(job) : { surplus: Infinity, taskShare: 0 };
  }

  reservationOn(machine: MachineId): ReservedMachine | undefined {
    return this.reservations.reservedMachines.get(machine);
  }

  reservedZoneOf(job: Job): ZoneName | undefined {
    return this.reservations.reservations.get(job.id)?.zone;
  }

  /** Explains why fair sharing keeps the job waiting, and since when: one sentence per line. */
  explain(job: Job, now: SteadyMs): string[] {
    return explainFairShare(job, this.shares, this.reservations, now);
  }

  /** Returns each group's shares, as fractions of all machines, and the reservations. Operators read the fields at `/ops`. */
  snapshot(): Record<string, unknown> {
    return {
      parties: [...this.shares.groups.values()]
        .filter((group) => group.demand > 0)
        .map((group) => ({
          party: group.key,
          share: roundShare(group.averageShare),
          fair: roundShare(group.fairShare),
          owed: roundShare(group.shareFloor),
          state: stateOf(group),
          oldestWaitS: Math.round(group.oldestWaitS),
        })),
      kept: [...this.reservations.reservations.values()].map(({ job, zone, machines }) => ({
        job: job.id,
        zone: zone ?? null,
        machines: machines.length,
      })),
    };
  }

  private get hasFloors(): boolean {
    return this.dependencies.operator.preferUnderserved > 0;
  }

  private updateShares({ cluster, types, now }: FairShareSnapshot): void {
    const { groups } = this.shares;
    const before = new Map([...groups.values()].map((group) => [group.key, stateOf(group)]));
    this.shares.update(cluster, types, now);
    for (const group of groups.values()) {
      if ((before.get(group.key) ?? '') !== stateOf(group)) this.logGroup(group);
    }
  }

  private updateReservations(snapshot: FairShareSnapshot): void {
    const { now, withinGuarantee } = snapshot;
    const blocked = snapshot.unplaced
      .filter(
        ({ job, reason }) =>
          reason === 'no room' && job.spec.kind !== 'service' && this.hasWaitedEnough(job, now),
      )
      .map(({ job }) => job);
    const events = this.reservations.update({
      ...snapshot,
      blocked,
      // Among lower-ranked tasks, as in the queue order: work within its guarantee is preempted only for work within its own.
      mayPreempt: (placement, job) => withinGuarantee.has(job.id) || !withinGuarantee.has(placement.job.id),
      maxReservations: (job) => this.maxReservations(job),
      maxReservedShare: this.maxReservedShare(blocked),
    });
    for (const event of events) this.logReservation(event, now);
  }

  private hasWaitedEnough(job: Job, now: SteadyMs): boolean {
    if (this.urgencyOf(job) > 0) return true;
    const objectiveS = this.dependencies.startObjectivesS.get(job.spec.class) ?? DEFAULT_PATIENCE_S;
    return (now - job.acceptedAt) / 1000 > RESERVE_AFTER_OBJECTIVES * objectiveS;
  }

  private maxReservations(job: Job): number {
    if (this.shares.isUnderserved(job)) return MAX_RESERVATIONS_UNDERSERVED;
    return this.urgencyOf(job) > 0 ? MAX_RESERVATIONS_BELOW_FLOOR : MAX_RESERVATIONS;
  }

  private maxReservedShare(blocked: readonly Job[]): number {
    const { maxReservedShare } = this.dependencies.operator;
    const isAnyUnderserved = blocked.some((job) => this.shares.isUnderserved(job));
    return isAnyUnderserved ? Math.max(maxReservedShare, MAX_RESERVED_SHARE_UNDERSERVED) : maxReservedShare;
  }

  private logGroup(group: FairShareGroup): void {
    this.dependencies.log.info('fair-share-changed', {
      group: group.key,
      state: stateOf(group),
      share: roundShare(group.averageShare),
      floor: roundShare(group.shareFloor),
      fair: roundShare(group.fairShare),
      oldestWaitS: Math.round(group.oldestWaitS),
    });
  }

  private logReservation(event: ReservationEvent, now: SteadyMs): void {
    const { kind, reservation } = event;
    const job = reservation.job.id;
    const details = 'reason' in event ? { reason: event.reason } : machinesOf(reservation, now);
    this.dependencies.log.info(`reservation-${kind}`, { job, ...details });
  }
}

const machinesOf = ({ zone, machines, readyAt }: Reservation, now: SteadyMs): Record<string, unknown> => ({
  zone: zone ?? null,
  machines: machines.map(({ id }) => id).join(' '),
  inS: Math.round((readyAt - now) / 1000),
});

const roundShare = (share: number): number => Math.round(share * 1000) / 1000;

function stateOf({ starvingSince, belowFloorSince }: FairShareGroup): 'starved' | 'owed' | '' {
  if (starvingSince !== undefined) return 'starved';
  return belowFloorSince === undefined ? '' : 'owed';
}
