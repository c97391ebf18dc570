import { decodeAs } from '../../src/protocol/codec.js';
import {
  encodePipeline,
  pipelineAnswerSchema,
  type PipelineAnswer,
  type PipelineSpec,
  type StepState,
} from '../../src/protocol/pipelines.js';
import { PipelinePaths, type JobState } from '../../src/protocol/wire.js';
import {
  finishedPipelineSchema,
  pipelineChecksum,
  pipelineHeadSchema,
  PipelineKeys,
} from '../../src/storage/pipeline-records.js';
import { unseal } from '../../src/storage/records.js';
import type { Result } from '../../src/transport/result.js';
import type { CallFailure, Reply } from '../../src/transport/http.js';
import type { SimulatedUsers, UserEnvironment } from './simulated-users.js';

/** Longest that a user tries to submit a pipeline. */
const SUBMIT_TIMEOUT_MS = 120_000;
/** How often a user asks again for a cancellation or a retry that wasn't answered. */
const MAX_TRIES = 60;
const RETRY_INTERVAL_MS = 1000;
const CHANGE_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
/** The steps of larger pipelines aren't polled one by one. */
const MAX_POLLED_STEPS = 40;

/** What a pipeline's answer says of a step's job. */
const jobStateOf = (state: StepState): JobState =>
  state === 'done' || state === 'cancelled' || state === 'running' ? state : 'queued';

const isFinished = ({ state }: PipelineAnswer): boolean => state !== 'held' && state !== 'running';

/** Users of pipelines: what is said of a pipeline's steps goes to the invariant checker like any other answer about a job. */
export class SimulatedPipelineUsers {
  /** The last state that users were told of each pipeline. */
  readonly states = new Map<string, string>();
  /** The last answer to each pipeline's submission. */
  readonly statuses = new Map<string, number>();

  constructor(
    private readonly environment: UserEnvironment,
    private readonly users: SimulatedUsers,
  ) {}

  private call(method: 'GET' | 'POST', path: string, body?: Uint8Array): Promise<Result<Reply, CallFailure>> {
    const timeoutMs = method === 'GET' ? POLL_TIMEOUT_MS : CHANGE_TIMEOUT_MS;
    return this.users.call(`${this.users.anyNode()}:80`, method, path, body, timeoutMs);
  }

  /** Sends a pipeline as its user would, to any node, until one gives an answer that counts; then its steps are polled. */
  async submit(spec: PipelineSpec, runS: (job: string) => { runS: number; faulty: boolean }): Promise<void> {
    for (const step of spec.steps) {
      this.environment.checker.submitted(step.job);
      this.environment.jobs.set(step.job.id, { spec: step.job, ...runS(step.job.id), saved: 0 });
      if (step.when === 'succeeded' && !this.environment.checker.needs.has(step.job.id))
        this.environment.checker.needs.set(
          step.job.id,
          step.needs.map((n) => spec.steps[n]!.job.id),
        );
    }
    const body = encodePipeline(spec);
    const until = this.environment.time.now + SUBMIT_TIMEOUT_MS;
    for (;;) {
      const askedAt = this.environment.time.now;
      const reply = await this.call('POST', PipelinePaths.all, body);
      const status = reply.ok ? reply.value.status : undefined;
      if (status !== undefined) this.statuses.set(spec.id, status);
      if (reply.ok && (status === 200 || status === 201)) {
        this.recordAcceptance(spec, reply.value, askedAt);
        break;
      }
      if (status === 409 && this.isAccepted(spec))
        this.environment.checker.recordViolation('refused', `pipeline ${spec.id} is accepted, and got 409`);
      if (status === 400 || status === 409 || status === 422 || this.environment.time.now > until) return;
      await this.environment.time.sleep(RETRY_INTERVAL_MS);
    }
    if (spec.steps.length <= MAX_POLLED_STEPS)
      for (const step of spec.steps) void this.users.poll(step.job.id);
    void this.watch(spec);
  }

