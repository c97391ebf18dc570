import { decodeAs } from '../../src/protocol/codec.js';
import { encodeSubmission, jobAnswerSchema, type JobSpec } from '../../src/protocol/jobs.js';
import { Paths } from '../../src/protocol/wire.js';
import type { HttpClient } from '../../src/transport/http.js';
import type { Random } from '../../src/transport/random.js';
import type { InvariantChecker } from './invariant-checker.js';
import type { JobRun } from './simulated-agent.js';
import type { SimulatedNetwork } from './simulated-network.js';
import type { StoredKeys } from './transaction-checker.js';
import type { VirtualTime } from './virtual-time.js';

/** What users see of a deployment, and where the jobs that they submit are written down for the agents. */
export interface UserEnvironment {
  readonly time: VirtualTime;
  readonly random: Random;
  readonly network: SimulatedNetwork;
  readonly checker: InvariantChecker;
  readonly jobs: Map<string, JobRun>;
  /** What the state service holds, to judge answers by. */
  readonly store: Pick<StoredKeys, 'valueOf'>;
  readonly nodes: readonly { readonly member: string; readonly controller: unknown }[];
}

/** Longest that a user tries to submit a job. */
const SUBMIT_TIMEOUT_MS = 60_000;
/** Longest that a user stays away, whatever a refusal says. */
const MAX_WAIT_S = 30;
/** How often a user asks again for a cancellation that wasn't confirmed. */
const CANCEL_TRIES = 60;
const RETRY_INTERVAL_MS = 1000;
const CHANGE_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;

/** Users of jobs: they submit until they are answered, poll until the end, cancel; every answer goes to the invariant checker. */
export class SimulatedUsers {
  /** When, in seconds, users were first told that a job or a pipeline is over. */
  readonly doneReportedAt = new Map<string, number>();
  /** The last answer to each job's submission. */
  readonly statuses = new Map<string, number>();
  /** Submissions that were answered, but neither taken nor found wrong. */
  deferredSubmissions = 0;
  /** What users were told to wait, by the job of their last answer. */
  private readonly retryAfterS = new Map<string, number>();
  /** The longest that a job's user tried before it was taken. */
  slowestAcceptS = 0;
  /** Jobs whose users gave up. */
  gaveUp = 0;
  private readonly client: HttpClient;

  constructor(private readonly environment: UserEnvironment) {
    this.client = environment.network.client('user', () => true);
  }

  /** A controller that is up, drawn anew each time. */
  anyNode(): string {
    const up = this.environment.nodes.filter((n) => n.controller);
    return (up[Math.floor(this.environment.random.next() * up.length)] ?? this.environment.nodes[0]!).member;
  }

  private async request(
    kind: 'submit' | 'poll' | 'cancel',
    job: string,
    method: string,
    path: string,
    body: Uint8Array | undefined,
    waitMs: number,
    node = this.anyNode(),
  ): Promise<number | undefined> {
    const askedAt = this.environment.time.now;
    const reply = await this.call(`${node}:80`, method, path, body, waitMs);
    if (!reply.ok) return undefined;
    const { status } = reply.value;
    const retryAfter = reply.value.headers?.['retry-after'];
    if (retryAfter !== undefined) this.retryAfterS.set(job, Number(retryAfter));
    const answer = status === 200 || status === 201 ? decodeAs(jobAnswerSchema, reply.value.body) : undefined;
    const state = answer?.ok ? answer.value.state : undefined;
    this.environment.checker.recordAnswer(job, status, state, kind, askedAt);
    if ((state === 'done' || state === 'cancelled') && !this.doneReportedAt.has(job)) {
      this.doneReportedAt.set(job, this.environment.time.now / 1000);
    }
    return status;
  }

  /** Whatever users send to a controller passes here; tests put answers of their own in its place. */
  call: HttpClient['call'] = (...a) => this.client.call(...a);

  /** One submission, or the repeat of one. */
  submitOnce(job: string, body: Uint8Array, node?: string): Promise<number | undefined> {
    return this.request('submit', job, 'POST', Paths.jobs, body, CHANGE_TIMEOUT_MS, node);
  }

  async submit(spec: JobSpec, runS: number, faulty: boolean): Promise<void> {
    this.environment.checker.submitted(spec);
    this.environment.jobs.set(spec.id, { spec, runS, faulty, saved: 0 });
    const body = encodeSubmission(spec);
    const startedAt = this.environment.time.now;
    const until = startedAt + SUBMIT_TIMEOUT_MS;
    for (;;) {
      const status = await this.submitOnce(spec.id, body);
      if (status !== undefined) this.statuses.set(spec.id, status);
      if (status !== undefined && status >= 429) this.deferredSubmissions++;
      if (status === 200 || status === 201) {
        this.slowestAcceptS = Math.max(this.slowestAcceptS, (this.environment.time.now - startedAt) / 1000);
        return this.poll(spec.id);
      }
      if (this.environment.time.now > until) this.gaveUp++;
      if (status === 400 || status === 422 || this.environment.time.now > until) return;
      // As users do: after a second, or as long as they are told to stay away.
      const waitS = Math.min(MAX_WAIT_S, this.retryAfterS.get(spec.id) ?? 1);
      this.retryAfterS.delete(spec.id);
      await this.environment.time.sleep(Math.max(RETRY_INTERVAL_MS, waitS * 1000));
    }
  }

  async poll(job: string): Promise<void> {
    while (this.environment.checker.reportedState(job) === undefined) {
      await this.environment.time.sleep(1500 + this.environment.random.next() * 1000);
      await this.pollOnce(job);
    }
  }

  pollOnce(job: string, node?: string): Promise<number | undefined> {
    return this.request('poll', job, 'GET', Paths.job.replace(':id', job), undefined, POLL_TIMEOUT_MS, node);
  }

  async cancel(job: string, node?: string): Promise<void> {
    this.environment.checker.cancelRequested(job);
    const path = Paths.cancel.replace(':id', job);
    for (let i = 0; i < CANCEL_TRIES; i++) {
      const status = await this.request('cancel', job, 'POST', path, undefined, CHANGE_TIMEOUT_MS, node);
      if (status === 200) return;
      await this.environment.time.sleep(RETRY_INTERVAL_MS);
    }
  }
}
