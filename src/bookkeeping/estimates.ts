import type { JobSpec } from '../protocol/jobs.js';

/** Spread of the logarithm of actual over estimated time before any task of a class has ended. */
const FIRST_SPREAD = 0.3;

/**
 * How wrong the owners' estimates are, learnt per class from tasks that ran from start to end here: the
 * running mean and spread of the logarithm of actual over estimated time.
 */
export class Estimates {
  private readonly classes = new Map<string, { log: number; spread: number; seen: number }>();

  observe(spec: JobSpec, ranS: number): void {
    if (spec.estimateS <= 0 || ranS <= 0) return;
    const sample = Math.max(-2, Math.min(2, Math.log(ranS / spec.estimateS)));
    const known = this.classes.get(spec.class) ?? { log: 0, spread: FIRST_SPREAD ** 2, seen: 0 };
    known.seen++;
    // The first few count in full, later ones as a moving mean over some thirty.
    const off = sample - known.log;
    known.log += off / Math.min(known.seen + 2, 30);
    known.spread += (off * off - known.spread) / Math.min(known.seen + 5, 60);
    this.classes.set(spec.class, known);
  }

  /** Expected run time of one task, in seconds. */
  of(spec: JobSpec): number {
    return Math.max(1, spec.estimateS * Math.exp(this.classes.get(spec.class)?.log ?? 0));
  }

  /** A run time that nine of ten tasks of such an estimate stay below. */
  cautious(spec: JobSpec): number {
    const spread = this.classes.get(spec.class)?.spread ?? FIRST_SPREAD ** 2;
    return this.of(spec) * Math.exp(1.28 * Math.sqrt(spread));
  }

  /** Expected rest for a task that has run so long. Past its estimate, it is as long again as half its past. */
  rest(spec: JobSpec, ranS: number): number {
    return Math.max(this.of(spec) - ranS, ranS > this.of(spec) ? ranS / 2 : 1);
  }
}
