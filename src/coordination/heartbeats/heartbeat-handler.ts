/**
 * Accepts heartbeats and replies to commands: decides which are new, which machine they belong to, and what they prove.
 * Comparing the reported tasks with the cluster state is left to `reconciliation.ts`. Nothing here places a task or writes
 * to the store.
 */
import { plus, type SteadyMs } from '../../transport/clock.js';
import type { Command, Heartbeat } from '../../protocol/heartbeats.js';
import type { Machine } from '../../cluster/cluster-state.js';
import type { AgentClusterState } from '../leader/cluster-state-views.js';
import type { HeartbeatContext } from './heartbeat-context.js';
import { applyUnverifiedTasks, findPlacement, NO_COMMANDS, reconcileTasks } from './reconciliation.js';
import {
  checkAcknowledgement,
  checkEpochChange,
  clearSuspicion,
  recordPendingAcknowledgement,
} from './suspicion.js';
import { applyTaskStatus } from './task-status.js';

/**
 * Handles a heartbeat and returns the commands of its reply. Starts in such a reply cannot be carried out late: an agent has one
 * heartbeat in flight and drops replies after 4 s.
 */
export function handleHeartbeat(context: HeartbeatContext, heartbeat: Heartbeat): readonly Command[] {
  const now = context.clock.now();
  const machine = findOrAddMachine(context, heartbeat, now);
  if (!machine) {
    context.onUnverifiedHeartbeat();
    return NO_COMMANDS;
  }
  // A heartbeat delayed by the network can arrive minutes late. Its sequence shows that it is old, and it proves nothing.
  if (isStale(machine, heartbeat)) {
    context.log.debug('heartbeat-stale', { machine: heartbeat.machine, seq: heartbeat.sequence });
    return NO_COMMANDS;
  }
  if (heartbeat.epoch > machine.agentEpoch) beginAgentEpoch(context, machine, heartbeat, now);
  else checkAcknowledgement(context, machine, heartbeat);
  const hasEarlierHeartbeat = machine.heartbeatSequence > 0n;
  machine.heartbeatSequence = heartbeat.sequence;
  const commands = handleNewHeartbeat(context, machine, heartbeat, hasEarlierHeartbeat, now);
  recordPendingAcknowledgement(machine, heartbeat, commands, context.fencingToken(), now);
  return commands;
}

/**
 * Handles the heartbeat with which an agent replies to commands sent to its address. It proves which tasks are present; whether a
 * task is missing is decided by the next regular heartbeat.
 */
export function handleCommandReply(context: HeartbeatContext, machine: Machine, heartbeat: Heartbeat): void {
  const isNewer = heartbeat.epoch === machine.agentEpoch && heartbeat.sequence > machine.heartbeatSequence;
  if (!isNewer) return;
  const now = context.clock.now();
  machine.heartbeatSequence = heartbeat.sequence;
  clearSuspicion(context, machine);
  for (const task of heartbeat.tasks) {
    const placement = findPlacement(context.cluster, machine, heartbeat.epoch, task);
    if (placement) applyTaskStatus(context, placement, task, now);
  }
}

function handleNewHeartbeat(
  context: HeartbeatContext,
  machine: Machine,
  heartbeat: Heartbeat,
  hasEarlierHeartbeat: boolean,
  now: SteadyMs,
): readonly Command[] {
  if (!isVerified(machine, heartbeat, context.cluster)) {
    context.onUnverifiedHeartbeat();
    return applyUnverifiedTasks(context, machine, heartbeat, now);
  }
  recordLiveness(context, machine, heartbeat, now);
  return reconcileTasks(context, machine, heartbeat, hasEarlierHeartbeat, now);
}

const isStale = (machine: Machine, heartbeat: Heartbeat): boolean =>
  heartbeat.epoch < machine.agentEpoch ||
  (heartbeat.epoch === machine.agentEpoch && heartbeat.sequence <= machine.heartbeatSequence);

