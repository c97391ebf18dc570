import type { Clock, SteadyMs } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { FrameKind, type Frame, type Mesh } from '../../transport/mesh.js';
import {
  JOB_ID,
  type Address,
  type JobId,
  type MemberName,
  type Term,
  type ZoneName,
} from '../../protocol/ids.js';
import { MAX_CANCELLATIONS_PER_FRAME, type CancelledJobs } from './cancelled-jobs.js';
import { ZoneHeartbeatAges } from './zone-heartbeat-ages.js';

export interface KnownLeader {
  readonly term: Term;
  readonly leader: MemberName | undefined;
  readonly address: Address | undefined;
}

interface Peer {
  readonly member: MemberName;
  /** Incarnation of the latest answer to a ping; zero before the first. */
  incarnation: number;
  /** Incarnation of the latest accepted frame, ping or pong. */
  latestIncarnation: number;
  /** Earlier incarnations, whose delayed frames are dropped. */
  readonly pastIncarnations: Set<number>;
  /** Number of the last ping that was sent to any peer before `latestIncarnation` changed. */
  lastPingBeforeChange: number;
  /** When the first answer of `incarnation` arrived. */
  incarnationSeenAt: SteadyMs;
  /** When the newest answered ping was sent. */
  answeredPingAt: SteadyMs;
  /** When the newest ping was sent whose answer completed the peer's list of cancellations here. */
  completeAnswerPingAt: SteadyMs;
  term: Term;
  /** Number of the last entry of the peer's list of cancellations up to which all entries are known here. */
  listPosition: number;
  /** Entries up to `upTo` that the peer no longer lists and that were not all received; a read of the store at `at` or later closes the gap. */
  gap: { readonly upTo: number; readonly at: SteadyMs } | undefined;
  /** Incarnation of the peer when this controller last read all cancellations from the store. */
  storeReadIncarnation: number;
  /** Rejected frames of a peer are logged once. */
  rejectionLogged: boolean;
  storeOk: boolean;
  /** Refused connections since the last accepted frame. */
  refusals: number;
  /** Send times of the latest pings, by number. */
  readonly pendingPings: Map<number, SteadyMs>;
}

const PING_INTERVAL_MS = 400;

const isCount = (n: number): boolean => Number.isSafeInteger(n) && n >= 0;

/** Returns why the frame is malformed; undefined where it is well formed. */
function frameError(frame: Frame): string | undefined {
  if (frame.aborted.length > MAX_CANCELLATIONS_PER_FRAME) return 'too many cancellations';
  if (!frame.aborted.every((id) => JOB_ID.test(id))) return 'a cancellation with an invalid job id';
  if (![frame.after, frame.last, frame.listedFrom].every(isCount)) return 'an invalid entry number';
  if (frame.listedFrom > 0 && frame.last !== frame.listedFrom - 1 + frame.aborted.length)
    return 'entry numbers do not match the length of the list';
  return undefined;
}

/**
 * Whether a frame of an incarnation that was taken for a past one proves that it is the present one: it answers a ping that was sent
 * after the change. The change was then due to a late frame of an incarnation that had ended before.
 */
const provesPresence = (peer: Peer, frame: Frame): boolean =>
  frame.kind === FrameKind.Pong &&
  frame.number > peer.lastPingBeforeChange &&
  peer.pendingPings.has(frame.number);

/**
 * Exchanges between controllers: the newest term and the cancelled jobs that each knows. Both let a leader without the store
 * answer heartbeats for a while without renewing leases past the bound on cancellations.
 */
export class PeerGossip {
  private readonly peers: readonly Peer[];
  private lastPingNumber = 0;
  /** Milliseconds since this controller, as the leader, received a heartbeat from each zone; sent to the others. */
  leaderZoneHeartbeatAges: () => ReadonlyMap<ZoneName, number> | undefined = () => undefined;
  /** The same as earlier leaders sent it. */
  readonly zoneHeartbeatAges = new ZoneHeartbeatAges();
  onTermObserved: (known: KnownLeader) => void = () => undefined;
  /** A peer refuses connections and has sent no frame since the first refusal. */
  onPeerDown: (member: MemberName) => void = () => undefined;
  /** A peer has a new incarnation, in which it is not the leader. */
  onPeerRestarted: (member: MemberName) => void = () => undefined;

