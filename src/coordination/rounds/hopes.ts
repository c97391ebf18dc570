import type { JobId, ZoneName } from '../../protocol/ids.js';
import type { JobSpec } from '../../protocol/jobs.js';
import type { Job } from '../../bookkeeping/world.js';
import type { Picking } from './picking.js';
import { roomFor, type Room, type Rooms } from './rooms.js';
import { PATIENT_S, type Snapshot } from './snapshot.js';

/** Share of an aim's time that may pass in the hope of room that others give back. */
const HOPE = 0.6;

interface Release {
  readonly room: Room;
  readonly spec: JobSpec;
  readonly inS: number;
  taken: boolean;
}

/** Work that will end by itself soon: who may simply wait for it, rather than stop others. */
export class Hopes {
  private releases: Release[] | undefined;

  constructor(
    private readonly s: Snapshot,
    private readonly rooms: Rooms,
    private readonly picking: Picking,
    private readonly within: ReadonlySet<JobId>,
  ) {}

  /** No job waits longer than this for others to end. */
  private get patienceMost(): number {
    const { aims } = this.s;
    return HOPE * Math.max(PATIENT_S / HOPE, aims.guaranteeS ?? 0, ...aims.byClass.values());
  }

  /** Room that running tasks will give back by themselves, soonest first. */
  private comingReleases(): Release[] {
    if (this.releases) return this.releases;
    this.releases = [];
    const most = this.patienceMost;
    for (const room of this.rooms.all) {
      if (room.machine.used.tasks === room.machine.used.services) continue;
      for (const p of room.machine.placements) {
        const { spec } = p.job;
        if (p.ended || p.stop || spec.kind === 'service' || p.runningSince === undefined) continue;
        const inS = this.s.estimates.rest(spec, (this.s.now - p.runningSince) / 1000);
        if (inS > most) continue;
        this.releases.push({ room, spec, inS, taken: false });
      }
    }
    this.releases.sort((a, b) => a.inS - b.inS);
    return this.releases;
  }

  /**
   * How many of the job's tasks may simply wait for work that ends by itself. Stopping tasks that can't save
   * throws away what they did; where several end each second, that buys next to nothing.
   */
  servedByReleases(job: Job, count: number, zones: ReadonlyMap<ZoneName, number>): number {
    const { spec } = job;
    if (spec.kind === 'gang' && spec.tasks > 1) return 0;
    // A replica that ran and is missing is an outage now: it doesn't wait in hope (seen: seven seconds each, for
    // every replica of a zone that was cut off).
    if (spec.kind === 'service' && job.everStarted) return 0;
    const aims = [this.s.aims.byClass.get(spec.class)];
    if (this.within.has(job.id)) aims.push(this.s.aims.guaranteeS);
    const aim = Math.min(...aims.map((a) => a ?? Infinity));
    const hope = HOPE * (aim === Infinity ? PATIENT_S / HOPE : aim);
    const age = (this.s.now - job.acceptedAt) / 1000;
    const patience = age < hope ? hope - age : hope;
    let served = 0;
    for (const r of this.comingReleases()) {
      if (served >= count || r.inS > patience) break;
      if (r.taken || !this.picking.eligible(job, zones, r.room)) continue;
      const { room } = r;
      if (
        !roomFor(
          {
            cpus: room.cpus + r.spec.cpus,
            gpus: room.gpus + r.spec.gpus,
            memoryGb: room.memoryGb + r.spec.memoryGb,
          },
          spec,
        )
      )
        continue;
      r.taken = true;
      // What is free beside it is part of the hope, so nobody else may take that meanwhile.
      if (!roomFor(r.spec, spec)) room.reserved = true;
      served++;
    }
    return served;
  }
}