/**
 * Whether the heartbeat is certainly not a late duplicate. Before the first heartbeat with this term's token, any may be a
 * duplicate of an old one, since a controller that has not received one from the machine does not know its sequence. A machine
 * provisioned under this term has no older heartbeats. The agent sends another heartbeat within half a second of the reply.
 */
const isVerified = (
  machine: Machine,
  heartbeat: Heartbeat,
  cluster: Pick<AgentClusterState, 'initialToken'>,
): boolean => machine.fenced || machine.rentedThisTerm || heartbeat.token >= cluster.initialToken;

/**
 * Returns the machine, and adds it if it is unknown and the heartbeat is of this term. A possible duplicate adds no machine: the
 * machine was removed, or this controller cannot tell whether it was.
 */
function findOrAddMachine(
  context: HeartbeatContext,
  heartbeat: Heartbeat,
  now: SteadyMs,
): Machine | undefined {
  const { cluster, log } = context;
  const { machine: id, type, zone, spot } = heartbeat;
  const known = cluster.machines.get(id);
  if (known) return known;
  const mayBeCopy =
    heartbeat.token < cluster.initialToken ||
    cluster.isFromRemovedMachine(id, heartbeat.epoch, heartbeat.sequence);
  if (mayBeCopy) {
    log.debug('heartbeat-machine-unknown', { machine: id, seq: heartbeat.sequence });
    return undefined;
  }
  log.info('machine-discovered', { machine: id, type, zone });
  return cluster.addMachine(id, type, zone, spot, now, now);
}

/** Ends the placements of earlier epochs: an agent begins an epoch only after it has killed and forgotten all its tasks. */
function beginAgentEpoch(
  context: HeartbeatContext,
  machine: Machine,
  heartbeat: Heartbeat,
  now: SteadyMs,
): void {
  for (const placement of machine.placements) {
    if (placement.agentEpoch < heartbeat.epoch) context.cluster.endPlacement(placement, 'gone', now);
  }
  if (machine.agentEpoch > 0n) {
    context.log.info('agent-epoch-changed', { machine: machine.id, session: heartbeat.epoch });
    checkEpochChange(context, machine, now);
  }
  machine.agentEpoch = heartbeat.epoch;
  context.cluster.setOrphanTasks(machine, []);
  context.cluster.setRetainedExits(machine, 0);
  context.wake();
}

/** Records that the machine is alive, its address, and a spot interruption that it announces. */
function recordLiveness(
  context: HeartbeatContext,
  machine: Machine,
  heartbeat: Heartbeat,
  now: SteadyMs,
): void {
  context.onHeartbeat(machine.zone);
  const isFirstHeartbeat = machine.lastHeartbeat === undefined;
  machine.lastHeartbeat = now;
  machine.address = heartbeat.address;
  if (machine.suspectedSince === undefined) machine.probedAt = undefined;
  if (machine.state === 'booting') {
    machine.state = 'up';
    machine.heartbeatsExpectedSince = now;
    machine.idleSince = now;
  }
  if (isFirstHeartbeat) announceMachine(context, machine);
  if (heartbeat.noticeS !== null && machine.interruptionAt === undefined) {
    recordInterruption(context, machine, heartbeat.noticeS, now);
  }
  // A heartbeat made after the agent took this term's token shows every task that replies of an older leader started, since the
  // agent drops such replies from then on.
  if (!machine.fenced) {
    machine.fenced = true;
    machine.fencedAt = now;
    context.wake();
  }
}

function announceMachine(context: HeartbeatContext, machine: Machine): void {
  const { id, type, zone, spot } = machine;
  context.log.info('machine-up', { machine: id, type, zone, spot });
  context.wake();
}

function recordInterruption(
  context: HeartbeatContext,
  machine: Machine,
  noticeS: number,
  now: SteadyMs,
): void {
  machine.interruptionAt = plus(now, noticeS * 1000);
  context.cluster.interruptedMachines.add(machine);
  context.log.info('termination-notice-received', { machine: machine.id, inS: noticeS });
  context.wake();
}
