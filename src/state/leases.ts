import type { StallAwareClock } from '../transport/stall-aware-clock.js';
import { MAX_CLOCK_DRIFT, type Clock, type SteadyMs } from '../transport/clock.js';

interface Lease {
  readonly ttlMs: number;
  renewedAt: SteadyMs;
  ending: boolean;
}

/** Less than the 100 ms by which a lease may expire late. */
const EXPIRY_SLACK_MS = 20;
export const LEASE_TTL_MS = { least: 100, most: 600_000 } as const;

/**
 * Expiry of the leases. Time in which this process was stalled does not count, so that after a stall the renewals waiting in the
 * sockets are read before any lease expires. After a restart or an outage, every lease has its full TTL again.
 */
export class Leases {
  private readonly leases = new Map<number, Lease>();

  constructor(
    private readonly clock: Clock,
    private readonly stallAwareClock: StallAwareClock,
  ) {}

  get count(): number {
    return this.leases.size;
  }

  add(id: number, ttlMs: number): void {
    this.leases.set(id, { ttlMs, renewedAt: this.clock.now(), ending: false });
  }

  /** Whether the lease is active: keys may be attached to it and it may be renewed. */
  has(id: number): boolean {
    return this.leases.get(id)?.ending === false;
  }

  renew(id: number): boolean {
    const lease = this.leases.get(id);
    if (!lease || lease.ending) return false;
    lease.renewedAt = this.clock.now();
    return true;
  }

  /** Replaces all leases, each with its full TTL, because clients could not renew them during a restart or an outage. */
  resetAll(leases: ReadonlyMap<number, number>): void {
    this.leases.clear();
    for (const [id, ttlMs] of leases) this.add(id, ttlMs);
  }

  renewAll(): void {
    const now = this.clock.now();
    for (const lease of this.leases.values()) {
      lease.renewedAt = now;
      lease.ending = false;
    }
  }

  /** Deactivates a lease before its end is persisted. */
  markEnding(id: number): boolean {
    const lease = this.leases.get(id);
    if (!lease || lease.ending) return false;
    lease.ending = true;
    return true;
  }

  remove(id: number): void {
    this.leases.delete(id);
  }

  expired(): number[] {
    const expired: number[] = [];
    for (const [id, lease] of this.leases) {
      if (lease.ending) continue;
      if (this.stallAwareClock.since(lease.renewedAt) > lease.ttlMs * (1 + MAX_CLOCK_DRIFT) + EXPIRY_SLACK_MS)
        expired.push(id);
    }
    return expired;
  }
}
