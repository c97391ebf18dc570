/**
 * Sends commands directly to the agents' addresses, where waiting for the next heartbeat would cost time. Owns how the outcome of
 * such a command is recorded on the placements that it starts. It never decides what runs: placements and stops come from the
 * cluster state.
 */
import type { Timer } from '../../transport/clock.js';
import type { HttpClient } from '../../transport/http.js';
import type { AgentEpoch, Address, ZoneName } from '../../protocol/ids.js';
import { Paths } from '../../protocol/wire.js';
import { encodeCommands, type Command, type Heartbeat } from '../../protocol/heartbeats.js';
import type { Machine, Placement } from '../../cluster/cluster-state.js';
import { termOfAttempt } from '../../storage/records.js';
import { heartbeatContext } from '../heartbeats/heartbeat-context.js';
import { handleCommandReply } from '../heartbeats/heartbeat-handler.js';
import { markSuspect } from '../heartbeats/suspicion.js';
import { startCommand, stopPlacementCommand } from '../heartbeats/task-commands.js';
import type { LeaderContext } from '../leader/leader-context.js';
import type { AgentClusterState } from '../leader/cluster-state-views.js';

/** Time limit for an agent's reply to a command, which usually takes milliseconds. */
export const COMMAND_TIMEOUT_MS = 1500;

/** Users cancel many jobs at once: stops for one machine within this time are sent together. */
const STOP_BATCH_DELAY_MS = 10;

/** A machine whose last heartbeat is older than this many intervals is unlikely to reply to a command. */
const MAX_HEARTBEAT_AGE_INTERVALS = 1.5;

/** Statuses with which an agent refuses a command: it obeys a higher token or has another epoch; it cannot decode the command. */
const STATUS_CONFLICT = 409;
const STATUS_BAD_REQUEST = 400;

type CallOutcome = Awaited<ReturnType<HttpClient['call']>>;

/** Sends commands to agents and records whether they arrived. */
export class CommandDispatcher {
  /** Zones from which no heartbeat arrives: a start sent there would get no reply. */
  unresponsiveZones: ReadonlySet<ZoneName> = new Set();

  private stopTimer: Timer | undefined;

  constructor(private readonly leader: LeaderContext<AgentClusterState>) {}

  /**
   * Sends starts and stops without waiting for the next heartbeat. They may be carried out minutes late, so a start whose reply is
   * lost makes the fencing token rise: the agent then obeys a higher token, and drops commands that are still in flight.
   */
  send(machine: Machine, starts: readonly Placement[], stops: readonly Placement[]): void {
    const { cluster, leadership } = this.leader;
    const { address } = machine;
    if (!cluster || address === undefined || !this.mayCommand(machine)) return;
    const startable = starts.filter((placement) => this.mayStart(placement, machine.agentEpoch));
    if (startable.length === 0 && stops.length === 0) return;
    const commands: Command[] = [
      ...stops.map((placement) => stopPlacementCommand(placement, placement.stop?.graceS ?? 0)),
      ...startable.map(startCommand),
    ];
    for (const placement of startable) {
      placement.startDelivery = 'inFlight';
      placement.startToken = leadership.term;
    }
    const body = encodeCommands(leadership.term, commands, machine.agentEpoch);
    void this.deliver(cluster, machine, address, startable, body);
  }

  /** Sends stops in small batches, without waiting for a scheduling cycle: a task that still fetches its image must not start. */
  scheduleStops(): void {
    this.stopTimer ??= this.leader.dependencies.clock.after(STOP_BATCH_DELAY_MS, () => {
      this.stopTimer = undefined;
      if (this.leader.isActive()) this.sendPendingStops();
    });
  }

  /** Sends the stops that were not sent yet. A stop that arrives late can only affect the attempt that it names. */
  sendPendingStops(): void {
    const { cluster } = this.leader;
    if (!cluster) return;
    const stopsByMachine = new Map<Machine, Placement[]>();
    for (const placement of cluster.pendingStops) {
      if (!placement.confirmed) continue;
      cluster.pendingStops.delete(placement);
      if (!placement.stop || placement.ended) continue;
      placement.stop.sent = true;
      const stops = stopsByMachine.get(placement.machine);
      if (stops) stops.push(placement);
      else stopsByMachine.set(placement.machine, [placement]);
    }
    for (const [machine, stops] of stopsByMachine) this.send(machine, [], stops);
  }

