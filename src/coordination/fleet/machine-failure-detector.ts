import type { StallAwareClock } from '../../transport/stall-aware-clock.js';
import { plus, type Clock, type SteadyMs } from '../../transport/clock.js';
import type { HttpClient } from '../../transport/http.js';
import type { Log } from '../../transport/log.js';
import type { MachineId, ZoneName } from '../../protocol/ids.js';
import type { OperatorSettings } from '../../protocol/operator-settings.js';
import type { Settings } from '../../protocol/settings.js';
import { Paths } from '../../protocol/wire.js';
import { MAX_MACHINES_PER_RETURN } from '../../storage/cloud-client.js';
import type { Machine } from '../../cluster/cluster-state.js';
import type { LeaderElection } from '../election/leader-election.js';
import { clearSuspicion } from '../heartbeats/suspicion.js';
import type { FleetClusterState } from '../leader/cluster-state-views.js';

/** Minimum interval between two probes of a machine. */
export const PROBE_INTERVAL_MS = 3000;
/** A probe without an answer after this time has failed. */
export const PROBE_TIMEOUT_MS = 1500;
/** Probes per check at most: a partitioned zone has hundreds of unresponsive machines. */
const MAX_PROBES = 100;
/** At most this many of them go to suspect machines. */
const MAX_SUSPECT_PROBES = MAX_PROBES / 2;
/**
 * With fewer suspect machines that answer no probe, each is taken to have failed on its own, even if the fleet has no other
 * machines.
 */
const MIN_UNREACHABLE_MACHINES = 4;

/** A machine is unresponsive after 2.5 heartbeat intervals without contact (ms per second of the interval), */
const HEARTBEAT_TIMEOUT_MS_PER_INTERVAL_S = 2500;
/** but not before this time. Both apply only where the operator set no timeout. */
const MIN_HEARTBEAT_TIMEOUT_MS = 12_000;
/** After this multiple of the heartbeat timeout, plus the lease duration, any lease has expired. */
const PAST_LEASE_TIMEOUT_FACTOR = 1.5;
/** In a partitioned zone, machines with replicas are given up shortly before their lease expires (ms per second of it). */
const REPLICA_TIMEOUT_MS_PER_LEASE_S = 850;
/** In a partitioned zone, other machines are given up after this many lease durations without contact. */
const PARTITIONED_TIMEOUT_LEASES = 3;
/** An empty machine is given up no earlier than after this multiple of the heartbeat timeout. */
const EMPTY_MACHINE_TIMEOUT_FACTOR = 3;
/** A zone is partitioned if more than this many of its machines, and more than a third of them, are unresponsive. */
const MAX_INDEPENDENT_FAILURES = 2;
const PARTITION_DIVISOR = 3;

const HTTP_STATUS_OK = 200;

/** Dependencies of `MachineFailureDetector`, provided by the leader. */
export interface MachineFailureDetectorDependencies {
  readonly clock: Clock;
  readonly stallAwareClock: StallAwareClock;
  readonly log: Log;
  readonly http: HttpClient;
  readonly election: LeaderElection;
  readonly settings: Settings;
  readonly operator: OperatorSettings;
  readonly cluster: Pick<FleetClusterState, 'machines'>;
  /** Milliseconds without a heartbeat from any machine of each zone when this term began. */
  readonly zoneHeartbeatAgesAtTermStartMs: ReadonlyMap<ZoneName, number>;
  /** Zones from which no heartbeats arrive at present. */
  readonly unresponsiveZones: () => ReadonlySet<ZoneName>;
  /** Whether this leader's term is still current. */
  readonly isActive: () => boolean;
}

interface ZoneHealth {
  up: number;
  readonly unresponsive: Machine[];
}

interface FleetHealth {
  readonly zones: ReadonlyMap<ZoneName, ZoneHealth>;
  readonly suspects: readonly Machine[];
  readonly up: number;
}

