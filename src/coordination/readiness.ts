import type { StallAwareClock } from '../transport/stall-aware-clock.js';
import type { Reply } from '../transport/http.js';
import { encodeError } from '../protocol/jobs.js';
import type { JobCache } from '../storage/job-cache.js';
import type { StoreClient } from '../storage/store-client.js';
import type { PeerGossip } from './election/peer-gossip.js';
import type { MachineTypeCatalog } from './fleet/machine-type-catalog.js';

/**
 * Determines whether this controller reaches the state service, and whether it is ready to serve users. Decides nothing about
 * leadership, which depends on the store lease.
 */

/** A controller that reaches neither the state service nor any peer for this long considers itself isolated. */
const ISOLATION_MS = 6000;
/** Longest time without an answer of the state service at which it still counts as reachable. */
const STORE_UNRESPONSIVE_MS = 3500;
/** The same after consecutive failures: refused connections fail at once, so two in a row are stronger evidence than a long time without an answer. */
const FAILING_STORE_UNRESPONSIVE_MS = 800;
/** Consecutive failures after which the shorter limit applies. */
const FAILING_STORE_FAILURES = 2;

/** Tells whether this controller reaches the state service. */
export class StoreContact {
  constructor(
    private readonly store: Pick<StoreClient, 'lastContactAt' | 'consecutiveFailures'>,
    private readonly stallAwareClock: Pick<StallAwareClock, 'since'>,
  ) {}

  /** Milliseconds since the last answer, without the time in which this process was stalled. */
  msSinceContact(): number {
    return this.stallAwareClock.since(this.store.lastContactAt);
  }

  isReachable(): boolean {
    const msSinceContact = this.msSinceContact();
    const failing = this.store.consecutiveFailures >= FAILING_STORE_FAILURES;
    return msSinceContact < (failing ? FAILING_STORE_UNRESPONSIVE_MS : STORE_UNRESPONSIVE_MS);
  }
}

export interface ReadinessDependencies {
  readonly machineTypes: Pick<MachineTypeCatalog, 'isLoaded'>;
  readonly jobCache: Pick<JobCache, 'loaded'>;
  readonly peers: Pick<PeerGossip, 'allUnresponsiveFor' | 'anyReachesStore'>;
  readonly storeContact: StoreContact;
}

/** Answers the health check by which a load balancer routes users. */
export class Readiness {
  constructor(private readonly dependencies: ReadinessDependencies) {}

  reply(): Reply {
    const { machineTypes, jobCache } = this.dependencies;
    const loaded = machineTypes.isLoaded() && jobCache.loaded;
    const isolated = this.isIsolated();
    return loaded && !isolated ? { status: 200 } : { status: 503, body: encodeError('not ready') };
  }

  /**
   * Whether only this controller is cut off from the store, so that users are better served elsewhere. When every controller is cut off,
   * leaving the load balancer helps nobody and takes long to undo. A controller that reaches no peer either is more likely to be the
   * only one; staying in the load balancer, it would refuse a third of all users as long as that lasts.
   */
  private isIsolated(): boolean {
    const { peers, storeContact } = this.dependencies;
    const msSinceContact = storeContact.msSinceContact();
    const hasNoContact = peers.allUnresponsiveFor(ISOLATION_MS) && msSinceContact > ISOLATION_MS;
    return !storeContact.isReachable() && (peers.anyReachesStore() || hasNoContact);
  }
}
