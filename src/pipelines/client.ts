import { createHttpClient } from '../transport/http-client.js';
import type { Reply } from '../transport/http.js';
import { err, ok, type Result } from '../transport/result.js';
import { decodeAs } from '../protocol/codec.js';
import { jobAnswerSchema, type JobAnswer } from '../protocol/jobs.js';
import {
  encodePipeline,
  faultsAnswerSchema,
  pipelineAnswerSchema,
  type PipelineAnswer,
  type PipelineSpec,
  type StepFault,
} from '../protocol/pipelines.js';
import { CONTENT_TYPE, Paths, PipelinePaths } from '../protocol/wire.js';

/**
 * A request that failed: refused by the service, with the faults of the steps concerned, or without a definitive answer in
 * the retry window. Status 0: no answer at all.
 */
export interface Refusal {
  readonly status: number;
  readonly message: string;
  readonly faults: readonly StepFault[];
}

export interface CompletionNames {
  readonly teams: readonly string[];
  readonly classes: readonly string[];
  readonly types: readonly string[];
}

const CALL_TIMEOUT_MS = 5000;
const RETRY_WINDOW_MS = 60_000;
const ADDRESS_PATTERN = /^[0-9A-Za-z.-]+:[0-9]+$/;

/**
 * Client of the service's pipeline API. A request without a definitive answer (connection failure, or a status of 429 or
 * above) is sent again, to the next address.
 */
export class PipelineClient {
  private readonly http = createHttpClient(2, CONTENT_TYPE);
  private addressIndex = 0;

  constructor(
    private readonly addresses: readonly string[],
    private readonly sleep: (ms: number) => Promise<void>,
    private readonly now: () => number,
  ) {}

  static addressFault(addresses: readonly string[]): string | undefined {
    const invalid = addresses.find((a) => !ADDRESS_PATTERN.test(a));
    return invalid === undefined ? undefined : `'${invalid}' is not host:port`;
  }

  private async callOnce(method: string, path: string, body?: Uint8Array): Promise<Result<Reply, string>> {
    const address = this.addresses[this.addressIndex % this.addresses.length]!;
    const reply = await this.http.call(address, method, path, body, CALL_TIMEOUT_MS);
    if (reply.ok) return ok(reply.value);
    this.addressIndex++;
    return err(`${address}: ${reply.error.why}`);
  }

  /** Repeats a request for at most a minute until the answer is definitive. Honours `Retry-After`, within 1 to 30 s. */
  private async callWithRetries(
    method: string,
    path: string,
    body?: Uint8Array,
  ): Promise<Result<Reply, Refusal>> {
    const giveUpAtMs = this.now() + RETRY_WINDOW_MS;
    for (;;) {
      const reply = await this.callOnce(method, path, body);
      const status = reply.ok ? reply.value.status : 0;
      if (reply.ok && status < 429) return status < 300 ? ok(reply.value) : err(refusalOf(reply.value));
      const retryAfterS = reply.ok ? Number(reply.value.headers?.['retry-after'] ?? 1) : 1;
      const waitMs = Math.min(30, Math.max(1, Number.isFinite(retryAfterS) ? retryAfterS : 1)) * 1000;
      if (this.now() + waitMs > giveUpAtMs) {
        return err(reply.ok ? refusalOf(reply.value) : { status: 0, message: reply.error, faults: [] });
      }
      if (reply.ok) this.addressIndex++;
      await this.sleep(waitMs);
    }
  }

  private async requestPipeline(
    method: string,
    path: string,
    body?: Uint8Array,
  ): Promise<Result<PipelineAnswer, Refusal>> {
    const reply = await this.callWithRetries(method, path, body);
    if (!reply.ok) return reply;
    const answer = decodeAs(pipelineAnswerSchema, reply.value.body);
    return answer.ok
      ? ok(answer.value)
      : err({ status: reply.value.status, message: `garbled answer: ${answer.error}`, faults: [] });
  }

  /** Repeating a submission is safe: the service accepts the same pipeline only once. */
  submit(spec: PipelineSpec): Promise<Result<PipelineAnswer, Refusal>> {
    return this.requestPipeline('POST', PipelinePaths.all, encodePipeline(spec));
  }

  /** Asks the service whether it would accept the pipeline; the service writes nothing. */
  async check(spec: PipelineSpec): Promise<Result<true, Refusal>> {
    const reply = await this.callWithRetries('POST', PipelinePaths.check, encodePipeline(spec));
    return reply.ok ? ok(true) : reply;
  }

  /** Fetches a pipeline with all its steps, in as many calls as needed. */
  async show(id: string): Promise<Result<PipelineAnswer, Refusal>> {
    const path = PipelinePaths.one.replace(':id', encodeURIComponent(id));
    let answer = await this.requestPipeline('GET', path);
    while (answer.ok && answer.value.more) {
      const list = answer.value.list;
      const nextPath = PipelinePaths.from
        .replace(':id', encodeURIComponent(id))
        .replace(':from', String(list.length));
      const nextPage = await this.requestPipeline('GET', nextPath);
      if (!nextPage.ok) return nextPage;
      if (nextPage.value.list.length === 0) break;
      answer = ok({ ...nextPage.value, list: [...list, ...nextPage.value.list] });
    }
    return answer;
  }

  cancel(id: string): Promise<Result<PipelineAnswer, Refusal>> {
    return this.requestPipeline('POST', PipelinePaths.cancel.replace(':id', encodeURIComponent(id)));
  }

  retry(id: string, step: string): Promise<Result<PipelineAnswer, Refusal>> {
    const path = PipelinePaths.retry
      .replace(':id', encodeURIComponent(id))
      .replace(':job', encodeURIComponent(step));
    return this.requestPipeline('POST', path);
  }

  async job(id: string, cancel = false): Promise<Result<JobAnswer, Refusal>> {
    const path = (cancel ? Paths.cancel : Paths.job).replace(':id', encodeURIComponent(id));
    const reply = await this.callWithRetries(
      cancel ? 'POST' : 'GET',
      path,
      cancel ? new Uint8Array() : undefined,
    );
    if (!reply.ok) return reply;
    const answer = decodeAs(jobAnswerSchema, reply.value.body);
    return answer.ok
      ? ok({ ...answer.value, id: answer.value.id })
      : err({ status: reply.value.status, message: `garbled answer: ${answer.error}`, faults: [] });
  }

  /** Names for completion at the prompt; empty lists if the service gives no readable answer. */
  async completionNames(path: string): Promise<CompletionNames> {
    const reply = await this.callOnce('GET', path);
    try {
      if (reply.ok) return JSON.parse(Buffer.from(reply.value.body ?? []).toString()) as CompletionNames;
    } catch {
      // An unreadable answer only disables completion.
    }
    return { teams: [], classes: [], types: [] };
  }
}

function refusalOf(reply: Reply): Refusal {
  const decoded = decodeAs(faultsAnswerSchema, reply.body);
  return {
    status: reply.status,
    message: decoded.ok ? decoded.value.error : `status ${reply.status}`,
    faults: decoded.ok ? decoded.value.faults : [],
  };
}

export const refusalLines = (refusal: Refusal): string[] => [
  refusal.status === 0 ? refusal.message : `refused with ${refusal.status}: ${refusal.message}`,
  ...refusal.faults.map((fault) => `  step '${fault.step}': ${fault.message}`),
];