/** How long machines may be without contact. */
interface DetectionTimeouts {
  /** After this time without contact a machine is unresponsive. */
  readonly heartbeatTimeoutMs: number;
  readonly leaseS: number;
  /** After this time without contact any lease of the machine has expired. */
  readonly pastLeaseTimeoutMs: number;
}

/** Whether heartbeats are missing from more than single machines. */
interface Partition {
  readonly inZone: boolean;
  /** Most zones are partitioned, which points to this controller's own network. */
  readonly inMostZones: boolean;
}

/**
 * Detects failed machines: those that have been without contact for longer than their timeout and answer no probe.
 *
 * Missing heartbeats alone prove nothing: another controller may be renewing the machine's lease. An unresponsive machine
 * that does not answer a probe either is fenced by returning it. The timeout depends on which other machines are
 * unresponsive. A single unresponsive machine is dead or hangs. If much of its zone is unresponsive, the zone is partitioned
 * and will be reachable again, but its replicas end with their leases, so only machines with replicas are given up before
 * their leases expire. If most zones are partitioned, this controller's own network is the likely cause, and only machines
 * whose leases have all expired are given up.
 *
 * The detector probes and decides; it never returns a machine itself.
 */
export class MachineFailureDetector {
  private readonly startedAt: SteadyMs;
  /** Failed machines not yet handed to the caller, collected so that they are returned together. */
  private readonly failed = new Set<MachineId>();
  /** Suspect machines that also failed to answer a probe. */
  private readonly unreachable = new Set<Machine>();
  private isMajorityUnreachable = false;

  constructor(private readonly dependencies: MachineFailureDetectorDependencies) {
    this.startedAt = dependencies.clock.now();
  }

  /** Whether most machines receive nothing: then this controller's own link is at fault, and the fleet is not returned. */
  get mostMachinesUnreachable(): boolean {
    return this.isMajorityUnreachable;
  }

  /** Probes unresponsive and suspect machines, and returns those that earlier probes found failed. */
  detectFailedMachines(now: SteadyMs, returning: ReadonlySet<MachineId>): MachineId[] {
    const timeouts = this.detectionTimeouts();
    const health = this.surveyMachines(timeouts.heartbeatTimeoutMs);
    const probesLeft = this.probeUnresponsiveMachines(health, timeouts, returning, now);
    this.probeSuspects(health, Math.min(probesLeft, MAX_SUSPECT_PROBES), now);
    return this.takeFailed();
  }

  private detectionTimeouts(): DetectionTimeouts {
    const { settings, operator } = this.dependencies;
    const { reportS, leaseS } = settings.workers;
    const heartbeatTimeoutMs =
      operator.unresponsiveFenceS > 0
        ? operator.unresponsiveFenceS * 1000
        : Math.max(HEARTBEAT_TIMEOUT_MS_PER_INTERVAL_S * reportS, MIN_HEARTBEAT_TIMEOUT_MS);
    return {
      heartbeatTimeoutMs,
      leaseS,
      pastLeaseTimeoutMs: PAST_LEASE_TIMEOUT_FACTOR * heartbeatTimeoutMs + leaseS * 1000,
    };
  }

  private surveyMachines(heartbeatTimeoutMs: number): FleetHealth {
    const zones = new Map<ZoneName, ZoneHealth>();
    const suspects: Machine[] = [];
    let up = 0;
    for (const machine of this.dependencies.cluster.machines.values()) {
      if (machine.state !== 'up') continue;
      up++;
      const zone = zones.get(machine.zone) ?? { up: 0, unresponsive: [] };
      zones.set(machine.zone, zone);
      zone.up++;
      if (machine.suspectedSince !== undefined) suspects.push(machine);
      if (this.noContactMs(machine) > heartbeatTimeoutMs) zone.unresponsive.push(machine);
    }
    return { zones, suspects, up };
  }