  /** Sends the fencing token alone, to a machine that may not have it yet, whether suspected or not. */
  sendFencingToken(machine: Machine): void {
    const { cluster, leadership, dependencies } = this.leader;
    const { address } = machine;
    if (!cluster || address === undefined || !machine.fenced || !dependencies.election.canDecide()) return;
    const body = encodeCommands(leadership.term, [], machine.agentEpoch);
    void this.deliver(cluster, machine, address, [], body);
  }

  /** Whether the machine is likely to reply, and this controller is certainly the leader. */
  private mayCommand(machine: Machine): boolean {
    const { stallAwareClock, settings, election } = this.leader.dependencies;
    const { lastHeartbeat } = machine;
    if (lastHeartbeat === undefined || !machine.fenced) return false;
    const maxAgeMs = settings.workers.reportS * (MAX_HEARTBEAT_AGE_INTERVALS * 1000);
    if (stallAwareClock.since(lastHeartbeat) >= maxAgeMs || machine.suspectedSince !== undefined)
      return false;
    return !this.unresponsiveZones.has(machine.zone) && election.canDecide() && machine.state === 'up';
  }

  private mayStart(placement: Placement, agentEpoch: AgentEpoch): boolean {
    return (
      !placement.ended &&
      !placement.stop &&
      placement.agentEpoch === agentEpoch &&
      placement.startSentWith === undefined &&
      // An exited attempt may be forgotten under any higher token than that of its plan, so no later one ever carries its start.
      termOfAttempt(placement.attempt) === this.leader.leadership.term &&
      // Cancellations are checked again just before the start is sent: the cluster state may not show them yet.
      !this.leader.dependencies.cancelled.has(placement.job.id)
    );
  }

  private async deliver(
    cluster: AgentClusterState,
    machine: Machine,
    address: Address,
    starts: readonly Placement[],
    body: Uint8Array,
  ): Promise<void> {
    const { http, log } = this.leader.dependencies;
    const outcome = await http.call(address, 'POST', Paths.commands, body, COMMAND_TIMEOUT_MS);
    if (!this.leader.isActive()) return;
    const heartbeat = this.readHeartbeat(outcome);
    if (!heartbeat && !isRefused(outcome) && starts.length > 0) {
      this.recordUnacknowledged(cluster, machine, starts, statusOf(outcome));
      return;
    }
    for (const placement of starts) cluster.resolveInDoubt(placement);
    if (heartbeat) {
      handleCommandReply(heartbeatContext(this.leader, cluster), machine, heartbeat);
      // Cancelled while the start was in flight: the task is fetching or running, and its stop is not sent yet.
      if (starts.some((placement) => placement.stop && !placement.ended)) this.sendPendingStops();
    } else if (starts.length > 0) {
      log.info('command-refused', { machine: machine.id, status: statusOf(outcome) });
    }
    // Placements that were stopped or ended meanwhile are handled at the next heartbeat.
  }

  private readHeartbeat(outcome: CallOutcome): Heartbeat | undefined {
    if (!outcome.ok || outcome.value.status !== 200) return undefined;
    const heartbeat = this.leader.dependencies.reader.read(outcome.value.body ?? new Uint8Array());
    return heartbeat.ok ? heartbeat.value : undefined;
  }

  /**
   * Marks the tasks as possibly running until the agent shows them or obeys a higher token. This holds back only tasks of this
   * machine, so the token need not rise at once.
   */
  private recordUnacknowledged(
    cluster: AgentClusterState,
    machine: Machine,
    starts: readonly Placement[],
    status: number,
  ): void {
    const { clock, log } = this.leader.dependencies;
    for (const placement of starts) {
      if (placement.startDelivery === 'inFlight' && !placement.ended) cluster.markInDoubt(placement);
    }
    markSuspect({ log }, machine, clock.now(), 'a command got no reply');
    log.info('command-unacknowledged', { machine: machine.id, starts: starts.length, status });
  }
}

/** Whether the command was certainly not carried out: the agent refused it, or its machine refused the connection. */
function isRefused(outcome: CallOutcome): boolean {
  if (!outcome.ok) return outcome.error.kind === 'refused';
  const { status } = outcome.value;
  return status === STATUS_CONFLICT || status === STATUS_BAD_REQUEST;
}

/** The status of the reply, or 0 if there was none. */
const statusOf = (outcome: CallOutcome): number => (outcome.ok ? outcome.value.status : 0);
