import type { Clock } from '../transport/clock.js';

/** Limits a rate per second; allows bursts of one second's tokens. */
export class TokenBucket {
  private tokens: number;
  private filledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly ratePerS: number,
  ) {
    this.tokens = ratePerS;
    this.filledAt = clock.now();
  }

  take(count: number): boolean {
    const now = this.clock.now();
    this.tokens = Math.min(this.ratePerS, this.tokens + ((now - this.filledAt) / 1000) * this.ratePerS);
    this.filledAt = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}
