/**
 * The dependencies of heartbeat handling. The leader builds a context for one heartbeat or one command reply; a context owns no
 * state.
 */
import type { Clock } from '../../transport/clock.js';
import type { StallAwareClock } from '../../transport/stall-aware-clock.js';
import type { Metrics } from '../../transport/metrics.js';
import type { Log } from '../../transport/log.js';
import type { Term, ZoneName } from '../../protocol/ids.js';
import type { Machine } from '../../cluster/cluster-state.js';
import type { RuntimeEstimates } from '../../cluster/runtime-estimates.js';
import type { AgentClusterState } from '../leader/cluster-state-views.js';
import type { LeaderContext } from '../leader/leader-context.js';
import type { HeartbeatMonitor } from './heartbeat-monitor.js';

/** Dependencies of the functions that handle heartbeats and command replies. */
export interface HeartbeatContext {
  readonly cluster: AgentClusterState;
  readonly clock: Clock;
  readonly log: Log;
  readonly estimates: RuntimeEstimates;
  readonly metrics: Metrics;
  /** Size of the machine's image cache in GB; infinite where its type is not known. */
  readonly imageCacheGb: (machine: Machine) => number;
  /** Whether this controller is certainly the leader; otherwise a reply carries no start. */
  readonly mayStartTasks: () => boolean;
  /** Makes the scheduling loop and the completion writer look at the cluster state again. */
  readonly wake: () => void;
  /** Measures elapsed time without the time in which this process was stalled. */
  readonly stallAwareClock: Pick<StallAwareClock, 'since'>;
  readonly leaseS: number;
  /** The fencing token that the reply carries. */
  readonly fencingToken: () => Term;
  /** Called for each heartbeat that proves its machine alive. */
  readonly onHeartbeat: (zone: ZoneName) => void;
  /** Called for each heartbeat that may be a late copy. */
  readonly onUnverifiedHeartbeat: () => void;
}

/** Builds the context from the leader. Replies to commands have no `monitor`: they do not count as heartbeats of a zone. */
export function heartbeatContext(
  leader: LeaderContext<AgentClusterState>,
  cluster: AgentClusterState,
  monitor?: HeartbeatMonitor,
): HeartbeatContext {
  const { dependencies } = leader;
  return {
    cluster,
    clock: dependencies.clock,
    log: dependencies.log,
    estimates: leader.estimates,
    metrics: dependencies.metrics,
    imageCacheGb: (machine) => dependencies.types.all().get(machine.type)?.cacheGb ?? Infinity,
    mayStartTasks: () => dependencies.election.canDecide(),
    wake: () => leader.wake(),
    stallAwareClock: dependencies.stallAwareClock,
    leaseS: dependencies.settings.workers.leaseS,
    fencingToken: () => leader.leadership.term,
    onHeartbeat: (zone) => monitor?.recordHeartbeat(zone),
    onUnverifiedHeartbeat: () => monitor?.recordUnverifiedHeartbeat(),
  };
}
