import type { Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { MachineId } from '../../protocol/ids.js';
import type { Settings } from '../../protocol/settings.js';

/**
 * Decides which agents a leader turns away while it is cut off from the state service and from the other controllers. Whether
 * heartbeats may be answered at all is decided by `heartbeat-authority.ts`.
 */

/** Seconds that an agent waits for an answer, plus those before it tries the next controller. */
const ATTEMPT_TIMEOUT_S = 4 + 1;
/** A heartbeat is sent up to a quarter of its interval late. */
const LATE_HEARTBEAT_FACTOR = 1.25;
/** Spare time within the lease, in seconds. */
const SPARE_S = 1;

export interface IsolatedLeaderDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly workers: Settings['workers'];
  /** Controllers in all, this one included. */
  readonly controllerCount: number;
  /** Whether this controller can't renew its leadership, and no other controller answers it. */
  readonly isIsolated: () => boolean;
}

/**
 * Turns each agent away once while the leader is isolated. A leader that has lost the state service and the other controllers, but not
 * its agents, can't know whether another leader has been elected. If it kept answering heartbeats, its agents would stay and a new leader
 * would have no machines. An agent that finds a newer leader doesn't come back; one that finds none is back before its lease
 * expires, and is answered for as long as the bound on cancellations allows.
 */
export class IsolatedLeader {
  private readonly turnedAway = new Set<MachineId>();
  private isolated = false;
  /** Whether one late heartbeat interval and an unanswered attempt at every controller fit into a lease. */
  private readonly searchFitsLease: boolean;

  constructor(private readonly dependencies: IsolatedLeaderDependencies) {
    const { workers, controllerCount } = dependencies;
    const searchS = LATE_HEARTBEAT_FACTOR * workers.reportS + controllerCount * ATTEMPT_TIMEOUT_S + SPARE_S;
    this.searchFitsLease = searchS < workers.leaseS;
  }

  /** Whether this heartbeat is refused, so that its agent looks for another leader. */
  shouldTurnAway(machine: MachineId): boolean {
    const isolated = this.searchFitsLease && this.dependencies.isIsolated();
    if (isolated !== this.isolated) this.setIsolated(isolated);
    if (!isolated || this.turnedAway.has(machine)) return false;
    this.turnedAway.add(machine);
    return true;
  }

  private setIsolated(isolated: boolean): void {
    this.isolated = isolated;
    const event = isolated ? 'leader-isolated' : 'leader-isolation-ended';
    this.dependencies.log.info(event, { sent: this.turnedAway.size });
    this.turnedAway.clear();
  }
}