  /** Probes machines that are past their timeout. Returns how many probes are left for this check. */
  private probeUnresponsiveMachines(
    { zones }: FleetHealth,
    timeouts: DetectionTimeouts,
    returning: ReadonlySet<MachineId>,
    now: SteadyMs,
  ): number {
    const partitionedZones = this.findPartitionedZones(zones);
    const inMostZones = partitionedZones.size > 1 && partitionedZones.size * 2 > zones.size;
    let probesLeft = MAX_PROBES;
    for (const [name, zone] of zones) {
      const partition = { inZone: partitionedZones.has(name), inMostZones };
      zone.unresponsive.sort((a, b) => b.usage.services - a.usage.services);
      for (const machine of zone.unresponsive) {
        if (probesLeft <= 0) break;
        if (returning.has(machine.id) || this.failed.has(machine.id)) continue;
        const noContactMs = this.noContactMs(machine);
        const timeoutMs = timeoutMsFor(machine, partition, timeouts);
        if (noContactMs < timeoutMs) continue;
        if (isEmpty(machine) && noContactMs < EMPTY_MACHINE_TIMEOUT_FACTOR * timeouts.heartbeatTimeoutMs)
          continue;
        if (!startProbe(machine, now)) continue;
        probesLeft--;
        void this.probe(machine, noContactMs, timeoutMs);
      }
    }
    return probesLeft;
  }

  /** `unresponsiveZones` shows a partition of a whole zone long before a third of its machines are unresponsive. */
  private findPartitionedZones(zones: ReadonlyMap<ZoneName, ZoneHealth>): ReadonlySet<ZoneName> {
    const unresponsiveZones = this.dependencies.unresponsiveZones();
    const partitionedZones = new Set<ZoneName>();
    for (const [name, { up, unresponsive }] of zones) {
      const areManyUnresponsive =
        unresponsive.length > MAX_INDEPENDENT_FAILURES && unresponsive.length * PARTITION_DIVISOR > up;
      if (unresponsiveZones.has(name) || areManyUnresponsive) partitionedZones.add(name);
    }
    return partitionedZones;
  }

  /** Probes suspect machines: one that receives anything answers, whatever became of the commands sent to it. */
  private probeSuspects({ suspects, up }: FleetHealth, maxProbes: number, now: SteadyMs): void {
    const { unreachable } = this;
    for (const machine of unreachable) {
      if (machine.suspectedSince === undefined || machine.state !== 'up') unreachable.delete(machine);
    }
    this.isMajorityUnreachable = unreachable.size >= MIN_UNREACHABLE_MACHINES && unreachable.size * 2 > up;
    let probesLeft = maxProbes;
    for (const machine of suspects) {
      if (probesLeft <= 0) return;
      if (!startProbe(machine, now)) continue;
      probesLeft--;
      void this.probe(machine, 0, Infinity);
    }
  }

  private takeFailed(): MachineId[] {
    if (this.failed.size === 0) return [];
    const ids = [...this.failed].slice(0, MAX_MACHINES_PER_RETURN);
    for (const id of ids) this.failed.delete(id);
    // A heartbeat received since the probe clears `probedAt`.
    return ids.filter((id) => this.dependencies.cluster.machines.get(id)?.probedAt !== undefined);
  }

  /**
   * Milliseconds without contact with the machine, in either direction. Time in which this process was stalled and could not
   * read heartbeats does not count.
   */
  private noContactMs(machine: Machine): number {
    return this.dependencies.stallAwareClock.since(this.lastContact(machine));
  }

