import type { SteadyMs } from '../../transport/clock.js';
import type { MachineType } from '../../protocol/cloud.js';
import type { TypeName } from '../../protocol/ids.js';
import type { Settings } from '../../protocol/settings.js';
import type { Job, Machine } from '../../cluster/cluster-state.js';
import { bootTimeoutMs } from '../fleet/boot-timeouts.js';
import { PROBE_INTERVAL_MS, PROBE_TIMEOUT_MS } from '../fleet/machine-failure-detector.js';
import { MAX_RETRY_DELAY_S } from '../heartbeats/task-failures.js';
import {
  fitsMachineType,
  ineligibilityReason,
  type EligibilityContext,
  type IneligibilityReason,
} from '../scheduling/eligibility.js';

/** The settings that determine how long a machine takes to become eligible again. */
export type AgentSettings = Pick<Settings['workers'], 'reportS' | 'leaseS'>;

export interface IneligibilityEnd {
  /** When the reason began; undefined where that is not recorded. */
  readonly since: SteadyMs | undefined;
  /** Upper bound, from when the machine has no fault any more. */
  readonly withinS: number;
  /** The event that ends it, as a clause for the user. */
  readonly endsWhen: string;
}

/** An agent whose controller does not answer waits 4 s for the answer, and tries the next controller 1 s later. */
const AGENT_FAILOVER_S = 5;
/** Heartbeats are up to a quarter of their interval early or late. */
const HEARTBEAT_JITTER_FACTOR = 1.25;

/**
 * Returns, for each reason for which a machine gets no new tasks, how it ends, and within what time once the fault is over.
 * This is well under 90 s, the longest that a job may wait while a machine has free capacity. If the fault persists, the
 * machine is returned and replaced: after a fence (`fleet/machine-failure-detector.ts`), a boot timeout, or half of `cancel_s`.
 */
export function ineligibilityEnd(
  reason: IneligibilityReason,
  machine: Machine,
  bootS: number,
  agentSettings: AgentSettings,
  now: SteadyMs,
): IneligibilityEnd {
  const heartbeatS = HEARTBEAT_JITTER_FACTOR * agentSettings.reportS;
  switch (reason) {
    case 'booting':
      return {
        since: machine.rentedAt,
        withinS: bootTimeoutMs(bootS) / 1000,
        endsWhen: 'it is up, or is given back',
      };
    case 'returning':
      return { since: undefined, withinS: 4, endsWhen: 'the cloud says that it is gone' };
    case 'not-fenced':
      return {
        since: machine.heartbeatsExpectedSince,
        withinS: AGENT_FAILOVER_S + 2 * heartbeatS,
        endsWhen: 'it has taken this term in a report',
      };
    case 'heartbeat-late':
      return { since: machine.lastHeartbeat, withinS: AGENT_FAILOVER_S + heartbeatS, endsWhen: 'it reports' };
    case 'interrupted': {
      const leftS = Math.max(0, ((machine.interruptionAt ?? now) - now) / 1000);
      return {
        since: undefined,
        withinS: leftS,
        endsWhen: 'the cloud takes it, or it is idle and given back',
      };
    }
    case 'quarantined':
      return {
        since: undefined,
        withinS: Math.min(MAX_RETRY_DELAY_S, (machine.quarantinedUntil - now) / 1000),
        endsWhen: 'time',
      };
    case 'suspect':
      return {
        since: machine.suspectedSince,
        withinS: (PROBE_INTERVAL_MS + PROBE_TIMEOUT_MS) / 1000,
        endsWhen: 'it answers a look',
      };
    case 'zone-silent':
      return {
        since: machine.lastHeartbeat,
        withinS: AGENT_FAILOVER_S + heartbeatS,
        endsWhen: 'any machine of the zone reports',
      };
    case 'orphan-tasks':
      return { since: undefined, withinS: 2 * heartbeatS, endsWhen: 'what no plan put there is stopped' };
    case 'exits-retained':
      return {
        since: undefined,
        withinS: agentSettings.leaseS / 2 + 2 * heartbeatS,
        endsWhen: 'it has taken a higher token and forgotten them',
      };
  }
}

const REASON_TEXTS: Readonly<Record<IneligibilityReason, string>> = {
  booting: 'boot',
  returning: 'are being given back',
  'not-fenced': 'have not reported in this term',
  'heartbeat-late': 'are late with their report',
  interrupted: 'are to be taken away',
  quarantined: 'failed or refused tasks just now',
  suspect: 'seem not to hear',
  'zone-silent': 'are in a zone that has fallen silent',
  'orphan-tasks': 'run what no plan put there',
  'exits-retained': 'still have to remember many attempts that ended',
};

/** Returns a line per reason for which machines that may run the job get no new tasks: how many, since when, when it ends. */
export function explainIneligibleMachines(
  job: Job,
  machines: Iterable<Machine>,
  types: ReadonlyMap<TypeName, MachineType>,
  context: EligibilityContext,
  agentSettings: AgentSettings,
): string[] {
  const { now } = context;
  const summaries = new Map<
    IneligibilityReason,
    { count: number; since: SteadyMs; withinS: number; endsWhen: string }
  >();
  let avoided = 0;
  let avoidedS = 0;
  for (const machine of machines) {
    const type = types.get(machine.type);
    const { spec } = job;
    if (!type || !fitsMachineType(spec, type) || (machine.spot && !spec.spot)) continue;
    if (spec.zone !== null && spec.zone !== machine.zone) continue;
    const reason = ineligibilityReason(machine, context);
    if (reason === undefined) {
      const untilS = ((job.avoidedUntil.get(machine.id) ?? now) - now) / 1000;
      if (untilS > 0) avoided++;
      avoidedS = Math.max(avoidedS, untilS);
      continue;
    }
    const end = ineligibilityEnd(reason, machine, type.bootS, agentSettings, now);
    const summary = summaries.get(reason) ?? { count: 0, since: now, withinS: 0, endsWhen: end.endsWhen };
    summary.count++;
    if (end.since !== undefined && end.since < summary.since) summary.since = end.since;
    summary.withinS = Math.max(summary.withinS, end.withinS);
    summaries.set(reason, summary);
  }
  const lines = [...summaries].map(([reason, { count, since, withinS, endsWhen }]) => {
    const from = since < now ? `, the first since ${Math.round((now - since) / 1000)} s` : '';
    const or = reason === 'heartbeat-late' || reason === 'zone-silent' ? ', or it is given back' : '';
    return `Of machines that may run it ${count} ${REASON_TEXTS[reason]}${from}; it ends when ${endsWhen}, within ${Math.ceil(withinS)} s once all is well${or}.`;
  });
  if (avoided > 0)
    lines.push(
      `It keeps away from ${avoided} where it failed, was refused or made way, for ${Math.ceil(avoidedS)} s at most.`,
    );
  return lines;
}
