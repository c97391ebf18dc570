/**
 * Measures elapsed time without the time in which this process was stalled.
 *
 * Owns the record of this process's stalls. It decides nothing itself: leases, cancellations and commitments to other
 * processes go by the steady clock, whatever this process was able to do.
 */
import type { Clock, SteadyMs, Timer } from './clock.js';

/** Interval at which the process checks that its timers fire. */
const CHECK_INTERVAL_MS = 100;
/** Timers fire a few milliseconds late on any machine; more than this is a stall. */
const TIMER_SLACK_MS = 50;
/** Longest time without a message that is evaluated. */
const MAX_ELAPSED_MS = 900_000;
/** Stalls are kept for this long, so that dropping old ones in bulk never loses one that counts. */
const DROP_STALLS_AFTER_MS = 2 * MAX_ELAPSED_MS;

interface Stall {
  readonly end: SteadyMs;
  /** All stalled time before this stall, in ms. */
  readonly totalBefore: number;
  /** All stalled time up to and with this stall, in ms. */
  readonly totalAfter: number;
}

/**
 * Measures how long this process has been able to receive. On a fraction of a core a process stalls: timers fire late, and
 * messages that arrived meanwhile are read after them. Time in which nothing could be received says nothing about a machine,
 * a zone or the store, so it is not counted when their unresponsiveness is measured.
 */
export class StallAwareClock {
  private checkedAt: SteadyMs;
  private totalStalledMs = 0;
  private stalls: Stall[] = [];
  private timer: Timer;

  constructor(private readonly clock: Clock) {
    this.checkedAt = clock.now();
    this.timer = this.scheduleCheck();
  }

  private scheduleCheck(): Timer {
    return this.clock.after(CHECK_INTERVAL_MS, () => {
      this.check();
      this.timer = this.scheduleCheck();
    });
  }

  stop(): void {
    this.timer.cancel();
  }

  /** Detects a stall when the process first reads the clock again, which may be before the next timer fires. */
  private check(): SteadyMs {
    const now = this.clock.now();
    const lateMs = now - this.checkedAt - CHECK_INTERVAL_MS - TIMER_SLACK_MS;
    this.checkedAt = now;
    if (lateMs > 0) this.recordStall(now, lateMs);
    return now;
  }

  private recordStall(end: SteadyMs, lateMs: number): void {
    const totalBefore = this.totalStalledMs;
    this.totalStalledMs = totalBefore + lateMs;
    this.stalls.push({ end, totalBefore, totalAfter: this.totalStalledMs });
    if (end - this.stalls[0]!.end > DROP_STALLS_AFTER_MS) {
      this.stalls = this.stalls.filter((stall) => end - stall.end <= MAX_ELAPSED_MS);
    }
  }

  /** Time since `then` in which this process was able to receive, in ms. */
  since(then: SteadyMs): number {
    const now = this.check();
    return now - then - (this.totalStalledMs - this.stalledBefore(then));
  }

  /** All stalled time so far, in ms. */
  get stalledMs(): number {
    return this.totalStalledMs;
  }

  /** All stalled time before `then`, in ms. */
  private stalledBefore(then: SteadyMs): number {
    const stall = this.firstStallEndingAfter(then);
    if (!stall) return this.totalStalledMs;
    const start = stall.end - (stall.totalAfter - stall.totalBefore);
    return stall.totalBefore + Math.max(0, then - start);
  }

  /** Binary search: this runs for every machine in every pass of the failure detector. */
  private firstStallEndingAfter(then: SteadyMs): Stall | undefined {
    const { stalls } = this;
    let low = 0;
    let high = stalls.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (stalls[middle]!.end <= then) low = middle + 1;
      else high = middle;
    }
    return stalls[low];
  }
}
