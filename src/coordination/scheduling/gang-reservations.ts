import { plus, type SteadyMs } from '../../transport/clock.js';
import type { MachineId } from '../../protocol/ids.js';

/**
 * The longest uninterrupted time that a machine is reserved for gangs: no job may wait for 90 s while a machine
 * is free.
 */
const MAX_RESERVED_MS = 40_000;

/** How long the machine is then open to every job that fits. */
const OPEN_MS = 20_000;

/** A reservation that no cycle has named for longer than this has ended. Cycles may be seconds apart. */
const MAX_GAP_MS = 5000;

interface ReservedPeriod {
  readonly since: SteadyMs;
  lastNamedAt: SteadyMs;
}

/**
 * Bounds how long machines with free capacity are reserved for gangs.
 *
 * Capacity is reserved in two ways: by the fair-share policy's reservations (`fair-share/`), up to twice the
 * time after which the last machine is expected to be free; and cycle by cycle for the first gang in queue
 * order that does not find all of its machines. Both need a bound: the last machine may be minutes away or
 * gone for good, and another gang may be next. So each machine is reserved for a limited time, whichever gang
 * it is for, and is then open for a while. Without the bound, a gang of two whole machines, one of which had
 * failed and could not be replaced, kept all other jobs waiting indefinitely for the other one.
 *
 * This class decides for how long machines are reserved, never which machines or for which gang.
 */
export class GangReservations {
  private readonly reserved = new Map<MachineId, ReservedPeriod>();
  private readonly openUntil = new Map<MachineId, SteadyMs>();

  /** Whether the machine's free capacity may be withheld from other jobs now. */
  mayReserve(machine: MachineId, now: SteadyMs): boolean {
    return (this.openUntil.get(machine) ?? -Infinity) <= now;
  }

  /** Records the machines whose free capacity the cycle just planned has withheld. */
  recordReserved(machines: Iterable<MachineId>, now: SteadyMs): void {
    for (const machine of machines) {
      const period = this.reserved.get(machine);
      if (period) period.lastNamedAt = now;
      else this.reserved.set(machine, { since: now, lastNamedAt: now });
    }
    this.endReservedPeriods(now);
    for (const [machine, until] of this.openUntil) {
      if (until <= now) this.openUntil.delete(machine);
    }
  }

  private endReservedPeriods(now: SteadyMs): void {
    for (const [machine, period] of this.reserved) {
      if (now - period.lastNamedAt > MAX_GAP_MS) this.reserved.delete(machine);
      else if (now - period.since >= MAX_RESERVED_MS) {
        this.reserved.delete(machine);
        this.openUntil.set(machine, plus(now, OPEN_MS));
      }
    }
  }
}
