import type { Settings } from '../../protocol/settings.js';

/**
 * The service-level objectives of the settings in the form in which scheduling and fair share look them up.
 */

/** How soon work should start and finish. Objectives that the settings leave out are missing. */
export interface SchedulingObjectives {
  /** Seconds within which tasks of a class should start. */
  readonly startWithinSByClass: ReadonlyMap<string, number>;
  /** Seconds within which work that a team's guarantee covers should start. */
  readonly guaranteeWithinS: number | undefined;
  /** Seconds from submission within which jobs of a class should be finished, shortest first. */
  readonly finishWithinSByClass: ReadonlyMap<string, readonly number[]>;
}

/** Work without an objective may wait this long for capacity before other work is stopped for it. */
export const DEFAULT_PATIENCE_S = 15;

/** Collects the objectives of the settings; of several start objectives for one class the strictest holds. */
export function schedulingObjectives(objectives: Settings['objectives']): SchedulingObjectives {
  const startWithinSByClass = new Map<string, number>();
  const finishWithinSByClass = new Map<string, number[]>();
  let guaranteeWithinS: number | undefined;
  for (const { kind, class: jobClass, withinS } of objectives) {
    if (withinS === undefined) continue;
    if (kind === 'guarantee') guaranteeWithinS = Math.min(withinS, guaranteeWithinS ?? Infinity);
    if (jobClass === undefined) continue;
    if (kind === 'finished') {
      const known = finishWithinSByClass.get(jobClass) ?? [];
      finishWithinSByClass.set(
        jobClass,
        [...known, withinS].sort((a, b) => a - b),
      );
    }
    if (kind === 'wait') {
      startWithinSByClass.set(jobClass, Math.min(withinS, startWithinSByClass.get(jobClass) ?? Infinity));
    }
  }
  return { startWithinSByClass, guaranteeWithinS, finishWithinSByClass };
}
