import type { Clock } from '../transport/clock.js';

/** So many a second, with bursts of one second's worth. */
export class TokenBucket {
  private tokens: number;
  private filledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly rate: number,
  ) {
    this.tokens = rate;
    this.filledAt = clock.now();
  }

  take(n: number): boolean {
    const now = this.clock.now();
    this.tokens = Math.min(this.rate, this.tokens + ((now - this.filledAt) / 1000) * this.rate);
    this.filledAt = now;
    if (this.tokens < n) return false;
    this.tokens -= n;
    return true;
  }
}
