import type { Clock } from '../transport/clock.js';

/** Largest accepted difference between the times of day of two machines. */
export const MAX_CLOCK_SKEW_MS = 60_000;
/**
 * Bounds memory under a flood of requests with valid keys; messages beyond it are refused. 4,000 machines with a heartbeat every
 * two seconds sign 240,000 messages within the two windows of a generation.
 */
const MAX_NONCES = 500_000;

/**
 * Replay protection. A nonce is remembered for longer than its message would be accepted, which is one window before and one
 * after the message's time.
 */
export class Nonces {
  private currentNonces = new Set<string>();
  private previousNonces = new Set<string>();
  private rotatedAt: number;

  constructor(private readonly clock: Clock) {
    this.rotatedAt = clock.now();
  }

  /** Records the nonce. Returns whether the message's time of day is within the window and the nonce is new. */
  take(nonce: string, time: number): boolean {
    if (Math.abs(this.clock.wall() - time) > MAX_CLOCK_SKEW_MS) return false;
    const elapsedMs = this.clock.now() - this.rotatedAt;
    if (elapsedMs > 2 * MAX_CLOCK_SKEW_MS) {
      this.previousNonces = elapsedMs > 4 * MAX_CLOCK_SKEW_MS ? new Set() : this.currentNonces;
      this.currentNonces = new Set();
      this.rotatedAt = this.clock.now();
    }
    if (
      this.currentNonces.has(nonce) ||
      this.previousNonces.has(nonce) ||
      this.currentNonces.size >= MAX_NONCES
    )
      return false;
    this.currentNonces.add(nonce);
    return true;
  }
}
