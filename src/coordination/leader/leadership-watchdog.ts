import { sleep, type Clock } from '../../transport/clock.js';
import type { ClusterState, Machine, Placement } from '../../cluster/cluster-state.js';
import { COMMAND_TIMEOUT_MS, type CommandDispatcher } from '../dispatch/command-dispatcher.js';
import type { Leadership, LeaderElection } from '../election/leader-election.js';
import type { FleetManager } from '../fleet/fleet-manager.js';
import type { HeartbeatMonitor } from '../heartbeats/heartbeat-monitor.js';
import type { FencedWriter } from './fenced-writer.js';

/**
 * Checks whether this leader still reaches the agents. It resigns where it is cut off from them, and raises the fencing token where
 * starts stay in doubt or an agent retains many exited attempts. Places and stops no tasks.
 */

const CHECK_INTERVAL_MS = 500;
/** Consecutive checks that must find this leader cut off: between two, a process that was only stalled reads the heartbeats waiting for it. */
const ISOLATED_CHECKS_TO_RESIGN = 2;

/** About 3 MB of heartbeats: beside the tasks that run, the heartbeat reader still caches what all machines report. */
const TOTAL_RETAINED_EXITS_TO_FENCE = 40_000;

export interface LeadershipWatchdogDependencies {
  readonly clock: Clock;
  readonly election: Pick<LeaderElection, 'canDecide' | 'resign'>;
  readonly leadership: Leadership;
  readonly cluster: Pick<
    ClusterState,
    'inDoubtStarts' | 'machines' | 'machinesWithManyExits' | 'totalRetainedExits'
  >;
  readonly heartbeats: Pick<HeartbeatMonitor, 'isIsolatedFromAgents'>;
  readonly fleet: Pick<FleetManager, 'mostMachinesUnreachable'>;
  readonly writer: Pick<FencedWriter, 'tokenRaisedAt' | 'raiseFencingToken'>;
  readonly dispatcher: Pick<CommandDispatcher, 'sendFencingToken'>;
  /** The token isn't raised again within this time, in which every agent receives the present one anyway. */
  readonly heartbeatIntervalMs: number;
  /** An agent sends a heartbeat because of a higher token at most this often; that its tasks exited raises the token no more often. */
  readonly tokenHeartbeatIntervalMs: number;
  readonly isActive: () => boolean;
}

/** Checks one term's leader periodically. */
export class LeadershipWatchdog {
  private isolatedChecks = 0;

  constructor(private readonly dependencies: LeadershipWatchdogDependencies) {}

  /** Checks until the term ends or this leader resigns. */
  async run(): Promise<void> {
    const { clock, election, isActive } = this.dependencies;
    while (isActive()) {
      await sleep(clock, CHECK_INTERVAL_MS);
      if (!isActive() || !election.canDecide()) continue;
      if (this.resignIfCutOff()) return;
      await this.fenceInDoubtStarts();
      await this.fenceRetainedExits();
    }
  }

  private resignIfCutOff(): boolean {
    const { election, heartbeats, fleet } = this.dependencies;
    this.isolatedChecks = heartbeats.isIsolatedFromAgents() ? this.isolatedChecks + 1 : 0;
    if (this.isolatedChecks >= ISOLATED_CHECKS_TO_RESIGN) {
      election.resign('no worker is heard');
      return true;
    }
    if (fleet.mostMachinesUnreachable) {
      election.resign('no worker hears');
      return true;
    }
    return false;
  }

  /**
   * Fences off in-doubt starts. The agent may execute such a start many seconds later: it holds its capacity until then, and its user
   * may have cancelled the job meanwhile. Only a higher token makes the agent drop it, so the token is raised, at most once
   * per heartbeat interval, and sent to those agents at once. Otherwise, with commands delayed by 2 to 16 s, tasks start up to
   * 6 s after their cancellation was confirmed, and replicas wait for half a lease.
   */
  private async fenceInDoubtStarts(): Promise<void> {
    if (!this.mayRaiseToken(this.dependencies.heartbeatIntervalMs)) return;
    const overdue = this.overdueStarts();
    if (overdue.length === 0) return;
    await this.raiseToken('unacknowledged starts', new Set(overdue.map((placement) => placement.machine)));
  }

  /**
   * Lets agents forget exited attempts where one of them, or all together, retain many. Retained attempts make heartbeats longer, and
   * may be forgotten only under a higher token. An agent that has not shown the present token yet will forget what it retains
   * without another raise.
   */
  private async fenceRetainedExits(): Promise<void> {
    const { cluster, tokenHeartbeatIntervalMs, isActive } = this.dependencies;
    if (!isActive() || !this.mayRaiseToken(tokenHeartbeatIntervalMs)) return;
    const machines = [...cluster.machinesWithManyExits].filter((machine) => this.showsPresentToken(machine));
    if (machines.length > 0 || this.retainsTooManyInAll())
      await this.raiseToken('retained exits', new Set(machines));
  }

  private retainsTooManyInAll(): boolean {
    const { cluster } = this.dependencies;
    if (cluster.totalRetainedExits < TOTAL_RETAINED_EXITS_TO_FENCE) return false;
    let underPresentToken = 0;
    for (const machine of cluster.machines.values()) {
      if (this.showsPresentToken(machine)) underPresentToken += machine.retainedExits;
    }
    return underPresentToken >= TOTAL_RETAINED_EXITS_TO_FENCE;
  }

  private showsPresentToken(machine: Machine): boolean {
    return machine.reconciledToken === this.dependencies.leadership.term;
  }

  private mayRaiseToken(minIntervalMs: number): boolean {
    const { clock, writer } = this.dependencies;
    return clock.now() - writer.tokenRaisedAt >= minIntervalMs;
  }

  /** Raises the token, and sends it to these machines at once; others receive it with the answers to their heartbeats. */
  private async raiseToken(reason: string, machines: ReadonlySet<Machine>): Promise<void> {
    const { writer, dispatcher, isActive } = this.dependencies;
    await writer.raiseFencingToken(reason);
    if (!isActive()) return;
    for (const machine of machines) dispatcher.sendFencingToken(machine);
  }

  /** Returns starts under this token that an agent could have acknowledged; an unresponsive agent is fenced, or its epoch rises. */
  private overdueStarts(): Placement[] {
    const { cluster, leadership } = this.dependencies;
    return [...cluster.inDoubtStarts].filter((placement) => {
      if (placement.startToken !== leadership.term) return false;
      const hasHeartbeatSince =
        (placement.machine.lastHeartbeat ?? 0) > placement.addedAt + COMMAND_TIMEOUT_MS;
      return placement.job.cancelledAt !== undefined || hasHeartbeatSince;
    });
  }
}
