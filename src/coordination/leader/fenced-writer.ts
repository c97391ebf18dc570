import { RequestPriority } from '../../transport/rate-limiter.js';
import { sleep, type Clock, type SteadyMs } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { jitter, type Random } from '../../transport/random.js';
import type { Result } from '../../transport/result.js';
import type { Change, Condition } from '../../protocol/state.js';
import type { JobCache } from '../../storage/job-cache.js';
import { Keys } from '../../storage/records.js';
import type { StoreClient, StoreFailure, TransactionOutcome } from '../../storage/store-client.js';
import type { Leadership, LeaderElection } from '../election/leader-election.js';

/**
 * The leader's only way to write to the store. Every transaction is conditioned on the leader's record, so that no write of an earlier
 * term is applied, however late it arrives. Plans nothing and keeps no cluster state.
 */

const CONFLICT_RETRY_MS = 200;
/** Keys named in the log of a conflict. */
const MAX_LOGGED_KEYS = 3;

/** Whether the store said what became of the transaction: otherwise it may be carried out later. */
export const hasAnswer = (outcome: Result<TransactionOutcome, StoreFailure>): boolean =>
  outcome.ok || outcome.error.kind !== 'unknown';

/** What a fenced writer uses of its leader and of the controller. */
export interface FencedWriterDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly store: Pick<StoreClient, 'txn'>;
  readonly jobCache: Pick<JobCache, 'sync'>;
  readonly election: Pick<LeaderElection, 'loseLeadership' | 'raiseFencingToken'>;
  readonly leadership: Leadership;
  readonly isActive: () => boolean;
  /** Called when a change may require a scheduling cycle or a completion commit. */
  readonly wake: () => void;
  /** Called with each condition that the store refused: it never holds again. */
  readonly onConditionRefused: (condition: Condition) => void;
  /** Called when the token of `leadership` was raised and the cluster state stays valid. */
  readonly onTokenRaised: () => void;
}

/** Writes to the store under the fencing condition of one term. */
export class FencedWriter {
  /** When raising the token was last attempted; zero before the first time. */
  tokenRaisedAt = 0 as SteadyMs;
  private writesInFlight = 0;
  private onIdle: (() => void) | undefined;
  private raising: Promise<void> | undefined;
  /** Set once a write's outcome is unknown: the store may be ahead of the cluster state until a new term begins. */
  private hasUnknownOutcome = false;

  constructor(private readonly dependencies: FencedWriterDependencies) {}

  /** Applies the changes in one transaction; waits while the token is being raised. */
  async write(
    conditions: readonly Condition[],
    changes: readonly Change[],
    priority: RequestPriority,
    paid = false,
  ): Promise<Result<TransactionOutcome, StoreFailure>> {
    const { store, leadership } = this.dependencies;
    while (this.raising) await this.raising;
    this.writesInFlight++;
    try {
      const outcome = await store.txn(
        [{ key: Keys.leader, modRevision: leadership.modRevision }, ...conditions],
        changes,
        priority,
        paid,
      );
      // Removals of garbage and records of cached images may be applied late without harm; all other outcomes must be known.
      const harmless = priority === RequestPriority.GarbageCollection;
      if (!hasAnswer(outcome) && !harmless) this.hasUnknownOutcome = true;
      if (outcome.ok && outcome.value.kind === 'conflict')
        this.reportRefused(conditions, outcome.value.failed);
      return outcome;
    } finally {
      if (--this.writesInFlight === 0) this.onIdle?.();
    }
  }

  /**
   * Raises the token without loading the cluster state again, so that in-doubt starts can't run any more: agents drop them once they
   * know a higher token. Waits for the writes in flight; when every outcome so far is known, the cluster state agrees with the
   * store. Otherwise the token isn't raised.
   */
  async raiseFencingToken(reason: string): Promise<void> {
    if (this.raising) return;
    const { clock, election, isActive, onTokenRaised } = this.dependencies;
    this.tokenRaisedAt = clock.now();
    let release: () => void = () => undefined;
    this.raising = new Promise((resolve) => (release = resolve));
    try {
      if (this.writesInFlight > 0) await new Promise<void>((resolve) => (this.onIdle = resolve));
      this.onIdle = undefined;
      if (!isActive() || this.hasUnknownOutcome) return;
      if (await election.raiseFencingToken(reason)) onTokenRaised();
    } finally {
      this.raising = undefined;
      release();
    }
  }

  private reportRefused(conditions: readonly Condition[], failedKeys: readonly string[]): void {
    for (const condition of conditions) {
      if (failedKeys.includes(condition.key)) this.dependencies.onConditionRefused(condition);
    }
  }

  /** Handles the rejection of a write: either another leader was elected, or a record changed and is read again. */
  async handleConflict(failedKeys: readonly string[], plan: string): Promise<void> {
    const { clock, random, log, jobCache, election, wake } = this.dependencies;
    if (failedKeys.includes(Keys.leader)) {
      election.loseLeadership('the fencing condition rejected a write');
      return;
    }
    log.info('commit-conflict', { plan, keys: failedKeys.slice(0, MAX_LOGGED_KEYS).join(' ') });
    // A record changed while the plan was made, most likely by a cancellation. It is read again before the next plan.
    if (!(await jobCache.sync())) await sleep(clock, jitter(random, CONFLICT_RETRY_MS));
    wake();
  }
}
