/**
 * Decides whether a job can ever run, before it is accepted.
 *
 * Owns a short-lived cache of the zones in which machines of each type exist. It decides by the submission, the team
 * limits and the machine types, never by free capacity.
 */
import type { Clock, SteadyMs } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import type { MachineType } from '../../protocol/cloud.js';
import type { TeamName, TypeName, ZoneName } from '../../protocol/ids.js';
import type { JobSpec } from '../../protocol/jobs.js';
import type { TeamLimits } from '../../protocol/settings.js';
import type { CloudClient } from '../../storage/cloud-client.js';
import type { MachineTypeCatalog } from '../fleet/machine-type-catalog.js';
import { fitsMachineType } from '../scheduling/eligibility.js';
import { refusal, type Refusal } from './refusals.js';

/** `unknown`: the answer depends on the provider's machine list, which is being requested. */
export type FeasibilityVerdict =
  | { readonly kind: 'feasible' }
  | { readonly kind: 'infeasible'; readonly refusal: Refusal }
  | { readonly kind: 'unknown'; readonly refusal: Refusal };

export interface FeasibilityDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly teams: ReadonlyMap<TeamName, TeamLimits>;
  readonly types: Pick<MachineTypeCatalog, 'all'>;
  readonly cloud: Pick<CloudClient, 'list'>;
}

/** Outside the provider's offers no new machines appear, and existing ones stay listed, so the list may be this old. */
const LOCATIONS_VALID_MS = 60_000;
const LIST_RETRY_MS = 2000;
/** Tolerance for sums of fractional CPUs and GPUs. */
const EPSILON = 1e-9;

const FEASIBLE: FeasibilityVerdict = { kind: 'feasible' };

const infeasible = (reason: Refusal): FeasibilityVerdict => ({ kind: 'infeasible', refusal: reason });

/**
 * Judges jobs by machine types and the zones in which these are offered, and by existing machines in zones where their
 * type is not offered (the operator provided them). The machine list is requested only when a verdict depends on it.
 *
 * Machine types alone do not suffice: a job bound to a zone without a fitting type would be accepted and wait for ever, and
 * so would a gang that requires one zone and spread over zones at the same time.
 */
export class FeasibilityChecker {
  private locations: ReadonlyMap<TypeName, ReadonlySet<ZoneName>> | undefined;
  private locationsAt = -Infinity;
  private requestedAt = -Infinity;

  constructor(private readonly dependencies: FeasibilityDependencies) {}

  check(spec: JobSpec): FeasibilityVerdict {
    const { teams, types } = this.dependencies;
    const team = teams.get(spec.team);
    if (!team) return infeasible(refusal('unknownTeam', spec.team));
    const fittingTypes = [...types.all().values()].filter((type) => fitsMachineType(spec, type));
    if (fittingTypes.length === 0) return infeasible(refusal('noMachineType'));
    const overLimit = teamLimitRefusal(spec, team);
    if (overLimit) return infeasible(overLimit);
    return this.checkZones(spec, fittingTypes);
  }

  private checkZones(spec: JobSpec, fittingTypes: readonly MachineType[]): FeasibilityVerdict {
    const spread = spec.spread && concurrentTasks(spec) > 1;
    if (spread && spec.oneZone) return infeasible(refusal('spreadInOneZone'));
    const requiredZones = spread ? 2 : 1;
    const zones = new Set(fittingTypes.flatMap((type) => type.zones));
    if (countAllowedZones(spec, zones) >= requiredZones) return FEASIBLE;

    const locations = this.existingLocations();
    if (!locations) return { kind: 'unknown', refusal: refusal('machinesUnknown') };
    for (const type of fittingTypes) {
      for (const zone of locations.get(type.name) ?? []) zones.add(zone);
    }
    const allowedZones = countAllowedZones(spec, zones);
    if (allowedZones >= requiredZones) return FEASIBLE;
    if (allowedZones > 0) return infeasible(refusal('noSecondZone'));
    return infeasible(spec.zone === null ? refusal('noZone') : refusal('zoneWithoutType', spec.zone));
  }

  /** Zones of the existing machines of each type; undefined until the provider's list has been received. */
  private existingLocations(): ReadonlyMap<TypeName, ReadonlySet<ZoneName>> | undefined {
    const now: SteadyMs = this.dependencies.clock.now();
    if (now - this.locationsAt < LOCATIONS_VALID_MS) return this.locations;
    if (now - this.requestedAt >= LIST_RETRY_MS) {
      this.requestedAt = now;
      void this.requestLocations();
    }
    return undefined;
  }

  /** Never rejects: the client returns failures as values. A failed request is repeated by a later check. */
  private async requestLocations(): Promise<void> {
    const { clock, cloud, log } = this.dependencies;
    const list = await cloud.list();
    if (!list.ok) return;
    const { machines } = list.value;
    const locations = new Map<TypeName, Set<ZoneName>>();
    for (const { type, zone } of machines) {
      locations.set(type, (locations.get(type) ?? new Set()).add(zone));
    }
    this.locations = locations;
    this.locationsAt = clock.now();
    log.info('machine-locations-loaded', { machines: machines.length });
  }
}

/** Tasks that have to run at the same time; those of an array may run one after the other. */
const concurrentTasks = (spec: JobSpec): number => (spec.kind === 'array' ? 1 : spec.tasks);

/** A limit of 0 means none. */
const exceeds = (amount: number, limit: number): boolean => limit > 0 && amount > limit + EPSILON;

function teamLimitRefusal(spec: JobSpec, team: TeamLimits): Refusal | undefined {
  const tasks = concurrentTasks(spec);
  if (exceeds(tasks * spec.gpus, team.gpusMax)) return refusal('gpuLimit', team.name);
  if (exceeds(tasks * spec.cpus, team.cpusMax)) return refusal('cpuLimit', team.name);
  return undefined;
}

function countAllowedZones(spec: JobSpec, zones: ReadonlySet<ZoneName>): number {
  if (spec.zone === null) return zones.size;
  return zones.has(spec.zone) ? 1 : 0;
}
