import { sleep, type Clock, type SteadyMs } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { jitter, type Random } from '../../transport/random.js';
import type { MachineId } from '../../protocol/ids.js';
import { MAX_MACHINES_PER_RETURN, type CloudClient } from '../../storage/cloud-client.js';
import type { LeaderElection } from '../election/leader-election.js';
import type { FleetClusterState } from '../leader/cluster-state-views.js';

const RETRY_MS = 500;
const MAX_RETRY_FACTOR = 8;

/** Why machines are returned, for the log. */
export type ScaleInReason =
  | 'idle'
  | 'unresponsive'
  | 'boot timed out'
  | 'machine failed'
  | 'reclamation ignored'
  | 'cancelled task not confirmed gone';

/** Dependencies of `ScaleIn`, provided by the leader. */
export interface ScaleInDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly cloud: CloudClient;
  readonly cluster: FleetClusterState;
  /** Whether this leader's term is still current. */
  readonly isActive: () => boolean;
  /** Tells whether this controller is certainly the leader: one that is cut off from the store repeats no call. */
  readonly election: Pick<LeaderElection, 'canDecide'>;
  /** Requests a scheduling cycle. */
  readonly wake: () => void;
}

/**
 * Returns machines to the provider. A confirmed return is also a fence: nothing runs on the machine any more, whatever its
 * last heartbeat contained. This class never decides which machines to return.
 */
export class ScaleIn {
  private readonly inProgress = new Set<MachineId>();
  private readonly returnedAt = new Map<MachineId, SteadyMs>();

  constructor(private readonly dependencies: ScaleInDependencies) {}

  /** Machines whose return is not confirmed yet. */
  get returning(): ReadonlySet<MachineId> {
    return this.inProgress;
  }

  /** Whether this leader returned the machine: lists that lag still show it. */
  wasReturned(id: MachineId): boolean {
    return this.returnedAt.has(id);
  }

  /** Forgets machines that were returned more than `retentionMs` ago and that the provider's list no longer shows. */
  forgetReturned(now: SteadyMs, retentionMs: number, listed: ReadonlySet<MachineId>): void {
    for (const [id, at] of this.returnedAt) {
      if (now - at > retentionMs && !listed.has(id)) this.returnedAt.delete(id);
    }
  }

  /**
   * Takes the machines out of use and returns them, at most as many as one call may name. Machines that are already being
   * returned are left out.
   */
  returnMachines(ids: readonly MachineId[], reason: ScaleInReason): void {
    if (ids.length > 0) void this.send(ids, reason);
  }

  private async send(ids: readonly MachineId[], reason: ScaleInReason): Promise<void> {
    const { clock, random, log, cloud, election, isActive, wake } = this.dependencies;
    const names = ids.filter((id) => !this.inProgress.has(id)).slice(0, MAX_MACHINES_PER_RETURN);
    if (names.length === 0) return;
    this.takeOutOfUse(names);
    log.info('scale-in-requested', { machines: names.join(' '), reason });
    for (let attempt = 0; isActive(); attempt++) {
      const result = election.canDecide() ? await cloud.returnMachines(names) : undefined;
      if (!isActive()) return;
      if (result?.ok) {
        this.removeReturned(names);
        log.info('scale-in-completed', { machines: names.join(' ') });
        break;
      }
      // The machines may or may not have been returned: they stay out of use, and the call is repeated.
      await sleep(clock, jitter(random, RETRY_MS * Math.min(MAX_RETRY_FACTOR, 2 ** attempt)));
    }
    for (const id of names) this.inProgress.delete(id);
    wake();
  }

  private takeOutOfUse(names: readonly MachineId[]): void {
    for (const id of names) {
      this.inProgress.add(id);
      const machine = this.dependencies.cluster.machines.get(id);
      if (machine) machine.state = 'returning';
    }
  }

  private removeReturned(names: readonly MachineId[]): void {
    const { clock, cluster } = this.dependencies;
    const now = clock.now();
    for (const id of names) {
      const machine = cluster.machines.get(id);
      if (machine) cluster.removeMachine(machine, now, true);
      this.returnedAt.set(id, now);
    }
  }
}
