import { RequestPriority } from '../../transport/rate-limiter.js';
import { MAX_CLOCK_DRIFT, sleep, type Clock, type SteadyMs } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { jitter, type Random } from '../../transport/random.js';
import { parse } from '../../protocol/codec.js';
import {
  NO_REVISION,
  type Address,
  type LeaseId,
  type ModRevision,
  type MemberName,
  type Term,
} from '../../protocol/ids.js';
import type { Condition } from '../../protocol/state.js';
import {
  electionTermSchema,
  leaderRecordSchema,
  Keys,
  Prefix,
  seal,
  unseal,
  type LeaderRecord,
} from '../../storage/records.js';
import type { StoreClient } from '../../storage/store-client.js';
import type { KnownLeader } from './peer-gossip.js';

/**
 * One uninterrupted leadership: the object stays the same until it ends. Raising the fencing token changes `term` and `modRevision` in place.
 */
export interface Leadership {
  term: Term;
  modRevision: ModRevision;
  readonly lease: LeaseId;
}

/** Minimum time between two elections that this controller forces. */
const FORCED_ELECTION_INTERVAL_MS = 20_000;
/** For this long after resigning, a controller lets others be elected first. */
const RESIGNATION_BACKOFF_MS = 30_000;
/** How long the leader key has to stay absent during the backoff before the controller that resigned is a candidate again. */
const RESIGNATION_RECHECK_MS = 2500;

/** The two election keys as read from the store, with their mod revisions. */
interface ElectionState {
  readonly leader: { readonly record: LeaderRecord; readonly modRevision: ModRevision } | undefined;
  readonly electionTerm: { readonly term: Term; readonly modRevision: ModRevision };
}

/**
 * Leader election through a key in the store that is bound to the leader's store lease. Writing that key takes over all job records
 * at once; a record carries the new term only from its next write. Every write of a leader is conditioned on the key's mod revision, so that writes of
 * an earlier leader that are still in flight fail, however late they arrive.
 */
export class LeaderElection {
  private currentLeadership: Leadership | undefined;
  private leaseValidUntil: SteadyMs;
  private newestKnownLeader: KnownLeader = { term: 0n as Term, leader: undefined, address: undefined };
  onElected: (leadership: Leadership) => void = () => undefined;
  onLeadershipLost: (reason: string) => void = () => undefined;
  /** The restart that is under way, and the leadership that it is to replace. */
  private restart: { readonly of: Leadership; readonly done: Promise<void> } | undefined;

  constructor(
    private readonly store: StoreClient,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
    private readonly self: MemberName,
    private readonly address: Address,
    private readonly leaseMs: number,
  ) {
    this.leaseValidUntil = clock.now();
  }

  get leadership(): Leadership | undefined {
    return this.currentLeadership;
  }

  get knownLeader(): KnownLeader {
    return this.newestKnownLeader;
  }

  /** Whether the store lease is certainly still valid, so that new decisions may be made. */
  canDecide(): boolean {
    return this.currentLeadership !== undefined && this.clock.now() < this.leaseValidUntil;
  }

  leadershipCondition(): Condition | undefined {
    return this.currentLeadership
      ? { key: Keys.leader, modRevision: this.currentLeadership.modRevision }
      : undefined;
  }

  observeTerm(known: KnownLeader): void {
    if (
      known.term > this.newestKnownLeader.term ||
      (known.term === this.newestKnownLeader.term && !this.newestKnownLeader.leader)
    ) {
      this.newestKnownLeader = known;
    }
    const isOwnTerm = (this.isRestarting || this.raisingToken) && known.leader === this.self;
    if (this.currentLeadership && known.term > this.currentLeadership.term && !isOwnTerm)
      this.loseLeadership('a newer term exists');
  }

  loseLeadership(reason: string): void {
    if (!this.currentLeadership) return;
    this.log.info('leadership-lost', { term: this.currentLeadership.term, why: reason });
    const { lease } = this.currentLeadership;
    this.currentLeadership = undefined;
    this.onLeadershipLost(reason);
    void this.store.endLease(lease);
  }

  private resignationBackoffUntil = -Infinity;

  /** Steps down so that another controller can be elected; is a candidate again only if none is elected for a while. */
  resign(reason: string): void {
    this.resignationBackoffUntil = this.clock.now() + RESIGNATION_BACKOFF_MS;
    this.loseLeadership(reason);
  }

  start(): void {
    void this.renewLoop();
    void this.watchLoop();
  }

  private async renewLoop(): Promise<never> {
    for (;;) {
      await sleep(this.clock, this.leaseMs / 5);
      const leadership = this.currentLeadership;
      if (leadership) void this.renew(leadership);
    }
  }

