import type { Clock } from '../transport/clock.js';
import type { Reply, Route } from '../transport/http.js';
import type { Metrics } from '../transport/metrics.js';
import { JOB_ID, type JobId, type TeamName } from '../protocol/ids.js';
import type { Settings, TeamLimits } from '../protocol/settings.js';
import type { JobCache } from '../storage/job-cache.js';
import { clusterOverview, explainJob, type ExplainContext } from './explain/explain.js';
import type { LeaderElection } from './election/leader-election.js';
import type { MachineTypeCatalog } from './fleet/machine-type-catalog.js';
import type { Leader } from './leader/leader.js';
import type { PipelineManager } from './pipelines/pipeline-manager.js';
import type { StoreContact } from './readiness.js';
import type { JobApi } from './users/job-api.js';

/**
 * The operators' read-only HTTP interface: metrics, names for completion, the cluster's overview and why a job waits. Operators' tools
 * read the names of the answers' fields, which never change. Changes nothing in the cluster.
 */

/** Paths for operators; those for users and agents are part of the protocol. */
export const OPERATOR_PATHS = {
  explain: '/ops/explain/:id',
  metrics: '/ops/metrics',
  names: '/ops/names',
  overview: '/ops/overview',
} as const;

/** A heartbeat counts as overdue after two and a half intervals: it may be a quarter late, and one may be lost. */
const OVERDUE_MS_PER_INTERVAL_S = 2500;

const json = (status: number, value: unknown): Reply => ({
  status,
  body: Buffer.from(`${JSON.stringify(value)}\n`),
  headers: { 'content-type': 'application/json' },
});

/** Describes a job that the leader doesn't know, by the status of the users' answer. */
function describeUnknownJob(status: number): string {
  if (status === 200) return 'It is over.';
  if (status === 404) return 'It was never accepted.';
  return 'The state service is unavailable.';
}

export interface OperatorApiDependencies {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly teams: ReadonlyMap<TeamName, TeamLimits>;
  readonly jobCache: Pick<JobCache, 'entries'>;
  readonly machineTypes: Pick<MachineTypeCatalog, 'all'>;
  readonly storeContact: StoreContact;
  readonly election: Pick<LeaderElection, 'knownLeader'>;
  readonly jobApi: Pick<JobApi, 'show'>;
  readonly pipelines: PipelineManager | undefined;
  /** Undefined while this controller doesn't lead. */
  readonly leader: () => Leader | undefined;
}

/** Answers the operators' requests from what this controller knows. */
export class OperatorApi {
  constructor(private readonly dependencies: OperatorApiDependencies) {}

  readonly routes: readonly Route[] = [
    { method: 'GET', path: OPERATOR_PATHS.explain, handle: (params) => this.explain(params['id'] ?? '') },
    {
      method: 'GET',
      path: OPERATOR_PATHS.metrics,
      handle: () => json(200, this.dependencies.metrics.snapshot()),
    },
    { method: 'GET', path: OPERATOR_PATHS.names, handle: () => this.names() },
    { method: 'GET', path: OPERATOR_PATHS.overview, handle: () => this.overview() },
  ];

  /** Names that the command line completes: teams, classes of present jobs or of the settings' objectives, and machine types. */
  private names(): Reply {
    const { settings, jobCache, teams, machineTypes } = this.dependencies;
    const classes = new Set(settings.objectives.flatMap((objective) => objective.class ?? []));
    for (const [, { record }] of jobCache.entries()) classes.add(record.spec.class);
    return json(200, {
      teams: [...teams.keys()].sort(),
      classes: [...classes].sort(),
      types: [...machineTypes.all().keys()].sort(),
    });
  }

  /** The leader's view of the cluster, for a console; other controllers name the leader. */
  private overview(): Reply {
    const { settings } = this.dependencies;
    const leader = this.dependencies.leader();
    if (!leader?.cluster) return json(200, this.leaderLocation());
    const overdueMs = settings.workers.reportS * OVERDUE_MS_PER_INTERVAL_S;
    return json(200, {
      member: settings.member,
      ...clusterOverview(this.explainContext(leader, leader.cluster), overdueMs),
    });
  }

  private async explain(id: string): Promise<Reply> {
    if (!JOB_ID.test(id)) return json(404, { job: id, lines: ['No job has such an id.'] });
    const leader = this.dependencies.leader();
    if (!leader?.cluster) return json(200, { job: id, ...this.leaderLocation(), lines: [] });
    const lines = this.explainKnownJob(leader, leader.cluster, id as JobId);
    if (lines) return json(200, { job: id, lines });
    const state = await this.dependencies.jobApi.show(id);
    return json(200, { job: id, lines: [describeUnknownJob(state.status)] });
  }

  /** Returns undefined where neither the leader nor a pipeline knows the job. */
  private explainKnownJob(
    leader: Leader,
    cluster: NonNullable<Leader['cluster']>,
    id: JobId,
  ): string[] | undefined {
    const { clock, pipelines } = this.dependencies;
    const placement = explainJob(this.explainContext(leader, cluster), id);
    const step = pipelines?.explain(id) ?? [];
    if (!placement && step.length === 0) return undefined;
    const width = leader.elastic?.explain(id) ?? [];
    const job = cluster.jobs.get(id);
    const waits = job !== undefined && leader.unplaced.some((tasks) => tasks.job === job);
    const shares = waits ? (leader.fairShare?.explain(job, clock.now()) ?? []) : [];
    return [...step, ...(placement ?? []), ...shares, ...width];
  }

  private leaderLocation(): { readonly holder: string | null; readonly address: string | null } {
    const { leader, address } = this.dependencies.election.knownLeader;
    return { holder: leader ?? null, address: address ?? null };
  }

  private explainContext(leader: Leader, cluster: ExplainContext['cluster']): ExplainContext {
    const { clock, machineTypes, teams, storeContact, settings } = this.dependencies;
    return {
      clock,
      cluster,
      unplaced: leader.unplaced,
      machineTypes: machineTypes.all(),
      teamLimits: teams,
      storeOk: storeContact.isReachable(),
      capacityRefusedUntil: leader.fleet?.capacityRefusedUntil ?? new Map(),
      eligibility: leader.eligibilityContext(clock.now()),
      agentSettings: settings.workers,
    };
  }
}
