/**
 * Plans and their receipts. A plan says which attempt of which task goes to which machine; its receipt, written in the
 * transaction that commits it, proves that the transaction passed the leadership condition.
 */
import * as z from 'zod';
import { jsonByteLength, u64 } from '../../protocol/codec.js';
import type {
  AgentEpoch,
  Attempt,
  JobId,
  MachineId,
  PlanId,
  Term,
  TypeName,
  ZoneName,
} from '../../protocol/ids.js';
import { ok, type Result } from '../../transport/result.js';
import { bytesLeftBeside, unseal, type SealedRecord } from './record-envelope.js';

/** Tasks of one job that a plan sends to one machine. */
export interface PlanGroup {
  readonly machine: MachineId;
  /** Epoch of the machine's agent that the tasks were planned for. */
  readonly session: AgentEpoch;
  /** Type and zone of the machine, so that a new leader can count its tasks before the machine has sent a heartbeat. */
  readonly type: TypeName;
  readonly zone: ZoneName;
  readonly spot: boolean;
  /** Task indices as ranges, `0-4,9`. */
  readonly tasks: string;
}

/** What a plan starts of one job. */
export interface PlanJob {
  readonly job: JobId;
  readonly attempt: Attempt;
  readonly on: readonly PlanGroup[];
}

/** What one scheduling cycle commits: which attempt of which task goes to which epoch of which machine. Never changed. */
export interface Plan {
  readonly id: PlanId;
  readonly term: Term;
  readonly jobs: readonly PlanJob[];
}

/** Stored form of a plan. */
export const planSchema = z
  .object({
    id: z.string(),
    term: u64,
    jobs: z.array(
      z.object({
        job: z.string(),
        attempt: u64,
        on: z.array(
          z.object({
            machine: z.string(),
            session: u64,
            type: z.string(),
            zone: z.string(),
            spot: z.boolean(),
            tasks: z.string(),
          }),
        ),
      }),
    ),
  })
  .transform((w) => w as unknown as Plan);

/** Returns the bytes that one value leaves for the jobs of a plan, as the store counts bytes. */
export const planCapacityBytes = (empty: Plan, valueKb: number): number => bytesLeftBeside(empty, valueKb);

/** Returns the bytes that a job takes in a plan, including the comma after it. */
export const planJobBytes = (job: PlanJob): number => jsonByteLength(job) + 1;

/** Reads a sealed plan; its checksum is what the plan's receipt names. */
export const decodePlan = (value: unknown): Result<{ plan: Plan; sum: string }, string> => {
  const plan = unseal(planSchema, value);
  return plan.ok ? ok({ plan: plan.value, sum: (value as SealedRecord).sum }) : plan;
};

/** A generation that a cycle claimed for a job without writing its record; the next write of the record includes it. */
export interface GenerationClaim {
  readonly job: JobId;
  readonly generation: number;
  /** Of an elastic job: the width it is to have under this generation. */
  readonly width?: number;
}

/**
 * Proof that the plan's transaction passed the leadership condition. It replaces writes to the records of jobs that already run:
 * the transaction conditions on the mod revision of each as if it wrote the record.
 */
export interface PlanReceipt {
  readonly plan: PlanId;
  /** Checksum of the plan: a plan of the same identity with another payload is never run. */
  readonly sum: string;
  readonly term: Term;
  readonly claims: readonly GenerationClaim[];
}
/** Stored form of a receipt; claims may be missing, which reads as none. */
export const planReceiptSchema = z
  .object({
    plan: z.string(),
    sum: z.string(),
    term: u64,
    claims: z
      .array(z.object({ job: z.string(), generation: z.number(), width: z.number().optional() }))
      .default([]),
  })
  .transform((w) => w as unknown as PlanReceipt);