  private async renew(leadership: Leadership): Promise<void> {
    const sentAt = this.clock.now();
    const result = await this.store.renewLease(leadership.lease, this.leaseMs / 2);
    if (this.currentLeadership?.lease !== leadership.lease) return;
    if (result.ok && result.value === 'renewed') this.extendLease(sentAt);
    else if (result.ok) this.loseLeadership('the store lease expired');
  }

  private extendLease(sentAt: SteadyMs): void {
    const validUntil = (sentAt + this.leaseMs * (1 - MAX_CLOCK_DRIFT)) as SteadyMs;
    if (validUntil > this.leaseValidUntil) this.leaseValidUntil = validUntil;
  }

  private async readElectionState(): Promise<(ElectionState & { revision: bigint }) | undefined> {
    const range = await this.store.range(Prefix.election, RequestPriority.Lease);
    if (!range.ok) return undefined;
    let leader: ElectionState['leader'];
    let electionTerm: ElectionState['electionTerm'] = { term: 0n as Term, modRevision: NO_REVISION };
    for (const entry of range.value.entries) {
      if (entry.key === Keys.leader) {
        const record = unseal(leaderRecordSchema, entry.value);
        if (record.ok) leader = { record: record.value, modRevision: entry.modRevision };
        else this.log.error('leader-record-unreadable', { why: record.error });
      } else if (entry.key === Keys.electionTerm) {
        const record = unseal(electionTermSchema, entry.value);
        if (record.ok) electionTerm = { term: record.value.term, modRevision: entry.modRevision };
      }
    }
    if (leader) {
      this.observeTerm({
        term: leader.record.term,
        leader: leader.record.member,
        address: leader.record.address,
      });
    }
    return { leader, electionTerm, revision: range.value.revision };
  }

  private async watchLoop(): Promise<never> {
    for (;;) {
      const state = await this.readElectionState();
      if (!state) {
        await sleep(this.clock, jitter(this.random, 300));
        continue;
      }
      if (!state.leader) {
        if (this.currentLeadership && !this.isRestarting)
          this.loseLeadership('the leader key no longer exists');
        if (!this.currentLeadership && this.clock.now() < this.resignationBackoffUntil) {
          await sleep(this.clock, RESIGNATION_RECHECK_MS);
          const recheckedState = await this.readElectionState();
          if (!recheckedState || recheckedState.leader) continue;
        }
        if (!this.currentLeadership) {
          await this.acquireLeadership(state);
          continue;
        }
      } else if (
        state.leader.record.member === this.self &&
        state.leader.record.lease !== this.currentLeadership?.lease
      ) {
        // The lease belongs to an earlier incarnation of this controller, which has certainly ended: there is no need to wait for its expiry.
        this.log.info('stale-lease-released', { term: state.leader.record.term });
        await this.store.endLease(state.leader.record.lease);
        continue;
      } else if (
        this.currentLeadership &&
        state.leader.record.lease !== this.currentLeadership.lease &&
        !this.isRestarting
      ) {
        this.loseLeadership('another controller is the leader');
      }
      const changes = await this.store.changes(
        Prefix.election,
        state.revision as never,
        4000,
        RequestPriority.Lease,
      );
      if (!changes.ok) await sleep(this.clock, jitter(this.random, 300));
    }
  }

  private electionForcedAt = -Infinity;

  /**
   * Replaces the leader `from` without waiting for its lease to expire, because its refused connections or its restart
   * suggest that its process has ended. That is no proof and needs none: an election is safe at any time, since the fencing condition
   * protects the store, not the lease. The minimum interval keeps a leader that is alive behind a packet filter
   * and this controller from replacing each other in turn.
   */
  async forceElection(from: MemberName): Promise<void> {
    const now = this.clock.now();
    if (
      this.currentLeadership ||
      this.newestKnownLeader.leader !== from ||
      now - this.electionForcedAt < FORCED_ELECTION_INTERVAL_MS
    )
      return;
    this.electionForcedAt = now;
    const { term } = this.newestKnownLeader;
    const state = await this.readElectionState();
    // A new incarnation of the same controller may have been elected meanwhile: that one is alive.
    // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- it may have been elected during the read
    if (this.currentLeadership || state?.leader?.record.member !== from || state.leader.record.term !== term)
      return;
    this.log.info('election-forced', { from, term: state.leader.record.term });
    await this.acquireLeadership(state, state.leader.modRevision);
  }

  private async acquireLeadership(
    state: ElectionState,
    expectedModRevision: ModRevision = NO_REVISION,
  ): Promise<void> {
    const sentAt = this.clock.now();
    const lease = await this.store.grantLease(this.leaseMs);
    if (!lease.ok) {
      await sleep(this.clock, jitter(this.random, 200));
      return;
    }
    const leadership = await this.writeLeaderRecord(state, lease.value, expectedModRevision);
    if (leadership && this.currentLeadership) return;
    if (!leadership) {
      void this.store.endLease(lease.value);
      await sleep(this.clock, jitter(this.random, 100));
      return;
    }
    this.becomeLeader(leadership, sentAt);
  }

