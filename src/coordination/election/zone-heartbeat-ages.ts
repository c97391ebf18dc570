import type { SteadyMs } from '../../transport/clock.js';
import type { ZoneName } from '../../protocol/ids.js';

/** The delay of a frame varies, and adds to the age that it carries. */
const FRAME_DELAY_TOLERANCE_MS = 1000;

/**
 * Time since the latest heartbeat from any agent of each zone, as the latest leader recorded it: another controller, or this one in an
 * earlier term. A new leader continues from these ages, so that a zone that was cut off before the term isn't counted as unresponsive
 * only from its start. Durations are kept, not times: time in which nobody recorded anything doesn't count, since another leader
 * may have received heartbeats meanwhile. With times, a leader whose term restarted 15 s after a failover would take the
 * whole fleet for unresponsive since the failover, and return it in its first check.
 */
export class ZoneHeartbeatAges {
  private readonly last = new Map<ZoneName, { readonly ageMs: number; readonly recordedAt: SteadyMs }>();

  record(zone: ZoneName, ageMs: number, now: SteadyMs): void {
    const previous = this.last.get(zone);
    // A deposed leader that doesn't know it yet keeps sending ages: the later heartbeat counts.
    if (previous && now - ageMs < previous.recordedAt - previous.ageMs - FRAME_DELAY_TOLERANCE_MS) return;
    this.last.set(zone, { ageMs, recordedAt: now });
  }

  /** Returns the recorded ages in milliseconds. */
  agesMs(): ReadonlyMap<ZoneName, number> {
    return new Map([...this.last].map(([zone, { ageMs }]) => [zone, ageMs]));
  }
}
