/** Ids, versions and amounts have distinct types, so that a mod revision cannot be passed as a term. */
type Brand<T, B extends string> = T & { readonly __brand: B };

export type JobId = Brand<string, 'JobId'>;
export type TeamName = Brand<string, 'TeamName'>;
export type MachineId = Brand<string, 'MachineId'>;
export type ImageName = Brand<string, 'ImageName'>;
export type TypeName = Brand<string, 'TypeName'>;
export type ZoneName = Brand<string, 'ZoneName'>;
export type MemberName = Brand<string, 'MemberName'>;
export type PlanId = Brand<string, 'PlanId'>;
export type PipelineId = Brand<string, 'PipelineId'>;
/** Index of a step in its pipeline, counted from 0. */
export type StepIndex = Brand<number, 'StepIndex'>;
export type StoreKey = Brand<string, 'StoreKey'>;
export type Address = Brand<string, 'Address'>;
export type TaskIndex = Brand<number, 'TaskIndex'>;

/** Integers on the wire range up to 2^64, so these types are bigints. */
export type Term = Brand<bigint, 'Term'>;
export type AgentEpoch = Brand<bigint, 'AgentEpoch'>;
export type HeartbeatSequence = Brand<bigint, 'HeartbeatSequence'>;
export type ModRevision = Brand<bigint, 'ModRevision'>;
export type Revision = Brand<bigint, 'Revision'>;
export type LeaseId = Brand<bigint, 'LeaseId'>;
export type Attempt = Brand<bigint, 'Attempt'>;

export const NO_REVISION = 0n as ModRevision;
export const JOB_ID = /^req-[0-9]{1,18}$/;

export const PIPELINE_ID = /^[a-z][a-z0-9-]{0,62}$/;

export const taskName = (job: JobId, index: TaskIndex): string => `${job}/${index}`;

export function parseTaskName(name: string): { job: JobId; index: TaskIndex } | undefined {
  const slash = name.lastIndexOf('/');
  if (slash < 1) return undefined;
  const index = Number(name.slice(slash + 1));
  if (!Number.isSafeInteger(index) || index < 0) return undefined;
  return { job: name.slice(0, slash) as JobId, index: index as TaskIndex };
}
