import { MAX_CLOCK_DRIFT, type Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Settings } from '../../protocol/settings.js';
import type { JobCache } from '../../storage/job-cache.js';
import type { PeerGossip } from './peer-gossip.js';
import type { LeaderElection } from './leader-election.js';

/**
 * Decides whether a leader may renew agents' leases, so that no lease outlives the bound within which a cancelled task must end. The
 * cases are discussed in `docs/design.md`. Renews no lease itself.
 */

export interface HeartbeatAuthorityDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly workers: Settings['workers'];
  readonly peers: Pick<PeerGossip, 'confirmedAt'>;
  readonly jobCache: Pick<JobCache, 'syncedAt'>;
  readonly election: Pick<LeaderElection, 'leadership' | 'canDecide'>;
}

/** Covers the delivery of a heartbeat and of its answer, the agent's heartbeat interval, and the comparison with the store each second. */
const MARGIN_MS = 2000;
/** Margin where the settings leave less time. */
const MIN_MARGIN_MS = 500;
/** The store is read every second; a leader that renews leases on that alone needs at least this limit. */
const MIN_LIMIT_MS = 1500;
/** Settings are in whole units, which the allowance for clock drift reduces by a few milliseconds. */
const ROUNDING_MS = 10;

/**
 * Returns for how many milliseconds a cancellation may be unknown to the leader, or known and not obeyed. An agent whose heartbeat is
 * answered at `t` keeps its tasks until `t + lease_s` at the latest, and cancelled tasks must end within `cancel_s` of the
 * confirmation to the user. Undefined where the settings leave no such time.
 */
export function cancellationStalenessLimitMs(
  workers: Pick<Settings['workers'], 'leaseS' | 'cancelS'>,
): number | undefined {
  const differenceMs = (workers.cancelS - workers.leaseS) * 1000 * (1 - 2 * MAX_CLOCK_DRIFT);
  for (const marginMs of [MARGIN_MS, MIN_MARGIN_MS]) {
    if (differenceMs - marginMs >= MIN_LIMIT_MS - ROUNDING_MS) return differenceMs - marginMs;
  }
  return undefined;
}

/**
 * Decides whether a heartbeat may be answered with 200, which renews its agent's lease. Every answer stops the tasks of jobs that are
 * known here as cancelled, and a lease is renewed only where such stops are obeyed (`dispatch/cancelled-job-stops.ts`). So it
 * suffices that each cancellation is known here early enough. All that were confirmed up to `knownUntil` are known: from the store itself,
 * or from every peer, its incarnation followed without a gap since the store was last read (`peer-gossip.ts`). For a
 * cancellation confirmed later, the last lease renewed without knowing of it ends within `cancel_s`.
 */
export class HeartbeatAuthority {
  /** For how many milliseconds after all cancellations were last known heartbeats may be answered; undefined where the settings leave no such time. */
  readonly stalenessLimitMs: number | undefined;

  constructor(private readonly dependencies: HeartbeatAuthorityDependencies) {
    const { workers, log } = dependencies;
    this.stalenessLimitMs = cancellationStalenessLimitMs(workers);
    if (this.stalenessLimitMs === undefined) {
      log.error('cancellation-bound-too-short', { leaseS: workers.leaseS, cancelS: workers.cancelS });
    }
  }

  mayRenewLeases(): boolean {
    const { election, peers, jobCache, clock } = this.dependencies;
    const { leadership } = election;
    if (!leadership) return false;
    // Under such settings no lease expires in time by itself: only a leader that reaches the store may renew leases.
    if (this.stalenessLimitMs === undefined) {
      return election.canDecide() && clock.now() - jobCache.syncedAt < MIN_LIMIT_MS;
    }
    const confirmedAt = peers.confirmedAt(leadership.term);
    const { syncedAt } = jobCache;
    const knownUntil = confirmedAt !== undefined && confirmedAt > syncedAt ? confirmedAt : syncedAt;
    return clock.now() - knownUntil < this.stalenessLimitMs;
  }
}
