/**
 * Back-pressure on job submissions.
 *
 * Owns the schedule of retries: which jobs the store throttled, and when their users are to submit them again.
 * It never delays a request and never writes; it only computes `Retry-After` values.
 */
import { plus, type Clock, type SteadyMs } from '../../transport/clock.js';
import type { JobId } from '../../protocol/ids.js';

const MS_PER_S = 1000;
/** Users retry for 60 s. A job that was deferred before gets a delay of at most half of what is left of this window. */
const RETRY_WINDOW_MS = 50_000;
/** Longest delay that is answered, so that enough retries remain, whichever node receives them. */
const MAX_RETRY_DELAY_MS = 12_000;
const MIN_RETRY_DELAY_MS = 1000;
/** A deferred job is forgotten when its user is late by more than this. */
const RETRY_GRACE_MS = 5000;
/** Period over which the rate of accepted jobs is measured. */
const RATE_WINDOW_S = 4;
/** Retries are spread at the measured rate times this factor, because the rate may have risen since. */
const RATE_HEADROOM = 1.25;

interface DeferredJob {
  readonly firstAttemptAt: SteadyMs;
  readonly retryAt: SteadyMs;
}

interface AcceptedBatch {
  readonly at: SteadyMs;
  readonly jobs: number;
}

/**
 * Spreads the retries of throttled submissions over time, at the rate at which the store accepts jobs.
 *
 * With the same delay of 1 s for every user, all of them retry together and it is random who is accepted: in a simulation
 * with 800 simultaneous jobs and 20 writes per second, dozens used up their 60 s while newer jobs were accepted.
 * Each throttled job therefore gets a later retry time than the one before it, and older jobs are served first.
 */
export class AdmissionControl {
  private readonly deferred = new Map<JobId, DeferredJob>();
  private nextRetryAt: SteadyMs;
  private recentlyAccepted: AcceptedBatch[] = [];

  /** `minAcceptsPerS`: accepted jobs per second to assume, whatever rate was measured. */
  constructor(
    private readonly clock: Clock,
    private readonly minAcceptsPerS: number,
  ) {
    this.nextRetryAt = clock.now();
  }

  /** Number of jobs whose users are to retry. */
  get deferredCount(): number {
    return this.deferred.size;
  }

  /** Time of the job's first throttled submission, or now if it has none. Orders waiting submissions. */
  firstAttemptAt(id: JobId): SteadyMs {
    return this.deferred.get(id)?.firstAttemptAt ?? this.clock.now();
  }

  recordAccepted(ids: readonly JobId[]): void {
    for (const id of ids) this.deferred.delete(id);
    this.recentlyAccepted.push({ at: this.clock.now(), jobs: ids.length });
  }

  /** Records that the store throttled the submission. Returns the delay for its `Retry-After`, in whole seconds. */
  recordThrottled(id: JobId): number {
    const now = this.clock.now();
    this.dropExpired(now);
    const firstAttemptAt = this.deferred.get(id)?.firstAttemptAt ?? now;
    const delayMs = Math.min(this.nextDelayMs(now), maxDelayMs(now - firstAttemptAt));
    const retryAt = plus(now, delayMs);
    this.deferred.set(id, { firstAttemptAt, retryAt });
    return Math.max(1, Math.ceil((retryAt - now) / MS_PER_S));
  }

  /** Delay to the next free slot in the schedule; the schedule starts again when it exceeds the longest delay. */
  private nextDelayMs(now: SteadyMs): number {
    const latest = Math.max(this.nextRetryAt, now) as SteadyMs;
    this.nextRetryAt = plus(latest, MS_PER_S / this.acceptsPerS(now));
    if (this.nextRetryAt - now > MAX_RETRY_DELAY_MS) this.nextRetryAt = now;
    return this.nextRetryAt - now;
  }

  private acceptsPerS(now: SteadyMs): number {
    const windowStart = now - RATE_WINDOW_S * MS_PER_S;
    while (this.recentlyAccepted.length > 0 && this.recentlyAccepted[0]!.at < windowStart) {
      this.recentlyAccepted.shift();
    }
    const accepted = this.recentlyAccepted.reduce((sum, batch) => sum + batch.jobs, 0);
    return Math.max(this.minAcceptsPerS, (RATE_HEADROOM * accepted) / RATE_WINDOW_S);
  }

  private dropExpired(now: SteadyMs): void {
    for (const [id, { retryAt }] of this.deferred) {
      if (plus(retryAt, RETRY_GRACE_MS) < now) this.deferred.delete(id);
    }
  }
}

/** Bounds the delay of a job that has been retried for `elapsedMs`, so that it does not queue behind all newer jobs. */
function maxDelayMs(elapsedMs: number): number {
  return Math.max(MIN_RETRY_DELAY_MS, (RETRY_WINDOW_MS - elapsedMs) / 2);
}
