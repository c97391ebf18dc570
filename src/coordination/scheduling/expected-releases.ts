import type { JobId, ZoneName } from '../../protocol/ids.js';
import type { JobSpec } from '../../protocol/jobs.js';
import type { Job } from '../../cluster/cluster-state.js';
import type { MachineSelector } from './machine-selector.js';
import type { CapacityIndex, FreeCapacity } from './capacity-index.js';
import { hasCapacityFor } from './resources.js';
import { DEFAULT_PATIENCE_S } from './objectives.js';
import type { SchedulingSnapshot } from './snapshot.js';

/** Share of a start objective that a job may wait for expected releases. */
const WAIT_SHARE_OF_OBJECTIVE = 0.6;

/** A running task whose capacity is expected to be released. */
interface Release {
  readonly capacity: FreeCapacity;
  readonly spec: JobSpec;
  readonly remainingS: number;
  /** Whether a waiting task counts on it in this cycle. */
  isClaimed: boolean;
}

/** Expected releases: running work that will soon complete, for which a job may wait rather than preempt others. */
export class ExpectedReleases {
  private releases: Release[] | undefined;

  constructor(
    private readonly snapshot: SchedulingSnapshot,
    private readonly capacityIndex: CapacityIndex,
    private readonly machineSelector: MachineSelector,
    private readonly withinGuarantee: ReadonlySet<JobId>,
  ) {}

  /** The longest time that any job waits for expected releases. */
  private get maxPatienceS(): number {
    const { objectives } = this.snapshot;
    return (
      WAIT_SHARE_OF_OBJECTIVE *
      Math.max(
        DEFAULT_PATIENCE_S / WAIT_SHARE_OF_OBJECTIVE,
        objectives.guaranteeWithinS ?? 0,
        ...objectives.startWithinSByClass.values(),
      )
    );
  }

  /** Capacity that running tasks will release by completing, soonest first. */
  private expectedReleases(): Release[] {
    if (this.releases) return this.releases;
    this.releases = [];
    const maxPatienceS = this.maxPatienceS;
    for (const capacity of this.capacityIndex.all) {
      if (capacity.machine.usage.tasks === capacity.machine.usage.services) continue;
      for (const placement of capacity.machine.placements) {
        const { spec } = placement.job;
        if (
          placement.ended ||
          placement.stop ||
          spec.kind === 'service' ||
          placement.runningSince === undefined
        )
          continue;
        const remainingS = this.snapshot.estimates.remainingSeconds(
          spec,
          (this.snapshot.now - placement.runningSince) / 1000,
        );
        if (remainingS > maxPatienceS) continue;
        this.releases.push({ capacity, spec, remainingS, isClaimed: false });
      }
    }
    this.releases.sort((a, b) => a.remainingS - b.remainingS);
    return this.releases;
  }

  /**
   * How many of the job's tasks may wait for expected releases. Preempting tasks that save no checkpoint discards their
   * work, and gains almost nothing where several tasks complete each second.
   */
  countServedByReleases(job: Job, count: number, tasksByZone: ReadonlyMap<ZoneName, number>): number {
    const { spec } = job;
    if (spec.kind === 'gang' && spec.tasks > 1) return 0;
    // A missing replica of a service that has run is an outage and does not wait: waiting cost seven seconds for each
    // replica of an unreachable zone.
    if (spec.kind === 'service' && job.hasStarted) return 0;
    const objectivesS = [this.snapshot.objectives.startWithinSByClass.get(spec.class)];
    if (this.withinGuarantee.has(job.id)) objectivesS.push(this.snapshot.objectives.guaranteeWithinS);
    const objectiveS = Math.min(...objectivesS.map((a) => a ?? Infinity));
    const waitS =
      WAIT_SHARE_OF_OBJECTIVE *
      (objectiveS === Infinity ? DEFAULT_PATIENCE_S / WAIT_SHARE_OF_OBJECTIVE : objectiveS);
    const ageS = (this.snapshot.now - job.acceptedAt) / 1000;
    const patienceS = ageS < waitS ? waitS - ageS : waitS;
    let served = 0;
    for (const release of this.expectedReleases()) {
      if (served >= count || release.remainingS > patienceS) break;
      if (release.isClaimed || !this.machineSelector.isFeasible(job, tasksByZone, release.capacity)) continue;
      const { capacity } = release;
      if (
        !hasCapacityFor(
          {
            cpus: capacity.cpus + release.spec.cpus,
            gpus: capacity.gpus + release.spec.gpus,
            memoryGb: capacity.memoryGb + release.spec.memoryGb,
          },
          spec,
        )
      )
        continue;
      release.isClaimed = true;
      // The task also needs the machine's capacity that is free now, so no other job may take it meanwhile.
      if (!hasCapacityFor(release.spec, spec)) capacity.reserved = true;
      served++;
    }
    return served;
  }
}
