import type { StallAwareClock } from '../../transport/stall-aware-clock.js';
import type { SteadyMs } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { Machine } from '../../cluster/cluster-state.js';
import type { FleetClusterState } from '../leader/cluster-state-views.js';
import type { UnplacedTasks } from '../scheduling/snapshot.js';
import type { MachineTypeCatalog } from './machine-type-catalog.js';

const LOG_INTERVAL_MS = 10_000;

/** Dependencies of `FleetStateLog`, which only reads them. */
export interface FleetStateLogDependencies {
  readonly stallAwareClock: StallAwareClock;
  readonly log: Log;
  readonly types: MachineTypeCatalog;
  readonly cluster: FleetClusterState;
  /** Tasks that the last scheduling cycle left unplaced. */
  readonly unplaced: () => readonly UnplacedTasks[];
  /** The most underserved class and team. */
  readonly fairShareSummary: () => Record<string, unknown>;
}

/** GPUs of tasks by state, and machines by state and price; the names are the fields of the log line. */
interface FleetCounts {
  ordinary: number;
  spot: number;
  booting: number;
  idle: number;
  gpus: number;
  running: number;
  starting: number;
}

/** Writes the `fleet-state` log line, which shows operators the state of the fleet. It changes nothing. */
export class FleetStateLog {
  private lastAt = -Infinity;

  constructor(private readonly dependencies: FleetStateLogDependencies) {}

  /** Writes the line if it is due. */
  writeIfDue(now: SteadyMs): void {
    if (now - this.lastAt < LOG_INTERVAL_MS) return;
    this.lastAt = now;
    const { stallAwareClock, log, cluster, fairShareSummary } = this.dependencies;
    log.info('fleet-state', {
      ...this.countMachines(),
      waiting: this.countWaiting(),
      served: fairShareSummary(),
      cardSeconds: cluster.cardSeconds.snapshot(),
      stalledMs: Math.round(stallAwareClock.stalledMs),
    });
  }

  private countMachines(): FleetCounts {
    const { cluster, types } = this.dependencies;
    const counts = { ordinary: 0, spot: 0, booting: 0, idle: 0, gpus: 0, running: 0, starting: 0 };
    for (const machine of cluster.machines.values()) {
      if (machine.state === 'booting') counts.booting++;
      else counts[machine.spot ? 'spot' : 'ordinary']++;
      if (machine.state === 'up') counts.gpus += types.all().get(machine.type)?.gpus ?? 0;
      if (machine.state === 'up' && machine.placements.size === 0) counts.idle++;
      countTasks(machine, counts);
    }
    return counts;
  }

  private countWaiting(): Record<string, number> {
    const waiting: Record<string, number> = {};
    for (const { reason, count } of this.dependencies.unplaced()) {
      waiting[reason] = (waiting[reason] ?? 0) + count;
    }
    return waiting;
  }
}

function countTasks(machine: Machine, counts: FleetCounts): void {
  for (const { ended, state, job } of machine.placements) {
    if (!ended) counts[state === 'running' ? 'running' : 'starting'] += job.spec.gpus;
  }
}
