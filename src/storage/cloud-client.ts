/**
 * Client of the cloud provider, which rents machines out. It stays within this node's share of the provider's rate and says for
 * each failure whether the call may have been executed. It retries nothing.
 */
import type { RateLimiter } from '../transport/rate-limiter.js';
import { RequestPriority } from '../transport/rate-limiter.js';
import type { Clock, SteadyMs } from '../transport/clock.js';
import type { HttpClient, Reply } from '../transport/http.js';
import { err, ok, type Result } from '../transport/result.js';
import {
  catalogSchema,
  encodeScaleOutRequest,
  encodeMachineNames,
  listPath,
  machineListSchema,
  machineNamesSchema,
  type ScaleOutRequest,
  type ListedMachine,
  type MachineType,
} from '../protocol/cloud.js';
import { decodeAs } from '../protocol/codec.js';
import type { Address, MachineId } from '../protocol/ids.js';
import { Paths } from '../protocol/wire.js';

/** Why a call failed. */
export interface CloudFailure {
  /**
   * `unavailable`: certainly not executed. `unknown`: it may have been executed. `no capacity`: the provider has no such machine
   * available.
   */
  readonly kind: 'unavailable' | 'unknown' | 'no capacity';
  /** For the log. */
  readonly why: string;
}

/** A call that takes longer counts as unanswered, and its outcome as unknown. */
const CALL_TIMEOUT_MS = 4000;
/** Machines per page of the provider's list. */
export const MACHINE_LIST_PAGE_SIZE = 500;
/** Machines that one call may return to the provider. */
export const MAX_MACHINES_PER_RETURN = 100;

const HttpStatus = { ok: 200, malformed: 400, throttled: 429, unavailable: 503 } as const;

/** A call to the provider. */
interface CloudRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: Uint8Array;
  readonly priority: RequestPriority;
}

const unexpectedStatus = (status: number): Result<never, CloudFailure> =>
  err({ kind: 'unavailable', why: `status ${status}` });

/** The cloud provider as one node sees it. */
export class CloudClient {
  constructor(
    private readonly http: HttpClient,
    private readonly address: Address,
    private readonly clock: Clock,
    private readonly rateLimiter: RateLimiter,
  ) {}

  private async call(request: CloudRequest): Promise<Result<Reply, CloudFailure>> {
    const { method, path, body, priority } = request;
    if (!(await this.rateLimiter.acquire(1, priority, CALL_TIMEOUT_MS))) {
      return err({ kind: 'unavailable', why: 'rate limit of this node' });
    }
    const reply = await this.http.call(this.address, method, path, body, CALL_TIMEOUT_MS);
    if (!reply.ok) {
      const { kind, why } = reply.error;
      return err({ kind: kind === 'refused' ? 'unavailable' : 'unknown', why });
    }
    if (reply.value.status === HttpStatus.throttled) this.rateLimiter.onThrottled();
    return ok(reply.value);
  }

  /** Reads the machine types that the provider has. */
  async catalog(): Promise<Result<MachineType[], CloudFailure>> {
    const reply = await this.call({
      method: 'GET',
      path: Paths.types,
      priority: RequestPriority.Scheduling,
    });
    if (!reply.ok) return reply;
    const { status, body } = reply.value;
    if (status !== HttpStatus.ok) return unexpectedStatus(status);
    const types = decodeAs(catalogSchema, body);
    return types.ok ? types : err({ kind: 'unknown', why: types.error });
  }

  /** Provisions machines. A request may be repeated under the same name until its answer is known: it never provisions twice. */
  async provisionMachines(request: ScaleOutRequest): Promise<Result<MachineId[], CloudFailure>> {
    const reply = await this.call({
      method: 'POST',
      path: Paths.machines,
      body: encodeScaleOutRequest(request),
      priority: RequestPriority.Completion,
    });
    if (!reply.ok) return reply;
    const { status, body } = reply.value;
    if (status === HttpStatus.ok) {
      const names = decodeAs(machineNamesSchema, body);
      return names.ok ? names : err({ kind: 'unknown', why: names.error });
    }
    const text = Buffer.from(body ?? []).toString('latin1');
    if (status === HttpStatus.unavailable && text.includes('no capacity')) {
      return err({ kind: 'no capacity', why: 'no capacity' });
    }
    if (status === HttpStatus.malformed) return err({ kind: 'no capacity', why: 'refused as malformed' });
    return unexpectedStatus(status);
  }

  /** Returns machines to the provider. Once this succeeds they, and everything on them, are gone. */
  async returnMachines(names: readonly MachineId[]): Promise<Result<true, CloudFailure>> {
    const reply = await this.call({
      method: 'POST',
      path: Paths.machinesReturn,
      body: encodeMachineNames(names),
      priority: RequestPriority.User,
    });
    if (!reply.ok) return reply;
    return reply.value.status === HttpStatus.ok ? ok(true) : unexpectedStatus(reply.value.status);
  }

  /** Reads the list of all machines, page by page, with the time at which its first page was requested. */
  async list(): Promise<Result<{ machines: ListedMachine[]; askedAt: SteadyMs }, CloudFailure>> {
    const askedAt = this.clock.now();
    const machines: ListedMachine[] = [];
    let after = '';
    for (;;) {
      const path = listPath(after, MACHINE_LIST_PAGE_SIZE);
      const reply = await this.call({ method: 'GET', path, priority: RequestPriority.Completion });
      if (!reply.ok) return reply;
      const { status, body } = reply.value;
      if (status !== HttpStatus.ok) return unexpectedStatus(status);
      const page = decodeAs(machineListSchema, body);
      if (!page.ok) return err({ kind: 'unknown', why: page.error });
      machines.push(...page.value.machines);
      const last = page.value.machines.at(-1);
      if (!page.value.more || !last) return ok({ machines, askedAt });
      after = last.id;
    }
  }
}
