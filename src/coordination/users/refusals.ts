/**
 * The refusals of the job and pipeline API: one table of the HTTP status, the message and, where repeating the request
 * can help, the delay before the retry.
 *
 * Owns status codes and messages. It never decides whether a request is refused.
 */
import type { Reply } from '../../transport/http.js';
import { encodeError } from '../../protocol/jobs.js';
import { encodeFaults, type StepFault } from '../../protocol/pipelines.js';

/** How often a compare-and-swap is attempted when other writers keep changing the record. */
export const MAX_CONFLICT_ATTEMPTS = 4;

/** For conditions that clear within milliseconds: the request can be repeated almost at once. */
const SHORT_RETRY_S = 1;
/** A quota of pipelines is full: something has to finish first. */
const QUOTA_RETRY_S = 10;
/** The records of an abandoned acceptance have to be garbage-collected first. */
const GARBAGE_COLLECTION_RETRY_S = 30;

interface RefusalDefinition {
  readonly status: number;
  /** Seconds for the `Retry-After` header; absent where repeating the request does not help. */
  readonly retryAfterS?: number;
  readonly message: (...details: never[]) => string;
}

const fixed = (text: string) => (): string => text;
const verbatim = (detail: string): string => detail;

const BAD_REQUEST = 400;
const NOT_FOUND = 404;
const CONFLICT = 409;
const UNPROCESSABLE = 422;
const TOO_MANY_REQUESTS = 429;
const UNAVAILABLE = 503;

const REFUSALS = {
  // The request itself.
  malformedRequest: { status: BAD_REQUEST, message: verbatim },
  submissionTooLarge: { status: BAD_REQUEST, message: fixed('the submission is too large') },
  unknownJob: { status: NOT_FOUND, message: fixed('no such job') },
  unknownPipeline: { status: NOT_FOUND, message: fixed('no such pipeline') },
  unknownStep: { status: NOT_FOUND, message: fixed('no such step') },

  // Jobs that no machine, zone or quota can ever fit.
  unknownTeam: { status: UNPROCESSABLE, message: (team: string) => `unknown team '${team}'` },
  noMachineType: { status: UNPROCESSABLE, message: fixed('a task fits no allowed machine type') },
  gpuLimit: {
    status: UNPROCESSABLE,
    message: (team: string) => `needs more GPUs than the limit of '${team}'`,
  },
  cpuLimit: {
    status: UNPROCESSABLE,
    message: (team: string) => `needs more CPUs than the limit of '${team}'`,
  },
  spreadInOneZone: {
    status: UNPROCESSABLE,
    message: fixed('its tasks have to be in one zone, and half of them in another'),
  },
  noZone: { status: UNPROCESSABLE, message: fixed('no zone has a machine type that fits') },
  zoneWithoutType: {
    status: UNPROCESSABLE,
    message: (zone: string) => `zone '${zone}' has no machine type that fits`,
  },
  noSecondZone: {
    status: UNPROCESSABLE,
    message: fixed('half of its tasks have to be in another zone, and there is only one'),
  },
  machinesUnknown: {
    status: UNAVAILABLE,
    retryAfterS: SHORT_RETRY_S,
    message: fixed('it is not known yet which machines stand outside what the cloud offers'),
  },

  // The state service and what is loaded from it.
  storeUnreachable: {
    status: UNAVAILABLE,
    retryAfterS: SHORT_RETRY_S,
    message: fixed('the state service is not reachable'),
  },
  storeUnanswered: {
    status: UNAVAILABLE,
    retryAfterS: SHORT_RETRY_S,
    message: fixed('the state service did not answer'),
  },
  storeWriteFailed: {
    status: UNAVAILABLE,
    retryAfterS: SHORT_RETRY_S,
    message: fixed('the state service did not take it'),
  },
  machineTypesUnknown: {
    status: UNAVAILABLE,
    retryAfterS: SHORT_RETRY_S,
    message: fixed('the machine types are not known yet'),
  },

  // Concurrent changes.
  jobChanging: { status: UNAVAILABLE, retryAfterS: SHORT_RETRY_S, message: fixed('the job is changing') },
  jobOfPendingPipeline: {
    status: UNAVAILABLE,
    retryAfterS: SHORT_RETRY_S,
    message: fixed('its pipeline is being accepted'),
  },
  pipelinePending: {
    status: UNAVAILABLE,
    retryAfterS: SHORT_RETRY_S,
    message: fixed('the pipeline is being accepted'),
  },
  pipelineChanging: {
    status: UNAVAILABLE,
    retryAfterS: SHORT_RETRY_S,
    message: fixed('the pipeline is changing'),
  },
  abandonedPartsRemain: {
    status: UNAVAILABLE,
    retryAfterS: GARBAGE_COLLECTION_RETRY_S,
    message: fixed('parts of another submission of this name are being collected'),
  },

  // Pipelines.
  pipelineNameTaken: { status: CONFLICT, message: (id: string) => `another pipeline is called '${id}'` },
  pipelineNameUsed: { status: CONFLICT, message: (id: string) => `another pipeline was called '${id}'` },
  tooManySteps: {
    status: UNPROCESSABLE,
    message: (limit: number, actual: number) => `a pipeline may have ${limit} steps, this one has ${actual}`,
  },
  stepTooLarge: { status: UNPROCESSABLE, message: verbatim },
  teamPipelineQuota: {
    status: TOO_MANY_REQUESTS,
    retryAfterS: QUOTA_RETRY_S,
    message: (team: string, limit: number) =>
      `team '${team}' has ${limit} live pipelines, which is its limit`,
  },
  heldStepQuota: {
    status: TOO_MANY_REQUESTS,
    retryAfterS: QUOTA_RETRY_S,
    message: (held: number, limit: number) => `${held} steps are held, and the limit is ${limit}`,
  },

  // Pipelines, with a fault for each step concerned.
  malformedPipeline: { status: BAD_REQUEST, message: fixed('the pipeline is malformed') },
  infeasibleSteps: { status: UNPROCESSABLE, message: fixed('steps can never run') },
  jobIdsTaken: { status: CONFLICT, message: fixed('ids are taken') },
} as const satisfies Record<string, RefusalDefinition>;

