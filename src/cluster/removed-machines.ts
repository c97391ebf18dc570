/** Last heartbeats of removed machines: late copies of heartbeats may still arrive, and must not bring the machines back. */
import type { AgentEpoch, HeartbeatSequence, MachineId } from '../protocol/ids.js';

/** Above every epoch and every sequence number, which are unsigned 64-bit integers. */
const ABOVE_U64 = 2n ** 64n;

/** Machine names are never reused. Copies of old messages arrive within minutes; this many removals take hours. */
const MAX_REMEMBERED = 20_000;

interface LastHeartbeat {
  readonly agentEpoch: AgentEpoch;
  readonly sequence: HeartbeatSequence;
}

const AFTER_EVERY_HEARTBEAT: LastHeartbeat = {
  agentEpoch: ABOVE_U64 as AgentEpoch,
  sequence: ABOVE_U64 as HeartbeatSequence,
};

/** Remembers the last heartbeats of the most recently removed machines. */
export class RemovedMachines {
  private readonly lastHeartbeats = new Map<MachineId, LastHeartbeat>();

  /** Adds a removed machine. `cannotReturn`: the machine can't come back, so any further heartbeat of it is a late one. */
  add(id: MachineId, agentEpoch: AgentEpoch, sequence: HeartbeatSequence, cannotReturn: boolean): void {
    this.lastHeartbeats.set(id, cannotReturn ? AFTER_EVERY_HEARTBEAT : { agentEpoch, sequence });
    if (this.lastHeartbeats.size <= MAX_REMEMBERED) return;
    const oldest = this.lastHeartbeats.keys().next().value;
    if (oldest !== undefined) this.lastHeartbeats.delete(oldest);
  }

  /** Returns whether a heartbeat was sent before its machine was removed. */
  precedesRemoval(id: MachineId, agentEpoch: AgentEpoch, sequence: HeartbeatSequence): boolean {
    const last = this.lastHeartbeats.get(id);
    if (last === undefined) return false;
    return agentEpoch < last.agentEpoch || (agentEpoch === last.agentEpoch && sequence <= last.sequence);
  }
}
