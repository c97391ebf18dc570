/**
 * Client-side rate limit on requests to a service, shared by callers of different priority.
 *
 * Owns a token bucket and the queue of callers that wait for tokens. It sends nothing itself. The maintained rate-limiter
 * packages offer neither priorities on one bucket nor an injectable clock; docs/design.md lists those that were considered.
 */
import type { Clock, SteadyMs, Timer } from './clock.js';

const MS_PER_S = 1000;
/** Minimum interval between two passes over the waiting callers. */
const MIN_DRAIN_INTERVAL_MS = 5;
/** Maximum debt that overdrawing may build up, in seconds of the rate. */
const MAX_DEBT_S = 2;

/** Order in which callers may take tokens. A lower number is a higher priority. */
export enum RequestPriority {
  Lease = 0,
  User = 1,
  Completion = 2,
  Scheduling = 3,
  /** Removal of records that are no longer needed, when nothing else wants to write. */
  GarbageCollection = 4,
}

interface Waiter {
  readonly priority: RequestPriority;
  readonly cost: number;
  readonly expires: SteadyMs;
  readonly resolve: (granted: boolean) => void;
}

/** A share of the rate that is reserved for one priority, however much the others have taken. */
export interface ReservedBudget {
  readonly priority: RequestPriority;
  /** Part of the rate, from 0 to 1. */
  readonly share: number;
  /** Maximum number of unused tokens that accumulate, so that a single request need not wait. */
  readonly capacity: number;
}

/**
 * A token bucket with priorities. Each priority leaves a reserve in the bucket that only higher ones may touch, so that
 * lease renewals, cancellations and submissions never wait behind scheduling.
 */
export class RateLimiter {
  private tokens: number;
  private reservedTokens = 0;
  private refilledAt: SteadyMs;
  private waiters: Waiter[] = [];
  private timer: Timer | undefined;

  /** `ratePerS`: tokens per second, which is also the size of the bucket. */
  constructor(
    private readonly clock: Clock,
    private ratePerS: number,
    /** Part of a full bucket that each priority leaves untouched, from 0 to 1. */
    private readonly untouchedShare: Readonly<Record<RequestPriority, number>>,
    private readonly reservation?: ReservedBudget,
  ) {
    this.tokens = ratePerS;
    this.refilledAt = clock.now();
  }

  /** A bucket holds at least one token; otherwise no request would ever be granted. */
  private get bucketSize(): number {
    return Math.max(this.ratePerS, 1);
  }

  setRate(ratePerS: number): void {
    this.refill();
    this.ratePerS = ratePerS;
    this.tokens = Math.min(this.tokens, ratePerS);
    this.drain();
  }

  /** Takes tokens without waiting, for requests that must never wait. Lower priorities wait longer until the debt is repaid. */
  overdraw(cost: number): void {
    this.refill();
    this.tokens = Math.max(this.tokens - cost, -MAX_DEBT_S * this.ratePerS);
  }

  /** Gives back tokens that were acquired and not used. */
  refund(cost: number, priority: RequestPriority): void {
    this.refill();
    const { reservation } = this;
    if (reservation?.priority === priority) {
      this.reservedTokens = Math.min(reservation.capacity, this.reservedTokens + cost);
    }
    this.tokens = Math.min(this.bucketSize, this.tokens + cost);
    this.drain();
  }

  /** To be called when the service throttled a request: other nodes share its limit, so the bucket's count was too high. */
  onThrottled(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
  }

  /** Resolves to true once the tokens are taken, or to false if `maxWaitMs` pass first. */
  acquire(cost: number, priority: RequestPriority, maxWaitMs: number): Promise<boolean> {
    if (cost <= 0) return Promise.resolve(true);
    this.refill();
    if (this.grantAtOnce(cost, priority)) return Promise.resolve(true);
    return new Promise((resolve) => {
      const expires = (this.clock.now() + maxWaitMs) as SteadyMs;
      this.waiters.push({ priority, cost, expires, resolve });
      this.waiters.sort((a, b) => a.priority - b.priority);
      this.scheduleDrain();
    });
  }

  private grantAtOnce(cost: number, priority: RequestPriority): boolean {
    const isFirst = !this.waiters.some((waiter) => waiter.priority <= priority);
    if (isFirst && this.grant(cost, priority)) return true;
    const isFirstReserved =
      this.reservation?.priority === priority && !this.waiters.some((waiter) => waiter.priority === priority);
    return isFirstReserved && this.takeReserved(cost);
  }

  /** The reservation makes the other priorities wait longer, so it is used only when the bucket does not cover the cost. */
  private grant(cost: number, priority: RequestPriority): boolean {
    if (!this.bucketCovers(cost, priority)) {
      return this.reservation?.priority === priority && this.takeReserved(cost);
    }
    this.tokens -= cost;
    return true;
  }

  /** A cost above the bucket's size is granted when the bucket is full; otherwise it would never be granted. */
  private bucketCovers(cost: number, priority: RequestPriority): boolean {
    const required = cost + this.untouchedShare[priority] * this.ratePerS;
    return this.tokens >= Math.min(required, this.bucketSize);
  }

  private takeReserved(cost: number): boolean {
    if (this.reservedTokens < cost) return false;
    this.reservedTokens -= cost;
    this.tokens -= cost;
    return true;
  }

  private refill(): void {
    const now = this.clock.now();
    const addedTokens = ((now - this.refilledAt) / MS_PER_S) * this.ratePerS;
    this.tokens = Math.min(this.bucketSize, this.tokens + addedTokens);
    const { reservation } = this;
    if (reservation) {
      const reserved = this.reservedTokens + addedTokens * reservation.share;
      this.reservedTokens = Math.min(reservation.capacity, reserved);
    }
    this.refilledAt = now;
  }

  /** Serves the waiters in order; one with a reservation may overtake those that have to keep waiting. */
  private drain(): void {
    this.refill();
    const now = this.clock.now();
    const waiting: Waiter[] = [];
    for (const waiter of this.waiters) {
      if (this.serve(waiter, waiting)) waiter.resolve(true);
      else if (now >= waiter.expires) waiter.resolve(false);
      else waiting.push(waiter);
    }
    this.waiters = waiting;
    this.scheduleDrain();
  }

  private serve({ cost, priority }: Waiter, before: readonly Waiter[]): boolean {
    if (before.length === 0) return this.grant(cost, priority);
    const mayPass =
      this.reservation?.priority === priority && !before.some((earlier) => earlier.priority === priority);
    return mayPass && this.takeReserved(cost);
  }

  private scheduleDrain(): void {
    if (this.timer || this.waiters.length === 0) return;
    const intervalMs = Math.max(MIN_DRAIN_INTERVAL_MS, MS_PER_S / this.bucketSize);
    this.timer = this.clock.after(intervalMs, () => {
      this.timer = undefined;
      this.drain();
    });
  }
}
