/**
 * Names of the keys in the state service, and of plans, which are part of keys. The names are stored: they never change.
 * Numbers in keys have a fixed width, so that the order of keys is the order of numbers.
 */
import type { Attempt, JobId, PlanId, StoreKey, Term } from '../../protocol/ids.js';

const TERM_DIGITS = 20;
const PLAN_NUMBER_DIGITS = 9;
const PART_DIGITS = 3;
/** An attempt consists of its plan's term, followed by this many bits of the plan's number. */
const PLAN_NUMBER_BITS = 32n;

/** Returns the number with leading zeros up to the width. */
export const padNumber = (n: bigint | number, width: number): string => n.toString().padStart(width, '0');

const key = (text: string): StoreKey => text as StoreKey;
const partOf = (prefix: string, part: number): StoreKey => key(prefix + padNumber(part, PART_DIGITS));

/** Prefixes of the keys of records of one kind. */
export const Prefix = {
  election: 'term/',
  job: 'job/',
  finishedJob: 'end/',
  completionChunk: 'finish/',
  completionBatch: 'finished/',
  plan: 'plan/',
  receipt: 'receipt/',
  cachedImages: 'fleet/images/',
} as const;

/** Prefix of the further records of a list of pre-provisioned machines that one value does not hold. */
export const PRE_PROVISIONED_MACHINES_PARTS = 'fleet/standing/';

/** Keys of all records but those of pipelines. */
export const Keys = {
  leader: key('term/holder'),
  electionTerm: key('term/epoch'),
  machineTypes: key('fleet/types'),
  preProvisionedMachines: key('fleet/standing'),
  preProvisionedMachinesPart: (part: number): StoreKey => partOf(PRE_PROVISIONED_MACHINES_PARTS, part),
  cachedImages: (part: number): StoreKey => partOf(Prefix.cachedImages, part),
  job: (id: JobId): StoreKey => key(Prefix.job + id),
  finishedJob: (id: JobId): StoreKey => key(Prefix.finishedJob + id),
  completionChunk: (id: JobId, chunk: number): StoreKey => partOf(`${Prefix.completionChunk}${id}/`, chunk),
  completionBatch: (term: Term, number: number): StoreKey =>
    key(Prefix.completionBatch + planId(term, number)),
  plan: (id: PlanId): StoreKey => key(Prefix.plan + id),
  receipt: (id: PlanId): StoreKey => key(Prefix.receipt + id),
};

/** All job ids start with the same text, and no other key under the jobs' prefix does. */
const JOB_RECORD_PREFIX = `${Prefix.job}req-`;

/** Returns the job whose record has this key; undefined where the key is not of a job record. */
export const jobIdOfKey = (key: string): JobId | undefined =>
  key.startsWith(JOB_RECORD_PREFIX) ? (key.slice(Prefix.job.length) as JobId) : undefined;

/** Returns the identity of the plan of this number under this term. */
export const planId = (term: Term, planNumber: number): PlanId =>
  `${padNumber(term, TERM_DIGITS)}-${padNumber(planNumber, PLAN_NUMBER_DIGITS)}` as PlanId;

/**
 * Returns the attempt of every task of a plan: as unique as the plan's identity, and rising with it. So a job's record need not
 * be written to number its next attempt, and a start of one plan can't be mistaken for a start of another.
 */
export const attemptOf = (term: Term, planNumber: number): Attempt =>
  ((term << PLAN_NUMBER_BITS) + BigInt(planNumber)) as Attempt;

/** Returns the term under which the attempt's plan was made. */
export const termOfAttempt = (attempt: Attempt): Term => (attempt >> PLAN_NUMBER_BITS) as Term;
