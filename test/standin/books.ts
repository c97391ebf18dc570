import type { Mark, Term } from '../../src/protocol/ids.js';
import type { JobSpec } from '../../src/protocol/jobs.js';
import type { Job, World } from '../../src/bookkeeping/world.js';
import type { SteadyMs } from '../../src/transport/clock.js';

/** Waiting jobs in a holder's books, one older than the next. */
export const addQueued = (world: World, specs: readonly JobSpec[]): Job[] =>
  specs.map((spec, i) =>
    world.addJob(
      {
        spec,
        state: 'queued',
        generation: 0,
        term: 0n as Term,
        attempt: 0,
        done: 0,
        acceptedAt: i as never,
        cancelledAt: null,
      },
      1n as Mark,
      0 as SteadyMs,
      undefined,
    ),
  );
