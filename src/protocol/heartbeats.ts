import * as z from 'zod';
import { ok, type Result } from '../transport/result.js';
import { nonNegativeNumber, decode, encode, parse, u64 } from './codec.js';
import {
  parseTaskName,
  taskName,
  type Address,
  type Attempt,
  type JobId,
  type MachineId,
  type MemberName,
  type HeartbeatSequence,
  type AgentEpoch,
  type TaskIndex,
  type Term,
  type TypeName,
  type ZoneName,
} from './ids.js';
import { Causes, F, invert, Ops, TaskStates, type Cause, type TaskState } from './wire.js';

export interface ReportedTask {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly state: TaskState;
  readonly cause?: Cause;
  readonly saved: boolean;
}

export interface Heartbeat {
  readonly machine: MachineId;
  readonly address: Address;
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  readonly epoch: AgentEpoch;
  readonly sequence: HeartbeatSequence;
  readonly token: Term;
  readonly noticeS: number | null;
  readonly tasks: readonly ReportedTask[];
}

const taskStateByWireName = invert(TaskStates);
const causeByWireName = invert(Causes);

export const heartbeatSchema = z
  .object({
    [F.machine]: z.string().min(1),
    [F.address]: z.string().min(1),
    [F.type]: z.string().min(1),
    [F.zone]: z.string().min(1),
    [F.spot]: z.boolean(),
    [F.agentEpoch]: u64,
    [F.seq]: u64,
    [F.token]: u64,
    [F.noticeS]: nonNegativeNumber.nullish(),
    [F.tasks]: z.array(
      z.object({
        [F.task]: z.string(),
        [F.attempt]: u64,
        [F.state]: z.string(),
        [F.cause]: z.string().nullish(),
        [F.saved]: z.boolean().nullish(),
      }),
    ),
  })
  .transform((wire): Heartbeat => heartbeatFromWire(wire));

interface WireHeartbeat {
  readonly [F.machine]: string;
  readonly [F.address]: string;
  readonly [F.type]: string;
  readonly [F.zone]: string;
  readonly [F.spot]: boolean;
  readonly [F.agentEpoch]: bigint;
  readonly [F.seq]: bigint;
  readonly [F.token]: bigint;
  readonly [F.noticeS]?: number | null | undefined;
  readonly [F.tasks]: readonly WireTask[];
}

export interface WireTask {
  readonly [F.task]: string;
  readonly [F.attempt]: bigint | number;
  readonly [F.state]: string;
  readonly [F.cause]?: string | null | undefined;
  readonly [F.saved]?: boolean | null | undefined;
}

/** Undefined if the task name is invalid. */
export function toReportedTask(wire: WireTask): ReportedTask | undefined {
  const name = parseTaskName(wire[F.task]);
  if (!name) return undefined;
  const { job, index } = name;
  const attempt = BigInt(wire[F.attempt]) as Attempt;
  // A state that this version does not know still means that the task is on the machine.
  const state = taskStateByWireName.get(wire[F.state]) ?? 'running';
  const saved = wire[F.saved] ?? false;
  const wireCause = wire[F.cause];
  const cause = wireCause ? causeByWireName.get(wireCause) : undefined;
  return cause ? { job, index, attempt, state, cause, saved } : { job, index, attempt, state, saved };
}

function heartbeatFromWire(wire: WireHeartbeat): Heartbeat {
  const tasks: ReportedTask[] = [];
  for (const wireTask of wire[F.tasks]) {
    const task = toReportedTask(wireTask);
    if (task) tasks.push(task);
  }
  return {
    machine: wire[F.machine] as MachineId,
    address: wire[F.address] as Address,
    type: wire[F.type] as TypeName,
    zone: wire[F.zone] as ZoneName,
    spot: wire[F.spot],
    epoch: wire[F.agentEpoch] as AgentEpoch,
    sequence: wire[F.seq] as HeartbeatSequence,
    token: wire[F.token] as Term,
    noticeS: wire[F.noticeS] ?? null,
    tasks,
  };
}

type Fields = Record<string, unknown>;

const isNonEmptyString = (v: unknown): boolean => typeof v === 'string' && v.length > 0;
const isNonNegativeInteger = (v: unknown): boolean =>
  typeof v === 'number' && Number.isSafeInteger(v) && v >= 0;

/**
 * Decodes a heartbeat. The usual form is checked by hand-written code, since hundreds arrive per second. Any other form
 * is left to the schema, which alone describes what is wrong with it.
 */
export function decodeHeartbeat(bytes: Uint8Array): Result<Heartbeat, string> {
  const data = decode(bytes);
  if (!data.ok) return data;
  const fields = data.value as Fields | null;
  if (typeof fields !== 'object' || fields === null || !isPlainWireHeartbeat(fields))
    return parse(heartbeatSchema, data.value);
  const integerFields = [F.agentEpoch, F.seq, F.token] as const;
  for (const field of integerFields) fields[field] = BigInt(fields[field] as number);
  return ok(heartbeatFromWire(fields as unknown as WireHeartbeat));
}

