import type { Clock } from '../transport/clock.js';
import { RateLimiter, RequestPriority } from '../transport/rate-limiter.js';
import type { OperatorSettings } from '../protocol/operator-settings.js';
import type { Settings } from '../protocol/settings.js';

/**
 * Request budgets of one controller: its request rates to the state service and the machine provider, and how much of each rate is
 * reserved for which priority. Owns the limiters and their rates; sends nothing itself.
 */

/** Share of the write rate that is reserved for scheduling cycles. */
const RESERVED_SCHEDULING_WRITE_SHARE = 0.12;
/** Scheduling writes that may accumulate under that reservation. */
const RESERVED_SCHEDULING_WRITE_CAPACITY = 4;
/** Share of the machine provider's request rate that is used; the rest covers clocks that differ on the length of a second. */
const CLOUD_RATE_SHARE = 0.8;

/** Creates the limiter of requests to the machine provider. */
export function createCloudRateLimiter(clock: Clock, cloudLimits: Settings['cloudLimits']): RateLimiter {
  return new RateLimiter(clock, cloudLimits.rps * CLOUD_RATE_SHARE, {
    [RequestPriority.Lease]: 0,
    [RequestPriority.User]: 0,
    [RequestPriority.Completion]: 0.1,
    [RequestPriority.Scheduling]: 0.2,
    [RequestPriority.GarbageCollection]: 0.2,
  });
}

export interface StoreRateLimitsDependencies {
  readonly clock: Clock;
  readonly store: Settings['store'];
  readonly operator: Pick<OperatorSettings, 'cycleWriteShare' | 'leaderShare'>;
  /** Number of other controllers, which share the rates not reserved for the leader. */
  readonly peerCount: number;
}

/** This controller's share of the state service's request and write rates; the leader has a larger share than the followers. */
export class StoreRateLimits {
  readonly requests: RateLimiter;
  readonly writes: RateLimiter;

  constructor(private readonly dependencies: StoreRateLimitsDependencies) {
    const { clock, store, operator } = dependencies;
    const schedulingReserve = 1 - operator.cycleWriteShare;
    this.requests = new RateLimiter(clock, store.rps, {
      [RequestPriority.Lease]: 0,
      [RequestPriority.User]: 0,
      [RequestPriority.Completion]: 0.1,
      [RequestPriority.Scheduling]: 0.2,
      [RequestPriority.GarbageCollection]: 0.4,
    });
    this.writes = new RateLimiter(
      clock,
      store.writeRps,
      {
        [RequestPriority.Lease]: 0,
        [RequestPriority.User]: 0,
        [RequestPriority.Completion]: 0,
        [RequestPriority.Scheduling]: schedulingReserve / 2,
        [RequestPriority.GarbageCollection]: schedulingReserve,
      },
      // A scheduling cycle is two changes for dozens of jobs. Without the reservation, submissions alone can use up the write rate and
      // leave every machine idle, as in the first 15 s of a day in which jobs are accepted at just that rate.
      {
        priority: RequestPriority.Scheduling,
        share: RESERVED_SCHEDULING_WRITE_SHARE,
        capacity: RESERVED_SCHEDULING_WRITE_CAPACITY,
      },
    );
  }

  /** Sets the rates that this controller may use as the leader or as a follower. */
  setRole(role: 'leader' | 'follower'): void {
    const { store, operator, peerCount } = this.dependencies;
    const share =
      role === 'leader' ? operator.leaderShare : (1 - operator.leaderShare) / Math.max(1, peerCount);
    this.requests.setRate(store.rps * share);
    this.writes.setRate(store.writeRps * share);
  }
}
