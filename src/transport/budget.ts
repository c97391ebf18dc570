import type { Clock, SteadyMs, Timer } from './clock.js';

/**
 * A token bucket with ranks. The lower ranks leave a reserve behind that only the higher ones may touch, so
 * that lease renewals, aborts and accepts never wait behind rounds. (The well-kept limiters have neither
 * ranks over one bucket nor a clock that can be injected; docs/design.md says which were looked at.)
 */
export enum Rank {
  Lease = 0,
  User = 1,
  Finish = 2,
  Round = 3,
  /** Collecting what nothing needs any more: whenever nothing else wants to write. */
  Garbage = 4,
}

interface Waiter {
  readonly rank: Rank;
  readonly cost: number;
  readonly expires: SteadyMs;
  readonly resolve: (granted: boolean) => void;
}

export class Budget {
  private tokens: number;
  private updated: SteadyMs;
  private waiters: Waiter[] = [];
  private timer: Timer | undefined;

  constructor(
    private readonly clock: Clock,
    private rate: number,
    /** Share of a full bucket that each rank must leave untouched. */
    private readonly reserve: Readonly<Record<Rank, number>>,
  ) {
    this.tokens = rate;
    this.updated = clock.now();
  }

  setRate(rate: number): void {
    this.refill();
    this.rate = rate;
    this.tokens = Math.min(this.tokens, rate);
    this.drain();
  }

  /** Takes without asking: for what must never wait. The lower ranks pay it back by waiting longer. */
  overdraw(cost: number): void {
    this.refill();
    this.tokens = Math.max(this.tokens - cost, -2 * this.rate);
  }

  /** Gives back what was taken and not used. */
  giveBack(cost: number): void {
    this.refill();
    this.tokens = Math.min(Math.max(this.rate, 1), this.tokens + cost);
    this.drain();
  }

  /** Other nodes share the limit; a refusal means the bucket was believed fuller than it is. */
  refused(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
  }

  /** Resolves to false when `patienceMs` passes without room. */
  take(cost: number, rank: Rank, patienceMs: number): Promise<boolean> {
    if (cost <= 0) return Promise.resolve(true);
    this.refill();
    if (!this.waiters.some((w) => w.rank <= rank) && this.fits(cost, rank)) {
      this.tokens -= cost;
      return Promise.resolve(true);
    }
    return new Promise((resolve) => {
      const expires = (this.clock.now() + patienceMs) as SteadyMs;
      this.waiters.push({ rank, cost, expires, resolve });
      this.waiters.sort((a, b) => a.rank - b.rank);
      this.arm();
    });
  }

  private fits(cost: number, rank: Rank): boolean {
    // A cost above the whole bucket must still go through at some time: it then needs a full bucket.
    return this.tokens >= Math.min(cost + this.reserve[rank] * this.rate, Math.max(this.rate, 1));
  }

  private refill(): void {
    const now = this.clock.now();
    this.tokens = Math.min(Math.max(this.rate, 1), this.tokens + ((now - this.updated) / 1000) * this.rate);
    this.updated = now;
  }

  private drain(): void {
    this.refill();
    const now = this.clock.now();
    const left: Waiter[] = [];
    for (const w of this.waiters) {
      if (left.length === 0 && this.fits(w.cost, w.rank)) {
        this.tokens -= w.cost;
        w.resolve(true);
      } else if (now >= w.expires) w.resolve(false);
      else left.push(w);
    }
    this.waiters = left;
    this.arm();
  }

  private arm(): void {
    if (this.timer || this.waiters.length === 0) return;
    this.timer = this.clock.after(Math.max(5, 1000 / Math.max(this.rate, 1)), () => {
      this.timer = undefined;
      this.drain();
    });
  }
}
