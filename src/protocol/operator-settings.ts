import { err, ok, type Result } from '../transport/result.js';
import { parseSExpressions, listItems } from './s-expressions.js';

/**
 * Settings by the operators: a file of S-expressions such as
 *
 *     (store-lease-ms 4000) ; how long an unresponsive leader keeps its leadership
 *     (idle-return-s 40)
 *
 * All settings have defaults. An unknown name is rejected with its position.
 */
export interface OperatorSettings {
  readonly storeLeaseMs: number;
  readonly minCycleIntervalMs: number;
  readonly maxTasksPerPlan: number;
  readonly cycleWriteShare: number;
  readonly idleReturnS: number;
  readonly unresponsiveFenceS: number;
  readonly leaderShare: number;
  readonly keepPreProvisioned: number;
  readonly maxReservedShare: number;
  readonly preferUnderserved: number;
  readonly elastic: number;
  readonly pipelines: number;
  readonly pipelineSteps: number;
  readonly pipelinesPerTeam: number;
  readonly maxHeldSteps: number;
}

interface OperatorSettingDefinition {
  readonly field: keyof OperatorSettings;
  readonly defaultValue: number;
  readonly min: number;
  readonly max: number;
  readonly meaning: string;
}

export const OPERATOR_SETTINGS: Readonly<Record<string, OperatorSettingDefinition>> = {
  'store-lease-ms': {
    field: 'storeLeaseMs',
    defaultValue: 4000,
    min: 500,
    max: 600_000,
    meaning: 'lease of the leadership in the store',
  },
  'round-ms': {
    field: 'minCycleIntervalMs',
    defaultValue: 100,
    min: 10,
    max: 10_000,
    meaning: 'minimum time between two scheduling cycles',
  },
  'round-tasks': {
    field: 'maxTasksPerPlan',
    defaultValue: 400,
    min: 1,
    max: 10_000,
    meaning: 'maximum number of tasks in one plan',
  },
  'round-write-share': {
    field: 'cycleWriteShare',
    defaultValue: 0.6,
    min: 0.05,
    max: 0.95,
    meaning: 'share of the store write rate that scheduling cycles may use',
  },
  'idle-return-s': {
    field: 'idleReturnS',
    defaultValue: 0,
    min: 0,
    max: 86_400,
    meaning: 'idle time before a machine is returned; 0: the time that it would take to boot',
  },
  'silent-fence-s': {
    field: 'unresponsiveFenceS',
    defaultValue: 0,
    min: 0,
    max: 3600,
    meaning: 'time without a heartbeat before a machine is fenced; 0: 2.5 heartbeat intervals, at least 12 s',
  },
  'keep-standing': {
    field: 'keepPreProvisioned',
    defaultValue: 1,
    min: 0,
    max: 1,
    meaning: 'keep machines pre-provisioned before the service first ran (1) or return them when idle (0)',
  },
  'keep-rooms': {
    field: 'maxReservedShare',
    defaultValue: 0.25,
    min: 0,
    max: 0.9,
    meaning: 'share of all machines that may be reserved for blocked gangs; 0: none are reserved',
  },
  'share-floors': {
    field: 'preferUnderserved',
    defaultValue: 1,
    min: 0,
    max: 1,
    meaning: 'classes and teams that had less than their share of the machines go first (1) or not (0)',
  },
  elastic: {
    field: 'elastic',
    defaultValue: 0,
    min: 0,
    max: 1,
    meaning:
      'let jobs that ask for it change their width (1) or run them at a fixed width (0); the same on all controllers',
  },
  pipelines: {
    field: 'pipelines',
    defaultValue: 0,
    min: 0,
    max: 1,
    meaning: 'serve pipelines (1) or not (0); the same on all controllers',
  },
  'pipeline-steps': {
    field: 'pipelineSteps',
    defaultValue: 1000,
    min: 1,
    max: 5000,
    meaning: 'maximum number of steps of one pipeline',
  },
  'pipelines-per-team': {
    field: 'pipelinesPerTeam',
    defaultValue: 200,
    min: 1,
    max: 100_000,
    meaning: 'maximum number of live pipelines of one team',
  },
  'held-steps': {
    field: 'maxHeldSteps',
    defaultValue: 20_000,
    min: 1,
    max: 1_000_000,
    meaning: 'maximum number of held steps of all pipelines together',
  },
  'holder-share': {
    field: 'leaderShare',
    defaultValue: 0.85,
    min: 0.34,
    max: 0.9,
    meaning: "the leader's share of the state service's rate limits",
  },
};

export function defaultOperatorSettings(): OperatorSettings {
  return Object.fromEntries(
    Object.values(OPERATOR_SETTINGS).map((definition) => [definition.field, definition.defaultValue]),
  ) as unknown as OperatorSettings;
}

export async function parseOperatorSettings(
  text: string,
): Promise<Result<OperatorSettings, readonly string[]>> {
  const nodes = await parseSExpressions(text);
  if (!nodes.ok) return err([nodes.error]);
  const problems: string[] = [];
  const values: Record<string, number> = { ...defaultOperatorSettings() };
  const seen = new Set<string>();
  for (const node of nodes.value) {
    const position = `line ${node.location.start.line}, column ${node.location.start.column}`;
    const items = listItems(node);
    if (items.length !== 2 || items.some((item) => item.type !== 'atom')) {
      problems.push(`${position}: expected (name number)`);
      continue;
    }
    const name = items[0]!.content as string;
    const definition = Object.hasOwn(OPERATOR_SETTINGS, name) ? OPERATOR_SETTINGS[name] : undefined;
    const value = Number(items[1]!.content);
    if (!definition) problems.push(`${position}: unknown setting '${name}'`);
    else if (seen.has(name)) problems.push(`${position}: '${name}' is set twice`);
    else if (!Number.isFinite(value) || value < definition.min || value > definition.max) {
      problems.push(`${position}: '${name}' must be a number from ${definition.min} to ${definition.max}`);
    } else values[definition.field] = value;
    seen.add(name);
  }
  return problems.length > 0 ? err(problems) : ok(values as unknown as OperatorSettings);
}