export type RefusalCode = keyof typeof REFUSALS;

/** A refusal with its details filled in. */
export interface Refusal {
  readonly code: RefusalCode;
  readonly message: string;
}

type Details<Code extends RefusalCode> = Parameters<(typeof REFUSALS)[Code]['message']>;

/** Codes whose message takes no details. */
type PlainCode = { [Code in RefusalCode]: Details<Code> extends [] ? Code : never }[RefusalCode];

export function refusal<Code extends RefusalCode>(code: Code, ...details: Details<Code>): Refusal {
  const message = REFUSALS[code].message as (...args: Details<Code>) => string;
  return { code, message: message(...details) };
}

/** The HTTP answer to a refused request. `retryAfterS` replaces the delay of the table. */
export function refusalReply({ code, message }: Refusal, retryAfterS = tableRetryAfterS(code)): Reply {
  const reply: Reply = { status: REFUSALS[code].status, body: encodeError(message) };
  return retryAfterS === undefined ? reply : { ...reply, headers: { 'retry-after': String(retryAfterS) } };
}

/** Shorthand for `refusalReply(refusal(code, ...details))`. */
export function refuse<Code extends RefusalCode>(code: Code, ...details: Details<Code>): Reply {
  return refusalReply(refusal(code, ...details));
}

/** Refuses a pipeline and gives the fault of each step concerned. */
export function refuseSteps(code: PlainCode, faults: readonly StepFault[]): Reply {
  const { status, message } = REFUSALS[code];
  return { status, body: encodeFaults(message(), faults) };
}

function tableRetryAfterS(code: RefusalCode): number | undefined {
  const definition: RefusalDefinition = REFUSALS[code];
  return definition.retryAfterS;
}