  constructor(
    private readonly mesh: Mesh,
    private readonly clock: Clock,
    private readonly self: MemberName,
    private readonly incarnation: number,
    peers: readonly MemberName[],
    private readonly knownLeader: () => KnownLeader,
    private readonly storeOk: () => boolean,
    private readonly cancelled: Pick<CancelledJobs, 'add' | 'entriesAfter'>,
    private readonly log: Log,
  ) {
    const never = (clock.now() - 3_600_000) as SteadyMs;
    // Incarnations of this controller use disjoint ping numbers, since an answer to a ping of an earlier one may arrive here. Taken for
    // an answer to this incarnation's ping, it would confirm for a time after it was sent that no newer term is known.
    this.lastPingNumber = (incarnation % 2 ** 20) * 2 ** 32;
    this.peers = peers.map((member) => ({
      member,
      incarnation: 0,
      latestIncarnation: 0,
      pastIncarnations: new Set(),
      lastPingBeforeChange: 0,
      incarnationSeenAt: never,
      answeredPingAt: never,
      completeAnswerPingAt: never,
      term: 0n as Term,
      listPosition: 0,
      gap: undefined,
      storeReadIncarnation: -1,
      rejectionLogged: false,
      storeOk: false,
      refusals: 0,
      pendingPings: new Map(),
    }));
    mesh.onFrame((frame) => this.receive(frame));
    mesh.onRefused((member) => this.onConnectionRefused(member));
  }

  start(): void {
    const pingAll = (): void => {
      for (const peer of this.peers) this.ping(peer);
      this.clock.after(PING_INTERVAL_MS, pingAll);
    };
    pingAll();
  }

  /**
   * Records that everything in the store at `at` has been read. Cancellations that a peer confirmed before then are known, also those of
   * an earlier incarnation or so old that the peer no longer lists them. From here on, each peer's present incarnation must be
   * followed without a gap. An incarnation first seen after `at` doesn't count: the one before it may have confirmed a cancellation that
   * the read doesn't contain.
   */
  recordStoreRead(at: SteadyMs): void {
    for (const peer of this.peers) {
      if (peer.incarnation === 0 || at < peer.incarnationSeenAt) continue;
      peer.storeReadIncarnation = peer.incarnation;
      if (!peer.gap || at < peer.gap.at) continue;
      peer.listPosition = Math.max(peer.listPosition, peer.gap.upTo);
      peer.gap = undefined;
    }
  }

  /**
   * Returns the time up to which every peer has confirmed that it knows no newer term and has sent all its cancellations;
   * undefined where a peer knows a newer term, or its present incarnation isn't covered by a read of the store.
   */
  confirmedAt(term: Term): SteadyMs | undefined {
    let oldest: SteadyMs | undefined;
    for (const peer of this.peers) {
      if (peer.incarnation === 0 || peer.storeReadIncarnation !== peer.incarnation || peer.term > term)
        return undefined;
      if (oldest === undefined || peer.completeAnswerPingAt < oldest) oldest = peer.completeAnswerPingAt;
    }
    return oldest;
  }

  /** Whether no peer has answered a ping that was sent within this time. */
  allUnresponsiveFor(ms: number): boolean {
    const now = this.clock.now();
    return this.peers.length > 0 && this.peers.every((peer) => now - peer.answeredPingAt > ms);
  }

  anyReachesStore(): boolean {
    const now = this.clock.now();
    return this.peers.some((peer) => peer.storeOk && now - peer.answeredPingAt < 2500);
  }

  private createFrame(kind: FrameKind, number: number, extra: Partial<Frame> = {}): Frame {
    const known = this.knownLeader();
    return {
      from: this.self,
      incarnation: this.incarnation,
      kind,
      number,
      term: known.term.toString(),
      holder: known.leader ?? '',
      holderAddress: known.address ?? '',
      storeOk: this.storeOk(),
      after: 0,
      aborted: [],
      listedFrom: 0,
      last: 0,
      whole: false,
      ...this.zoneAges(),
      ...extra,
    };
  }

  private zoneAges(): Pick<Frame, 'zones' | 'zoneAgesMs'> {
    const ages = [...(this.leaderZoneHeartbeatAges() ?? [])];
    const age = (ms: number): number => Math.max(0, Math.min(3_600_000, Math.ceil(ms)));
    return { zones: ages.map(([zone]) => zone), zoneAgesMs: ages.map(([, ms]) => age(ms)) };
  }

  /**
   * Sends a cancellation to the other controllers at once, just before the user's request is answered, instead of up to one ping interval
   * later. Otherwise the leader may start tasks of the job in the tenth of a second after another controller confirmed the cancellation.
   * This only makes it sooner: the peers rely on the list that they ask for.
   */
  announceCancellation(id: JobId): void {
    for (const peer of this.peers) this.ping(peer, [id]);
  }

  private ping(peer: Peer, aborted: readonly JobId[] = []): void {
    const number = ++this.lastPingNumber;
    peer.pendingPings.set(number, this.clock.now());
    if (peer.pendingPings.size > 64) {
      const oldest = peer.pendingPings.keys().next().value;
      if (oldest !== undefined) peer.pendingPings.delete(oldest);
    }
    this.mesh.send(
      peer.member,
      this.createFrame(FrameKind.Ping, number, { after: peer.listPosition, aborted }),
    );
  }

