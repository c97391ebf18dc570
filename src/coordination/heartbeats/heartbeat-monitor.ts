/**
 * Monitors whether heartbeats still arrive from each zone, and from any machine at all. Single machines are left to the fleet's
 * failure detector. This module changes no cluster state.
 */
import type { Clock, SteadyMs } from '../../transport/clock.js';
import type { StallAwareClock } from '../../transport/stall-aware-clock.js';
import type { MachineId, ZoneName } from '../../protocol/ids.js';
import type { Settings } from '../../protocol/settings.js';
import type { Machine } from '../../cluster/cluster-state.js';

/** Heartbeat intervals from the start of a term in which missing heartbeats do not count: agents must first find the leader. */
const TERM_START_GRACE_INTERVALS = 1.25;

/** Zones with fewer machines are not monitored: their usual gap between heartbeats is too long. */
const MIN_ZONE_MACHINES = 5;
/** A zone is unresponsive after this many of its usual gaps between heartbeats, but never before `MIN_UNRESPONSIVE_ZONE_MS`. */
const UNRESPONSIVE_ZONE_GAPS = 15;
const MIN_UNRESPONSIVE_ZONE_MS = 1000;

/** With fewer machines up, missing heartbeats say nothing about this controller. */
const MIN_MACHINES_FOR_ISOLATION = 2;
/** The leader is isolated after this many of the usual gaps between any two heartbeats, within the bounds below. */
const ISOLATION_GAPS = 12;
const MIN_ISOLATION_MS = 2500;
/** Upper bound of the time after which the leader is isolated, as a share of the lease. */
const MAX_ISOLATION_LEASE_SHARE = 0.4;

/** Dependencies of the monitor; `machines` is undefined until the cluster state is loaded. */
export interface HeartbeatMonitorDependencies {
  readonly clock: Pick<Clock, 'now'>;
  readonly stallAwareClock: Pick<StallAwareClock, 'since'>;
  readonly workers: Pick<Settings['workers'], 'reportS' | 'leaseS'>;
  readonly machines: () =>
    ReadonlyMap<MachineId, Pick<Machine, 'state' | 'zone' | 'lastHeartbeat'>> | undefined;
}

/** When heartbeats were last received, by zone and altogether, during one leader's term. */
export class HeartbeatMonitor {
  private readonly startedAt: SteadyMs;
  private lastHeartbeatAt: SteadyMs;
  private readonly lastByZone = new Map<ZoneName, SteadyMs>();

  constructor(private readonly dependencies: HeartbeatMonitorDependencies) {
    const { clock, workers } = dependencies;
    this.startedAt = clock.now();
    this.lastHeartbeatAt = (clock.now() + TERM_START_GRACE_INTERVALS * 1000 * workers.reportS) as SteadyMs;
  }

  /** When the last heartbeat of each zone was received, for the leader of the next term. */
  get lastHeartbeatByZone(): ReadonlyMap<ZoneName, SteadyMs> {
    return this.lastByZone;
  }

  /** Records a heartbeat that proves its machine alive. */
  recordHeartbeat(zone: ZoneName): void {
    const now = this.dependencies.clock.now();
    this.recordArrival(now);
    this.lastByZone.set(zone, now);
  }

  /**
   * Records a heartbeat that may be a late duplicate. It says nothing about its machine. While agents are still learning this
   * term's token, which can take each of them a heartbeat interval, such heartbeats show that agents reach this controller. If
   * they did not count, the first heartbeats of seven hundred machines, which arrive over five seconds, would make one leader
   * after another resign as isolated.
   */
  recordUnverifiedHeartbeat(): void {
    const now = this.dependencies.clock.now();
    if (now - this.startedAt < this.dependencies.workers.leaseS * 1000) this.recordArrival(now);
  }

  /**
   * Returns the zones with many machines from which no heartbeat has arrived for many times their usual gap. They are probably
   * unreachable, which shows long before any single machine is late. They get no new tasks, and no command that could be left in
   * doubt.
   */
  unresponsiveZones(): ReadonlySet<ZoneName> {
    const unresponsive = new Set<ZoneName>();
    for (const [zone, machineCount] of this.machinesUpByZone()) {
      if (machineCount < MIN_ZONE_MACHINES) continue;
      const gapMs = (this.dependencies.workers.reportS * 1000) / machineCount;
      const lastAt = this.lastByZone.get(zone) ?? (0 as SteadyMs);
      const sinceHeartbeatMs = this.dependencies.stallAwareClock.since(lastAt);
      if (sinceHeartbeatMs > Math.max(MIN_UNRESPONSIVE_ZONE_MS, UNRESPONSIVE_ZONE_GAPS * gapMs))
        unresponsive.add(zone);
    }
    return unresponsive;
  }

  /**
   * Whether no agent reaches this leader any more. A leader that still reaches the store would let every lease expire, although
   * agents may reach another controller. Taking all machines together decides this in far less time than a lease.
   */
  isIsolatedFromAgents(): boolean {
    const { reportS, leaseS } = this.dependencies.workers;
    let machineCount = 0;
    for (const machine of this.dependencies.machines()?.values() ?? []) {
      if (machine.state === 'up') machineCount++;
    }
    if (machineCount < MIN_MACHINES_FOR_ISOLATION) return false;
    const windowMs = Math.min(
      leaseS * (MAX_ISOLATION_LEASE_SHARE * 1000),
      Math.max(MIN_ISOLATION_MS, (ISOLATION_GAPS * 1000 * reportS) / machineCount),
    );
    return this.dependencies.stallAwareClock.since(this.lastHeartbeatAt) > windowMs;
  }

  private recordArrival(now: SteadyMs): void {
    if (now > this.lastHeartbeatAt) this.lastHeartbeatAt = now;
  }

  private machinesUpByZone(): Map<ZoneName, number> {
    const counts = new Map<ZoneName, number>();
    for (const { state, lastHeartbeat, zone } of this.dependencies.machines()?.values() ?? []) {
      if (state === 'up' && lastHeartbeat !== undefined) counts.set(zone, (counts.get(zone) ?? 0) + 1);
    }
    return counts;
  }
}