function isPlainWireHeartbeat(fields: Fields): boolean {
  const notice = fields[F.noticeS];
  const tasks = fields[F.tasks];
  return (
    isNonEmptyString(fields[F.machine]) &&
    isNonEmptyString(fields[F.address]) &&
    isNonEmptyString(fields[F.type]) &&
    isNonEmptyString(fields[F.zone]) &&
    typeof fields[F.spot] === 'boolean' &&
    isNonNegativeInteger(fields[F.agentEpoch]) &&
    isNonNegativeInteger(fields[F.seq]) &&
    isNonNegativeInteger(fields[F.token]) &&
    (notice === null || notice === undefined || (typeof notice === 'number' && notice >= 0)) &&
    Array.isArray(tasks) &&
    tasks.every(isWireTask)
  );
}

export function isWireTask(task: unknown): task is WireTask {
  if (typeof task !== 'object' || task === null) return false;
  const fields = task as Fields;
  const wireCause = fields[F.cause];
  const saved = fields[F.saved];
  return (
    typeof fields[F.task] === 'string' &&
    isNonNegativeInteger(fields[F.attempt]) &&
    typeof fields[F.state] === 'string' &&
    (wireCause === undefined || wireCause === null || typeof wireCause === 'string') &&
    (saved === undefined || saved === null || typeof saved === 'boolean')
  );
}

export const encodeHeartbeat = (heartbeat: Heartbeat): Uint8Array =>
  encode({
    [F.machine]: heartbeat.machine,
    [F.address]: heartbeat.address,
    [F.type]: heartbeat.type,
    [F.zone]: heartbeat.zone,
    [F.spot]: heartbeat.spot,
    [F.agentEpoch]: heartbeat.epoch,
    [F.seq]: heartbeat.sequence,
    [F.token]: heartbeat.token,
    [F.noticeS]: heartbeat.noticeS,
    [F.tasks]: heartbeat.tasks.map((task) => ({
      [F.task]: taskName(task.job, task.index),
      [F.attempt]: task.attempt,
      [F.state]: TaskStates[task.state],
      ...(task.cause ? { [F.cause]: Causes[task.cause] } : {}),
      ...(task.saved ? { [F.saved]: true } : {}),
    })),
  });

export type Command =
  | { readonly op: 'start'; readonly job: JobId; readonly index: TaskIndex; readonly attempt: Attempt }
  | {
      readonly op: 'stop';
      readonly job: JobId;
      readonly index: TaskIndex;
      readonly attempt: Attempt;
      readonly graceS: number;
    }
  | { readonly op: 'forget'; readonly job: JobId; readonly index: TaskIndex; readonly attempt: Attempt };

const commandToWire = (command: Command): Record<string, unknown> => ({
  [F.op]: Ops[command.op],
  [F.task]: taskName(command.job, command.index),
  [F.attempt]: command.attempt,
  ...(command.op === 'stop' ? { [F.graceS]: command.graceS } : {}),
});

export const encodeCommands = (
  token: Term,
  commands: readonly Command[],
  agentEpoch?: AgentEpoch,
): Uint8Array =>
  encode({
    [F.token]: token,
    ...(agentEpoch === undefined ? {} : { [F.agentEpoch]: agentEpoch }),
    [F.commands]: commands.map(commandToWire),
  });

const opByWireName = invert(Ops);

/** Commands from a controller as an agent reads them; the simulated agent of the tests uses this schema too. */
export const commandsSchema = z
  .object({
    [F.token]: u64,
    [F.agentEpoch]: u64.optional(),
    [F.commands]: z.array(
      z.object({
        [F.op]: z.string(),
        [F.task]: z.string(),
        [F.attempt]: u64,
        [F.graceS]: nonNegativeNumber.optional(),
      }),
    ),
  })
  .transform((wire) => {
    const commands: Command[] = [];
    for (const wireCommand of wire[F.commands]) {
      const name = parseTaskName(wireCommand[F.task]);
      const op = opByWireName.get(wireCommand[F.op]);
      if (!name || !op) continue;
      const base = { ...name, attempt: wireCommand[F.attempt] as Attempt };
      commands.push(op === 'stop' ? { op, ...base, graceS: wireCommand[F.graceS] ?? 0 } : { op, ...base });
    }
    const agentEpoch = wire[F.agentEpoch] as AgentEpoch | undefined;
    return { token: wire[F.token] as Term, ...(agentEpoch === undefined ? {} : { agentEpoch }), commands };
  });

export const encodeLeaderRedirect = (leader: MemberName | undefined): Uint8Array =>
  encode(leader === undefined ? {} : { [F.leader]: leader });

export const leaderRedirectSchema = z
  .object({ [F.leader]: z.string().nullish() })
  .transform((wire) => wire[F.leader] ?? undefined);