  private becomeLeader(leadership: Leadership, grantRequestedAt?: SteadyMs): void {
    this.currentLeadership = leadership;
    if (grantRequestedAt !== undefined) this.extendLease(grantRequestedAt);
    this.newestKnownLeader = { term: leadership.term, leader: this.self, address: this.address };
    this.log.info('leader-elected', { term: leadership.term });
    this.onElected(leadership);
  }

  private async writeLeaderRecord(
    state: ElectionState,
    lease: LeaseId,
    expectedModRevision: ModRevision,
  ): Promise<Leadership | undefined> {
    const highestTerm =
      state.electionTerm.term > this.newestKnownLeader.term
        ? state.electionTerm.term
        : this.newestKnownLeader.term;
    const term = (highestTerm + 1n) as Term;
    const record: LeaderRecord = { member: this.self, term, lease, address: this.address };
    const outcome = await this.store.txn(
      [
        { key: Keys.leader, modRevision: expectedModRevision },
        { key: Keys.electionTerm, modRevision: state.electionTerm.modRevision },
      ],
      [
        { op: 'put', key: Keys.leader, value: seal(record), lease },
        { op: 'put', key: Keys.electionTerm, value: seal({ term }) },
      ],
      RequestPriority.Lease,
    );
    if (outcome.ok) {
      return outcome.value.kind === 'committed'
        ? { term, modRevision: outcome.value.revision as unknown as ModRevision, lease }
        : undefined;
    }
    if (outcome.error.kind !== 'unknown') return undefined;
    // The outcome is unknown, so the key is read back. If that fails, the caller ends the lease, and a transaction applied late ends with it.
    const entry = await this.store.get(Keys.leader, RequestPriority.Lease);
    if (!entry.ok || !entry.value) return undefined;
    const current = parse(leaderRecordSchema, (entry.value.value as { body?: unknown }).body);
    if (!current.ok || current.value.lease !== lease || current.value.term !== term) return undefined;
    return { term, modRevision: entry.value.modRevision, lease };
  }

  private raisingToken = false;

  /**
   * Raises the fencing token under the same lease; the leader keeps its cluster state. The caller must have no write in flight
   * and no write whose outcome is unknown.
   */
  async raiseFencingToken(reason: string): Promise<boolean> {
    const { currentLeadership: leadership } = this;
    if (!leadership || this.isRestarting || this.raisingToken) return false;
    this.raisingToken = true;
    try {
      const state = await this.readElectionState();
      if (
        !state?.leader ||
        this.currentLeadership !== leadership ||
        state.leader.modRevision !== leadership.modRevision
      )
        return false;
      const next = await this.writeLeaderRecord(state, leadership.lease, leadership.modRevision);
      if (this.currentLeadership !== leadership) return false;
      if (!next) {
        // The write was rejected or its outcome is unknown: only the store can tell which.
        void this.restartTerm('raising the fencing token was not confirmed');
        return false;
      }
      leadership.term = next.term;
      leadership.modRevision = next.modRevision;
      this.newestKnownLeader = { term: next.term, leader: this.self, address: this.address };
      this.log.info('fencing-token-raised', { term: next.term, why: reason });
      return true;
    } finally {
      this.raisingToken = false;
    }
  }

  /**
   * Starts a new term under the same lease after a commit with an unknown outcome, which may still be applied later. The new term
   * makes all writes in flight fail, and the cluster state is loaded again from the store.
   */
  async restartTerm(reason: string): Promise<void> {
    const { currentLeadership } = this;
    if (!currentLeadership) return;
    // The restart of an earlier leadership may still wait for the store. It ends without an effect, and does not count for this one.
    if (!this.isRestarting)
      this.restart = { of: currentLeadership, done: this.replaceTerm(currentLeadership, reason) };
    await this.restart?.done;
  }

  /** Whether the present leadership is being replaced by a new term of this controller. */
  private get isRestarting(): boolean {
    return this.restart !== undefined && this.restart.of === this.currentLeadership;
  }

  private async replaceTerm(previous: Leadership, reason: string): Promise<void> {
    this.log.info('term-restarted', { term: previous.term, why: reason });
    for (;;) {
      if (this.currentLeadership !== previous) return;
      const state = await this.readElectionState();
      if (this.currentLeadership !== previous) return;
      if (state) {
        if (state.leader?.record.lease !== previous.lease) {
          this.loseLeadership('the leader key belongs to another lease');
          return;
        }
        const leadership = await this.writeLeaderRecord(state, previous.lease, state.leader.modRevision);
        if (this.currentLeadership !== previous) return;
        if (leadership) {
          this.currentLeadership = undefined;
          this.onLeadershipLost('term restarted');
          this.becomeLeader(leadership);
          return;
        }
      }
      await sleep(this.clock, jitter(this.random, 200));
    }
  }
}
