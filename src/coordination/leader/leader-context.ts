import type { Clock } from '../../transport/clock.js';
import type { Random } from '../../transport/random.js';
import type { Log } from '../../transport/log.js';
import type { Metrics } from '../../transport/metrics.js';
import type { OperatorSettings } from '../../protocol/operator-settings.js';
import type { HeartbeatReader } from '../../protocol/heartbeat-reader.js';
import type { Settings } from '../../protocol/settings.js';
import type { RuntimeEstimates } from '../../cluster/runtime-estimates.js';
import type { JobCache } from '../../storage/job-cache.js';
import type { StoreClient } from '../../storage/store-client.js';
import type { ClusterState } from '../../cluster/cluster-state.js';
import type { ElasticDependencies, ElasticJobManager } from '../elastic/elastic-job-manager.js';
import type { FleetServices } from '../fleet/fleet-manager.js';
import type { FairSharePolicy } from '../fair-share/index.js';
import type { PipelineManager } from '../pipelines/pipeline-manager.js';
import type { Leadership, LeaderElection } from '../election/leader-election.js';
import type { MachineTypeCatalog } from '../fleet/machine-type-catalog.js';

/** What a leader needs from its controller. */
export interface LeaderDependencies extends FleetServices {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly store: StoreClient;
  readonly jobCache: JobCache;
  readonly election: LeaderElection;
  readonly types: MachineTypeCatalog;
  readonly settings: Settings;
  readonly operator: OperatorSettings;
  readonly metrics: Metrics;
  readonly reader: HeartbeatReader;
  /** How long after a cancellation is known a lease may still be renewed although the agent doesn't obey it. */
  readonly unobeyedCancellationLimitMs: number;
  /** Present only where pipelines are enabled. */
  readonly pipelines?: PipelineManager | undefined;
  /** Present only where elastic jobs are enabled. */
  readonly createElasticJobManager?:
    ((dependencies: ElasticDependencies, cluster: ClusterState) => ElasticJobManager) | undefined;
}

/**
 * What the loops of one term share: their leadership, the cluster state, and how to wake one another. `View` is the part of the cluster
 * state that a loop may read and write (`cluster-state-views.ts`).
 */
export interface LeaderContext<View = ClusterState> {
  readonly dependencies: LeaderDependencies;
  readonly leadership: Leadership;
  readonly estimates: RuntimeEstimates;
  /** Undefined until the cluster state is loaded. */
  readonly cluster: View | undefined;
  /** Present only where elastic jobs are enabled. */
  readonly elastic: ElasticJobManager | undefined;
  /** Present unless the operators disabled fair sharing. */
  readonly fairShare: FairSharePolicy | undefined;
  /** Whether this controller is still the leader of this term; every loop ends when it isn't. */
  isActive(): boolean;
  /** Wakes the loops after a change that may require a scheduling cycle or a completion commit. */
  wake(): void;
}
