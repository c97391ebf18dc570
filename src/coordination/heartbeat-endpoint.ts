import type { Reply } from '../transport/http.js';
import type { MemberName, Term } from '../protocol/ids.js';
import { encodeError } from '../protocol/jobs.js';
import type { HeartbeatReader } from '../protocol/heartbeat-reader.js';
import { encodeCommands, encodeLeaderRedirect } from '../protocol/heartbeats.js';
import type { HeartbeatAuthority } from './election/heartbeat-authority.js';
import type { IsolatedLeader } from './election/isolated-leader.js';
import type { LeaderElection } from './election/leader-election.js';
import type { Leader } from './leader/leader.js';

/**
 * The HTTP side of agents' heartbeats: reads them, redirects agents to the leader, and answers with 200 only where that may renew
 * the agent's lease. The content of a heartbeat is handled by the leader.
 */

export interface HeartbeatEndpointDependencies {
  readonly member: MemberName;
  readonly reader: HeartbeatReader;
  readonly election: Pick<LeaderElection, 'leadership' | 'knownLeader' | 'observeTerm'>;
  readonly authority: Pick<HeartbeatAuthority, 'mayRenewLeases'>;
  readonly isolatedLeader: Pick<IsolatedLeader, 'shouldTurnAway'>;
  /** Undefined while this controller doesn't lead. */
  readonly leader: () => Pick<Leader, 'handleHeartbeat'> | undefined;
}

/** Answers the heartbeats that agents send to this controller. */
export class HeartbeatEndpoint {
  /** The encoded answer without commands for the present term, kept because most answers carry only the token. */
  private emptyAnswer: { readonly term: Term; readonly body: Uint8Array } | undefined;

  constructor(private readonly dependencies: HeartbeatEndpointDependencies) {}

  handle(body: Uint8Array): Reply {
    const { reader, election, authority, isolatedLeader } = this.dependencies;
    const parsed = reader.read(body);
    if (!parsed.ok) return { status: 400, body: encodeError(parsed.error) };
    const heartbeat = parsed.value;
    const leadershipBefore = election.leadership;
    if (leadershipBefore && heartbeat.token > leadershipBefore.term) {
      election.observeTerm({ term: heartbeat.token, leader: undefined, address: undefined });
    }
    const { leadership } = election;
    const leader = this.dependencies.leader();
    if (!leadership || !leader) return this.redirect();
    if (!authority.mayRenewLeases() || isolatedLeader.shouldTurnAway(heartbeat.machine)) {
      return { status: 503, body: encodeError('cut off') };
    }
    const commands = leader.handleHeartbeat(heartbeat);
    if (!commands) return { status: 503, body: encodeError('a cancelled task does not end') };
    const { term } = leadership;
    if (commands.length > 0) return { status: 200, body: encodeCommands(term, commands) };
    if (this.emptyAnswer?.term !== term) this.emptyAnswer = { term, body: encodeCommands(term, []) };
    return { status: 200, body: this.emptyAnswer.body };
  }

  /** Names the leader if another controller is known to be the leader. */
  private redirect(): Reply {
    const { leader } = this.dependencies.election.knownLeader;
    const other = leader === this.dependencies.member ? undefined : leader;
    return { status: 421, body: encodeLeaderRedirect(other) };
  }
}
