import type { JobId, PipelineId } from '../../src/protocol/ids.js';
import {
  parsePipelineKey,
  pipelineHeadSchema,
  PipelineKeys,
  pipelinePartSchema,
  type PipelinePart,
} from '../../src/storage/pipeline-records.js';
import { Keys, Prefix, jobIdOfKey, unseal } from '../../src/storage/records.js';

/** A transaction as the state service receives it. */
export interface ReceivedTransaction {
  readonly conditions: readonly { readonly key: string; readonly modRevision: number }[];
  readonly puts: readonly string[];
  readonly deletes: readonly string[];
}

/**
 * Loops of a leader that write job records under a condition: plans, completions and status updates. Each has one transaction on
 * its way at a time, so no more than these can carry a condition whose refusal the leader does not know yet.
 */
const WRITERS_OF_JOB_RECORDS = 3;

/** The state service's keys as they are. */
export interface StoredKeys {
  valueOf(key: string): unknown;
  keysUnder(prefix: string): string[];
}

/**
 * Checks the invariants of `src/cluster/job-writes.ts` from what the state service sees of leaders' transactions, which are told
 * apart by the revision of the leader's record that they are conditioned on. Of users' transactions it checks that a pipeline whose
 * ids are reserved is only given up where one of them is taken.
 */
export class TransactionChecker {
  /** Called with each violation. */
  onViolation: (rule: string, detail: string) => void = () => undefined;
  /** Jobs named by plans that were committed and not answered yet, with the number of these plans. */
  private readonly unansweredPlans = new Map<string, number>();
  private readonly refusals = new Map<string, number>();

  constructor(private readonly stored: StoredKeys) {}

  /** A transaction was carried out. Returns what is to be called when its answer leaves. */
  committed(transaction: ReceivedTransaction): () => void {
    const fence = fenceOf(transaction);
    if (fence === undefined) {
      this.checkGivenUpPipelines(transaction);
      this.checkAcceptedPipelines(transaction);
      return () => undefined;
    }
    for (const key of transaction.deletes) {
      if (jobIdOfKey(key) !== undefined && this.unansweredPlans.has(`${fence} ${key}`))
        this.onViolation('removed_unanswered', `${key} was removed while a plan that names it had no answer`);
    }
    if (!transaction.puts.some((key) => key.startsWith(Prefix.plan))) return () => undefined;
    const planned = jobConditions(transaction).map(({ key }) => `${fence} ${key}`);
    for (const name of planned) addTo(this.unansweredPlans, name, 1);
    return () => {
      for (const name of planned) addTo(this.unansweredPlans, name, -1);
    };
  }

  /**
   * A transaction was refused because of the conditions on these keys. Returns what is to be called when its answer leaves: a refusal
   * that the leader is never told of counts for nothing.
   */
  refused(transaction: ReceivedTransaction, failedKeys: readonly string[]): () => void {
    const fence = fenceOf(transaction);
    if (fence === undefined) return () => undefined;
    return () => {
      for (const { key, modRevision } of jobConditions(transaction)) {
        if (failedKeys.includes(key)) this.countRefusal(fence, key, modRevision);
      }
    };
  }

  /** Only what the store holds shows that an id is taken: an answer that was lost, refused or garbled says nothing. */
  private checkGivenUpPipelines({ deletes }: ReceivedTransaction): void {
    for (const deleted of deletes) {
      const key = parsePipelineKey(deleted);
      if (key?.kind !== 'head') continue;
      const taken = this.takenIds(key.id);
      if (!this.stepIds(key.id).some((id) => taken(id)))
        this.onViolation('given_up', `pipeline ${key.id}, none of whose ids is taken`);
    }
  }

  /** A pipeline goes live only where none of its ids is that of a job or of a step of another pipeline. */
  private checkAcceptedPipelines({ puts }: ReceivedTransaction): void {
    for (const put of puts) {
      const key = parsePipelineKey(put);
      if (key?.kind !== 'head') continue;
      const head = unseal(pipelineHeadSchema, this.stored.valueOf(put));
      // Later changes of a live head have a higher generation.
      if (!head.ok || head.value.state !== 'live' || head.value.generation > 0) continue;
      const taken = this.takenIds(key.id);
      const clash = this.stepIds(key.id).find((id) => taken(id));
      if (clash !== undefined)
        this.onViolation('taken_twice', `${clash} of pipeline ${key.id} is another job's id`);
    }
  }

  private stepIds(id: PipelineId): JobId[] {
    return this.parts().flatMap((part) => (part.pipeline === id ? part.steps.map(({ job }) => job.id) : []));
  }

  private takenIds(id: PipelineId): (job: JobId) => boolean {
    const others = this.parts().filter((part) => part.pipeline !== id && this.hasHead(part.pipeline));
    const inOthers = new Set(others.flatMap((part) => part.steps.map(({ job }) => job.id)));
    const exists = (key: string): boolean => this.stored.valueOf(key) !== undefined;
    return (job) => inOthers.has(job) || exists(Keys.job(job)) || exists(Keys.finishedJob(job));
  }

  private hasHead(id: PipelineId): boolean {
    return this.stored.valueOf(PipelineKeys.head(id)) !== undefined;
  }

  private parts(): PipelinePart[] {
    return this.stored.keysUnder(Prefix.job).flatMap((key) => {
      if (parsePipelineKey(key)?.kind !== 'part') return [];
      const part = unseal(pipelinePartSchema, this.stored.valueOf(key));
      return part.ok ? [part.value] : [];
    });
  }

  private countRefusal(fence: number, key: string, modRevision: number): void {
    const count = addTo(this.refusals, `${fence} ${key} ${modRevision}`, 1);
    if (count === WRITERS_OF_JOB_RECORDS + 1)
      this.onViolation('refused_again', `${key} at ${modRevision} was refused ${count} times`);
  }
}

const fenceOf = ({ conditions }: ReceivedTransaction): number | undefined =>
  conditions.find(({ key }) => key === Keys.leader)?.modRevision;

/** The conditions on records of jobs that exist. */
const jobConditions = ({ conditions }: ReceivedTransaction): ReceivedTransaction['conditions'] =>
  conditions.filter(({ key, modRevision }) => jobIdOfKey(key) !== undefined && modRevision > 0);

function addTo(counts: Map<string, number>, name: string, change: number): number {
  const count = (counts.get(name) ?? 0) + change;
  if (count > 0) counts.set(name, count);
  else counts.delete(name);
  return count;
}