  /**
   * A first answer says that every step waits. The answer to a repeat says of each step that it lists how it stands, and lists none once
   * all is over.
   */
  private recordAcceptance(spec: PipelineSpec, { status, body }: Reply, askedAt: number): void {
    const answer = decodeAs(pipelineAnswerSchema, body);
    const listed = new Map(answer.ok ? answer.value.list.map((step) => [step.job, step.state]) : []);
    if (answer.ok && isFinished(answer.value) && listed.size === 0) return;
    for (const { job } of spec.steps) {
      const told = jobStateOf(listed.get(job.id) ?? 'held');
      this.environment.checker.recordAnswer(job.id, status, told, 'submit', askedAt);
    }
  }

  /** Whether the state service holds this very pipeline as accepted. */
  private isAccepted(spec: PipelineSpec): boolean {
    const { store } = this.environment;
    const head = unseal(pipelineHeadSchema, store.valueOf(PipelineKeys.head(spec.id)));
    const finished = unseal(finishedPipelineSchema, store.valueOf(PipelineKeys.finished(spec.id)));
    const sum = pipelineChecksum(spec);
    return (
      (head.ok && head.value.state === 'live' && head.value.sum === sum) ||
      (finished.ok && finished.value.sum === sum)
    );
  }

  private async watch(spec: PipelineSpec): Promise<void> {
    for (;;) {
      await this.environment.time.sleep(1500 + this.environment.random.next() * 1000);
      const path = PipelinePaths.one.replace(':id', spec.id);
      const askedAt = this.environment.time.now;
      const reply = await this.call('GET', path);
      if (!reply.ok || reply.value.status !== 200) {
        if (reply.ok && reply.value.status === 404)
          this.environment.checker.violations.push(`forgotten: pipeline ${spec.id} got 404`);
        continue;
      }
      const answer = decodeAs(pipelineAnswerSchema, reply.value.body);
      if (!answer.ok) throw new Error(answer.error);
      this.recordAnswer(answer.value, askedAt);
      // An answer that still lists steps is not the last word on the pipeline.
      if (!isFinished(answer.value) || answer.value.list.length > 0) continue;
      this.users.doneReportedAt.set(spec.id, this.environment.time.now / 1000);
      if (answer.value.state === 'done') {
        for (const step of spec.steps)
          this.environment.checker.recordAnswer(step.job.id, 200, 'done', 'poll', askedAt);
      } else if (spec.steps.length > MAX_POLLED_STEPS) {
        // Some are done and others cancelled: only the answers about the single steps tell which.
        for (const step of spec.steps) void this.users.poll(step.job.id);
      }
      return;
    }
  }

  /** What the answer says of each step is held to the rules like any other answer about a job. */
  private recordAnswer(answer: PipelineAnswer, askedAt: number): void {
    this.states.set(answer.id, answer.state);
    for (const { job, state } of answer.list)
      this.environment.checker.recordAnswer(job, 200, jobStateOf(state), 'poll', askedAt);
  }

  async cancel(spec: PipelineSpec): Promise<void> {
    for (const step of spec.steps) this.environment.checker.cancelRequested(step.job.id);
    for (let i = 0; i < MAX_TRIES; i++) {
      const path = PipelinePaths.cancel.replace(':id', spec.id);
      const askedAt = this.environment.time.now;
      const reply = await this.call('POST', path);
      if (reply.ok && reply.value.status === 200) {
        const answer = decodeAs(pipelineAnswerSchema, reply.value.body);
        if (answer.ok) this.recordAnswer(answer.value, askedAt);
        return;
      }
      await this.environment.time.sleep(RETRY_INTERVAL_MS);
    }
  }

  async retryStep(id: string, step: string): Promise<void> {
    for (let i = 0; i < MAX_TRIES; i++) {
      const path = PipelinePaths.retry.replace(':id', id).replace(':job', step);
      const reply = await this.call('POST', path);
      if (reply.ok && reply.value.status < 500) return;
      await this.environment.time.sleep(RETRY_INTERVAL_MS);
    }
  }
}
