import { plus, sleep, type Clock, type SteadyMs } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { jitter, type Random } from '../../transport/random.js';
import type { ScaleOutRequest } from '../../protocol/cloud.js';
import type { MachineId } from '../../protocol/ids.js';
import type { CloudClient } from '../../storage/cloud-client.js';
import type { Leadership, LeaderElection } from '../election/leader-election.js';
import type { FleetClusterState } from '../leader/cluster-state-views.js';
import type { MachineRequest } from './fleet-snapshot.js';
import { machineKindKey } from './machine-kind.js';

const MAX_ATTEMPTS = 8;
const RETRY_MS = 1000;
const MAX_RETRY_FACTOR = 4;
/** How long a kind is not requested after the provider refused it for lack of capacity; longer after each further refusal. */
const REFUSAL_PAUSE_MS = 8000;
const MAX_REFUSAL_PAUSE_FACTOR = 4;

/** Dependencies of `ScaleOut`, provided by the leader. */
export interface ScaleOutDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly cloud: CloudClient;
  readonly leadership: Leadership;
  readonly cluster: FleetClusterState;
  /** Whether this leader's term is still current. */
  readonly isActive: () => boolean;
  /** Tells whether this controller is certainly the leader: one that is cut off from the store repeats no call. */
  readonly election: Pick<LeaderElection, 'canDecide'>;
  /** Requests a scheduling cycle. */
  readonly wake: () => void;
}

/**
 * Requests machines from the provider, repeats a request until its answer is known, and pauses requests for kinds of which
 * the provider had no capacity. It never decides what to request.
 */
export class ScaleOut {
  /** Until when a machine kind, by `machineKindKey`, is not requested. */
  readonly refusedUntil = new Map<string, SteadyMs>();
  private readonly unanswered = new Set<ScaleOutRequest>();
  private readonly refusalCounts = new Map<string, number>();
  private requestCount = 0;

  constructor(private readonly dependencies: ScaleOutDependencies) {}

  /** Requests without an answer yet. */
  get pending(): ReadonlySet<ScaleOutRequest> {
    return this.unanswered;
  }

  /**
   * Sends a request. Its name carries the term and a number: no other controller, and no other term, can use it again, and
   * the provider answers a repeated one with the same machines.
   */
  request(machines: MachineRequest): void {
    const request = `${this.dependencies.leadership.term}-${++this.requestCount}`;
    void this.send({ ...machines, request });
  }

  private async send(request: ScaleOutRequest): Promise<void> {
    const { clock, random, log, cloud, election, isActive, wake } = this.dependencies;
    const kind = machineKindKey(request.type, request.zone, request.spot);
    this.unanswered.add(request);
    const requestedAt = clock.now();
    log.info('scale-out-requested', { request: request.request, kind, count: request.count });
    for (let attempt = 0; isActive() && attempt < MAX_ATTEMPTS; attempt++) {
      const result = election.canDecide() ? await cloud.provisionMachines(request) : undefined;
      if (result?.ok) {
        this.addMachines(request, result.value, requestedAt);
        break;
      }
      if (result?.error.kind === 'no capacity') {
        this.pauseRequests(kind);
        break;
      }
      await sleep(clock, jitter(random, RETRY_MS * Math.min(MAX_RETRY_FACTOR, 2 ** attempt)));
    }
    this.unanswered.delete(request);
    wake();
  }

  private addMachines(request: ScaleOutRequest, ids: readonly MachineId[], requestedAt: SteadyMs): void {
    const { clock, log, cluster } = this.dependencies;
    const { type, zone, spot, count } = request;
    const now = clock.now();
    for (const id of ids) {
      const machine = cluster.machines.get(id) ?? cluster.addMachine(id, type, zone, spot, now, requestedAt);
      machine.rentedThisTerm = true;
    }
    const kind = machineKindKey(type, zone, spot);
    if (ids.length < count) this.pauseRequests(kind);
    else this.refusalCounts.delete(kind);
    log.info('scale-out-completed', { request: request.request, machines: ids.join(' ') });
  }

  private pauseRequests(kind: string): void {
    const { clock, log } = this.dependencies;
    const refusals = (this.refusalCounts.get(kind) ?? 0) + 1;
    this.refusalCounts.set(kind, refusals);
    const pauseMs = REFUSAL_PAUSE_MS * Math.min(MAX_REFUSAL_PAUSE_FACTOR, 2 ** (refusals - 1));
    this.refusedUntil.set(kind, plus(clock.now(), pauseMs));
    log.info('scale-out-refused', { kind, pauseMs });
  }
}
