import { sleep, type Clock, type SteadyMs } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { jitter, type Random } from '../../transport/random.js';
import type { ListedMachine } from '../../protocol/cloud.js';
import type { MachineId } from '../../protocol/ids.js';
import type { Settings } from '../../protocol/settings.js';
import { MACHINE_LIST_PAGE_SIZE, type CloudClient } from '../../storage/cloud-client.js';
import type { Machine } from '../../cluster/cluster-state.js';
import type { LeaderElection } from '../election/leader-election.js';
import type { FleetClusterState } from '../leader/cluster-state-views.js';
import type { PreProvisionedMachines } from './pre-provisioned-machines.js';
import type { ScaleIn } from './scale-in.js';

/** Interval between two lists for each page of the last one: the list of a large fleet takes many calls. */
const LIST_INTERVAL_PER_PAGE_MS = 2000;
/** A list may be up to twice the provider's lag old. This factor exceeds that, and the margin comes on top. */
const LIST_LAG_FACTOR = 2.5;
const LIST_LAG_MARGIN_MS = 1000;
/** How long a returned machine is remembered, in lags plus a margin, so that a late list does not add it again. */
const RETURNED_RETENTION_LAGS = 10;
const RETURNED_RETENTION_MARGIN_MS = 60_000;
/** How long the images recorded by earlier leaders are remembered for machines that are not known yet. */
const REMEMBERED_IMAGES_RETENTION_MS = 60_000;

/** Dependencies of `MachineListReconciler`, provided by the leader. */
export interface MachineListReconcilerDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly cloud: CloudClient;
  readonly election: LeaderElection;
  readonly settings: Settings;
  readonly cluster: FleetClusterState;
  readonly scaleIn: ScaleIn;
  readonly preProvisioned: PreProvisionedMachines;
  /** Whether this leader's term is still current. */
  readonly isActive: () => boolean;
  /** Requests a scheduling cycle. */
  readonly wake: () => void;
}

/**
 * Reconciles the machines of the cluster state with the provider's list: adds unknown machines, and detects those that came
 * up, failed or disappeared. The list is behind by up to the provider's lag; machines that it does not show yet are kept.
 */
export class MachineListReconciler {
  private readonly startedAt: SteadyMs;
  private isAnyListApplied = false;

  constructor(private readonly dependencies: MachineListReconcilerDependencies) {
    this.startedAt = dependencies.clock.now();
  }

  /** Whether a complete list was applied: before the first one the fleet is unknown. */
  get hasList(): boolean {
    return this.isAnyListApplied;
  }

  /** Reads and applies the list until the leader's term ends. */
  async run(): Promise<void> {
    const { clock, random, cloud, election, preProvisioned, isActive } = this.dependencies;
    while (isActive()) {
      const result = await cloud.list();
      if (!isActive()) return;
      if (result.ok) {
        this.applyList(result.value.machines, result.value.askedAt);
        if (preProvisioned.names === undefined && election.canDecide())
          await preProvisioned.load(result.value.machines);
      }
      const pages = result.ok ? Math.ceil((result.value.machines.length + 1) / MACHINE_LIST_PAGE_SIZE) : 1;
      await sleep(clock, jitter(random, LIST_INTERVAL_PER_PAGE_MS * pages));
    }
  }

  private applyList(listed: readonly ListedMachine[], askedAt: SteadyMs): void {
    const { clock, settings, cluster, scaleIn } = this.dependencies;
    this.isAnyListApplied = true;
    const now = clock.now();
    const lagMs = settings.cloudLimits.listLagS * 1000;
    const present = new Set<MachineId>();
    const failed: MachineId[] = [];
    for (const entry of listed) {
      present.add(entry.id);
      if (scaleIn.wasReturned(entry.id) || scaleIn.returning.has(entry.id)) continue;
      const machine = cluster.machines.get(entry.id) ?? this.addListed(entry, askedAt, now);
      updateFromList(machine, entry, now);
      if (entry.state !== 'failed') continue;
      failed.push(entry.id);
      this.endTasks(machine, now);
    }
    this.removeMissing(present, askedAt, lagMs, now);
    scaleIn.forgetReturned(now, RETURNED_RETENTION_LAGS * lagMs + RETURNED_RETENTION_MARGIN_MS, present);
    if (now - this.startedAt > REMEMBERED_IMAGES_RETENTION_MS) cluster.rememberedImages.clear();
    scaleIn.returnMachines(failed, 'machine failed');
  }

  /** Adds a machine that an earlier leader or a late request provisioned: it is used, or returned as idle. */
  private addListed(entry: ListedMachine, askedAt: SteadyMs, now: SteadyMs): Machine {
    const { log, cluster, wake } = this.dependencies;
    const { id, type, zone, spot, state, ageS } = entry;
    const rentedAt = (askedAt - ageS * 1000) as SteadyMs;
    const machine = cluster.addMachine(id, type, zone, spot, now, rentedAt);
    log.info('machine-listed', { machine: id, type, zone, state });
    wake();
    return machine;
  }

  /** Ends the tasks of a machine that failed on its own: nothing runs there any more. */
  private endTasks(machine: Machine, now: SteadyMs): void {
    const { log, cluster } = this.dependencies;
    log.info('machine-failed', { machine: machine.id, tasks: machine.placements.size });
    for (const placement of machine.placements) cluster.endPlacement(placement, 'gone', now);
  }

  private removeMissing(
    present: ReadonlySet<MachineId>,
    askedAt: SteadyMs,
    lagMs: number,
    now: SteadyMs,
  ): void {
    const { log, cluster, scaleIn, wake } = this.dependencies;
    const uncertainMs = LIST_LAG_FACTOR * lagMs + LIST_LAG_MARGIN_MS;
    for (const machine of [...cluster.machines.values()]) {
      const { id, firstKnownAt, lastHeartbeat } = machine;
      if (present.has(id) || scaleIn.returning.has(id)) continue;
      // The list may describe a moment before the machine was first known, or before its last heartbeat.
      if (askedAt - firstKnownAt < uncertainMs) continue;
      if (lastHeartbeat !== undefined && askedAt - lastHeartbeat < uncertainMs) continue;
      log.info('machine-gone', { machine: id, tasks: machine.placements.size });
      cluster.removeMachine(machine, now);
      wake();
    }
  }
}

function updateFromList(machine: Machine, entry: ListedMachine, now: SteadyMs): void {
  machine.inProviderList = true;
  machine.address ??= entry.address;
  if (entry.state !== 'running' || machine.state !== 'booting') return;
  // The machine is up without a heartbeat yet: its capacity counts as incoming, and its heartbeats are due from now on.
  machine.state = 'up';
  machine.heartbeatsExpectedSince = now;
  machine.idleSince = now;
}
