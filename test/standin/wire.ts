import { Cancelled } from '../../src/coordination/term/cancelled.js';
import { Peers, type KnownTerm } from '../../src/coordination/term/peers.js';
import type { MemberName, Term } from '../../src/protocol/ids.js';
import { silentLog } from '../../src/transport/log.js';
import { FrameKind, type Frame, type Mesh } from '../../src/transport/mesh.js';
import { ProcessClock, World } from './clock.js';

/** One controller's side of the links to its only peer, `b`, without a network: what it sends, and whatever `b` is made to say. */
export interface Wire {
  readonly peers: Peers;
  readonly sent: Frame[];
  readonly restarted: string[];
  /** Events that were logged as errors. */
  readonly errors: string[];
  readonly cancelled: Cancelled;
  readonly clock: ProcessClock;
  readonly world: World;
  say(f: Partial<Frame>): void;
}

export function wire(incarnation: number): Wire {
  const world = new World();
  const clock = new ProcessClock(world, 1, 0);
  const sent: Frame[] = [];
  const restarted: string[] = [];
  const errors: string[] = [];
  const cancelled = new Cancelled(clock);
  let deliver: (f: Frame) => void = () => undefined;
  const mesh: Mesh = {
    send: (_, f) => void sent.push(f),
    onFrame: (listen) => void (deliver = listen),
    onRefused: () => undefined,
  };
  const known: KnownTerm = { term: 4n as Term, holder: 'b' as MemberName, address: undefined };
  const peers = new Peers(
    mesh,
    clock,
    'a' as MemberName,
    incarnation,
    ['b' as MemberName],
    () => known,
    () => true,
    cancelled,
    { ...silentLog, error: (event) => void errors.push(event) },
  );
  peers.onRestarted = (m) => void restarted.push(m);
  peers.start();
  const base: Frame = {
    from: 'b',
    incarnation: 50,
    kind: FrameKind.Pong,
    number: 0,
    term: '4',
    holder: '',
    holderAddress: '',
    storeOk: true,
    after: 0,
    aborted: [],
    listedFrom: 1,
    last: 0,
    whole: true,
    zones: [],
    zoneAgesMs: [],
  };
  return { peers, sent, restarted, errors, cancelled, clock, world, say: (f) => deliver({ ...base, ...f }) };
}