  private onConnectionRefused(member: string): void {
    const peer = this.peers.find((p) => p.member === member);
    if (!peer) return;
    peer.refusals++;
    // A peer counts as down after two refusals in a row, a ping interval apart; replacing a link causes none. Another peer
    // must answer as well: when all refuse, a local packet filter is likelier than that all ended at once, and the expiry of the lease
    // settles it soon enough. Without this condition, three controllers can force elections against one another in turn.
    const now = this.clock.now();
    const otherPeers = this.peers.filter((p) => p !== peer);
    const otherAnswers = otherPeers.some(
      (p) => p.refusals === 0 && now - p.answeredPingAt < 4 * PING_INTERVAL_MS,
    );
    if (peer.refusals >= 2 && (otherAnswers || otherPeers.length === 0)) this.onPeerDown(peer.member);
  }

  private receive(frame: Frame): void {
    const peer = this.peers.find((p) => p.member === frame.from);
    if (!peer) return;
    if (peer.pastIncarnations.has(frame.incarnation) && !provesPresence(peer, frame)) return;
    const error = frameError(frame);
    if (error !== undefined) return this.logRejection(peer, error);
    peer.refusals = 0;
    const changed = peer.latestIncarnation !== 0 && frame.incarnation !== peer.latestIncarnation;
    const restarted = changed && !peer.pastIncarnations.has(frame.incarnation);
    if (changed) this.changeIncarnation(peer, frame.incarnation);
    peer.latestIncarnation = frame.incarnation;
    let term: Term;
    try {
      term = BigInt(frame.term === '' ? '0' : frame.term) as Term;
    } catch {
      return;
    }
    this.onTermObserved({
      term,
      leader: frame.holder === '' ? undefined : (frame.holder as MemberName),
      address: frame.holderAddress === '' ? undefined : (frame.holderAddress as Address),
    });
    // The peer may restart so quickly that no connection is refused; a leader's earlier process has ended all the same.
    if (restarted && frame.holder !== peer.member) this.onPeerRestarted(peer.member);
    if (frame.kind === FrameKind.Ping) {
      for (const id of frame.aborted) this.cancelled.add(id as JobId);
      const { jobs, first, last, complete } = this.cancelled.entriesAfter(frame.after);
      this.mesh.send(
        peer.member,
        this.createFrame(FrameKind.Pong, frame.number, {
          aborted: jobs,
          listedFrom: first,
          last,
          whole: complete,
        }),
      );
      return;
    }
    const sentAt = peer.pendingPings.get(frame.number);
    if (sentAt === undefined) return;
    const now = this.clock.now();
    frame.zones.forEach((zone, i) => {
      this.zoneHeartbeatAges.record(zone as ZoneName, frame.zoneAgesMs[i] ?? 0, now);
    });
    if (frame.incarnation !== peer.incarnation) {
      peer.incarnation = frame.incarnation;
      peer.incarnationSeenAt = now;
      peer.listPosition = 0;
      peer.gap = undefined;
    }
    if (term > peer.term) peer.term = term;
    if (this.mergeCancellations(peer, frame, now) && sentAt > peer.completeAnswerPingAt)
      peer.completeAnswerPingAt = sentAt;
    if (sentAt > peer.answeredPingAt) {
      peer.answeredPingAt = sentAt;
      peer.storeOk = frame.storeOk;
    }
  }

  private changeIncarnation(peer: Peer, incarnation: number): void {
    peer.pastIncarnations.add(peer.latestIncarnation);
    peer.pastIncarnations.delete(incarnation);
    peer.lastPingBeforeChange = this.lastPingNumber;
  }

  /**
   * Adds the cancellations that the peer lists. Returns whether all of the peer's cancellations are now known: the list continues at
   * the known position and reaches the peer's last entry. A list after a gap, or no list at all, confirms nothing.
   */
  private mergeCancellations(peer: Peer, frame: Frame, now: SteadyMs): boolean {
    for (const id of frame.aborted) this.cancelled.add(id as JobId);
    if (frame.listedFrom === 0) {
      this.logRejection(peer, 'no list of cancellations');
      return false;
    }
    if (frame.listedFrom - 1 > peer.listPosition) {
      peer.gap ??= { upTo: frame.listedFrom - 1, at: now };
      return false;
    }
    // A newer answer arrived before this one, or the peer's numbers went back.
    if (frame.last < peer.listPosition) return false;
    peer.listPosition = frame.last;
    return frame.whole;
  }

  private logRejection(peer: Peer, reason: string): void {
    if (peer.rejectionLogged) return;
    peer.rejectionLogged = true;
    this.log.error('peer-frame-rejected', { peer: peer.member, why: reason });
  }
}
