/** Run-time estimates: those of the jobs' owners, corrected by the run times of their tasks. */
import type { JobSpec } from '../protocol/jobs.js';

/** Bounds of one observation's logarithm: no single task counts for more than a factor of about seven. */
const MAX_LOG_RATIO = 2;
/** Window of the moving mean, in observations. Before it is full, the mean is over all of them and two more without error. */
const MEAN_WINDOW = 30;

interface ClassError {
  /** Running mean of the logarithm of actual over estimated time. */
  log: number;
  observations: number;
}

/** Errors of the owners' estimates, learnt per class from tasks that ran from start to end under this leader. */
export class RuntimeEstimates {
  private readonly classes = new Map<string, ClassError>();

  /** Learns from a task that ran from start to end in `ranS` seconds. */
  observe(spec: JobSpec, ranS: number): void {
    if (spec.estimateS <= 0 || ranS <= 0) return;
    const ratio = Math.log(ranS / spec.estimateS);
    const sample = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, ratio));
    const known = this.classes.get(spec.class) ?? { log: 0, observations: 0 };
    known.observations++;
    known.log += (sample - known.log) / Math.min(known.observations + 2, MEAN_WINDOW);
    this.classes.set(spec.class, known);
  }

  /** Returns the expected run time of one task, in seconds. */
  expectedSeconds(spec: JobSpec): number {
    return Math.max(1, spec.estimateS * Math.exp(this.classes.get(spec.class)?.log ?? 0));
  }

  /**
   * Returns the expected remaining time, in seconds, of a task that has run for `ranS`. A task past its expected time is assumed
   * to run for half as long again as it has run so far.
   */
  remainingSeconds(spec: JobSpec, ranS: number): number {
    const expectedS = this.expectedSeconds(spec);
    return Math.max(expectedS - ranS, ranS > expectedS ? ranS / 2 : 1);
  }
}
