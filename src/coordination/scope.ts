import type { Clock } from '../transport/clock.js';
import type { Random } from '../transport/random.js';
import type { Log } from '../transport/log.js';
import type { Metrics } from '../transport/metrics.js';
import type { Operator } from '../protocol/operator.js';
import type { ReportReader } from '../protocol/report-reader.js';
import type { Settings } from '../protocol/settings.js';
import type { Estimates } from '../bookkeeping/estimates.js';
import type { Mirror } from '../bookkeeping/mirror.js';
import type { Store } from '../bookkeeping/store.js';
import type { World } from '../bookkeeping/world.js';
import type { Elastic } from './elastic/index.js';
import type { FleetDeps } from './fleet/fleet.js';
import type { Sharing } from './sharing/index.js';
import type { Pipelines } from './pipelines/index.js';
import type { HeldTerm, TermKeeper } from './term/term.js';
import type { TypeBook } from './fleet/types.js';

export interface HolderDeps extends Omit<FleetDeps, 'held' | 'served'> {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly store: Store;
  readonly mirror: Mirror;
  readonly term: TermKeeper;
  readonly types: TypeBook;
  readonly settings: Settings;
  readonly operator: Operator;
  readonly metrics: Metrics;
  readonly reader: ReportReader;
  /** How long after a cancellation is known a lease may still be renewed where it isn't obeyed. */
  readonly lateMs: number;
  /** There only where pipelines are served. */
  readonly pipelines?: Pipelines | undefined;
}

/**
 * What the loops of one term share: the term they serve, what is known, and how to wake one another. `W` is what a loop may
 * read and write of the world (`views.ts`).
 */
export interface Scope<W = World> {
  readonly d: HolderDeps;
  readonly held: HeldTerm;
  readonly estimates: Estimates;
  /** Undefined until it is loaded. */
  readonly world: W | undefined;
  /** There only where jobs may change their width. */
  readonly elastic: Elastic | undefined;
  /** There only where the operators left it on. */
  readonly sharing: Sharing | undefined;
  /** Whether this term still stands; every loop ends when it doesn't. */
  live(): boolean;
  /** Something changed that a round or a settlement may be due for. */
  wake(): void;
}
