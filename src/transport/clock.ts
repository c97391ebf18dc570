/**
 * Time is injected. `now` is the steady clock: it never jumps, but runs slightly faster or slower than true time (see
 * `MAX_CLOCK_DRIFT`). `wall` is the time of day, accurate only within the bound in the settings; safety never depends on it.
 */
export type SteadyMs = number & { readonly __brand: 'SteadyMs' };
export type WallMs = number & { readonly __brand: 'WallMs' };

/** Relative drift between two steady clocks: each drifts from true time by as much as 0.05 %, two of them by twice that. */
export const MAX_CLOCK_DRIFT = 0.001;

export interface Timer {
  cancel(): void;
}

export interface Clock {
  now(): SteadyMs;
  wall(): WallMs;
  after(ms: number, run: () => void): Timer;
}

export const systemClock: Clock = {
  now: () => performance.now() as SteadyMs,
  wall: () => Date.now() as WallMs,
  after(ms, run) {
    const handle = setTimeout(run, ms);
    return { cancel: () => clearTimeout(handle) };
  },
};

export const plus = (t: SteadyMs, ms: number): SteadyMs => (t + ms) as SteadyMs;

export const sleep = (clock: Clock, ms: number): Promise<void> =>
  new Promise((resolve) => clock.after(ms, resolve));