  /**
   * Returns the latest time at which the machine can have been in contact. A suspect machine, which receives nothing, loses
   * all its tasks with its lease, like one whose heartbeats do not arrive, so the time since it became suspect counts. A
   * machine that ran tasks when this term began and has sent no heartbeat since was last in contact with the previous leader,
   * at the latest when any machine of its zone was. The time without contact therefore continues across a failover; if it
   * restarted, replicas in a zone partitioned before the failover would lose their leases ten seconds before their machines
   * are given up.
   */
  private lastContact(machine: Machine): SteadyMs {
    const { startedAt } = this;
    const { suspectedSince, lastHeartbeat, heartbeatsExpectedSince } = machine;
    if (suspectedSince !== undefined) return suspectedSince;
    if (lastHeartbeat !== undefined) return lastHeartbeat > startedAt ? lastHeartbeat : startedAt;
    const noContactBeforeTermMs = this.dependencies.zoneHeartbeatAgesAtTermStartMs.get(machine.zone);
    const ranTasksAtTermStart = machine.firstKnownAt <= startedAt && machine.placements.size > 0;
    if (ranTasksAtTermStart && noContactBeforeTermMs !== undefined)
      return plus(startedAt, -noContactBeforeTermMs);
    return heartbeatsExpectedSince > startedAt ? heartbeatsExpectedSince : startedAt;
  }

  /** Probes the machine. One that does not answer has failed if it has been without contact for `timeoutMs`. */
  private async probe(machine: Machine, noContactMs: number, timeoutMs: number): Promise<void> {
    const { log, http, settings, election, cluster, isActive } = this.dependencies;
    const leaseMs = settings.workers.leaseS * 1000;
    // After a failover the address is known only from the first list: a missing address says nothing about the machine.
    if (!machine.address && noContactMs < timeoutMs + leaseMs) return;
    const reply = machine.address
      ? await http.call(machine.address, 'GET', Paths.inspect, undefined, PROBE_TIMEOUT_MS)
      : undefined;
    if (!isActive() || !election.canDecide() || cluster.machines.get(machine.id) !== machine) return;
    if (machine.probedAt === undefined) return; // A heartbeat arrived meanwhile.
    const isAnswered = reply?.ok === true && reply.value.status === HTTP_STATUS_OK;
    if (machine.suspectedSince !== undefined) {
      if (isAnswered) {
        clearSuspicion({ log }, machine);
        return;
      }
      this.unreachable.add(machine);
    }
    if (noContactMs < timeoutMs) return;
    // The machine runs but cannot reach this controller: its tasks continue until their lease expires, as nobody renews it.
    if (isAnswered && noContactMs < timeoutMs + leaseMs) return;
    log.info('machine-unresponsive', {
      machine: machine.id,
      silentMs: Math.round(noContactMs),
      answers: isAnswered,
      suspect: machine.suspectedSince !== undefined,
    });
    this.failed.add(machine.id);
  }
}

/** Milliseconds without contact after which the machine is probed and given up. */
function timeoutMsFor(machine: Machine, partition: Partition, timeouts: DetectionTimeouts): number {
  const { heartbeatTimeoutMs, leaseS, pastLeaseTimeoutMs } = timeouts;
  if (!partition.inZone) return heartbeatTimeoutMs;
  if (!partition.inMostZones && machine.usage.services > 0)
    return Math.max(heartbeatTimeoutMs, leaseS * REPLICA_TIMEOUT_MS_PER_LEASE_S);
  if (partition.inMostZones || runsGangTask(machine)) return pastLeaseTimeoutMs;
  return Math.max(pastLeaseTimeoutMs, leaseS * PARTITIONED_TIMEOUT_LEASES * 1000);
}

function runsGangTask(machine: Machine): boolean {
  for (const { ended, job } of machine.placements) if (!ended && job.spec.kind === 'gang') return true;
  return false;
}

const isEmpty = (machine: Machine): boolean =>
  machine.placements.size === 0 && machine.orphanTasks.length === 0;

/** Marks the machine as probed now and returns true, unless its last probe is more recent than `PROBE_INTERVAL_MS`. */
function startProbe(machine: Machine, now: SteadyMs): boolean {
  if (machine.probedAt !== undefined && now - machine.probedAt < PROBE_INTERVAL_MS) return false;
  machine.probedAt = now;
  return true;
}
