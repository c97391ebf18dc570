import { sleep, type Clock, type SteadyMs } from '../transport/clock.js';
import type { HttpClient } from '../transport/http.js';
import { decodeAs } from '../protocol/codec.js';
import {
  NO_REVISION,
  type Attempt,
  type JobId,
  type LeaseId,
  type StoreKey,
  type TaskIndex,
} from '../protocol/ids.js';
import {
  encodeTtl,
  encodeTransaction,
  leaseSchema,
  rangePath,
  rangeSchema,
  renewPath,
  type Change,
  type Condition,
} from '../protocol/state.js';
import { Paths } from '../protocol/wire.js';

export interface GangDeps {
  readonly clock: Clock;
  readonly http: HttpClient;
  readonly storeAddress: string;
  readonly gangWaitS: number;
  readonly gangPeerS: number;
}

/** A task of a gang, with the callbacks for the events of its gang. */
export interface GangTask {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly tasks: number;
  readonly address: string;
  /** All members of the gang are present; `peers` holds their addresses by task index. */
  onGangStart(peers: readonly string[]): void;
  onPeerLost(): void;
  onGangDone(): void;
  onGangIncomplete(): void;
}

const STORE_CALL_TIMEOUT_MS = 3000;

/**
 * Rendezvous and failure detection of the tasks of one attempt, through the store. Each member holds a key with its address under a
 * lease. The first member that sees all keys writes the `start` key. After the start, a missing key means that its task is gone.
 * A store outage proves no failure: all leases have their full time after it, and a member that can't reach the store continues.
 */
export class GangMember {
  private leaseId: LeaseId | undefined;
  private hasLeft = false;
  private hasStarted = false;
  private readonly prefix: string;

  constructor(
    private readonly deps: GangDeps,
    private readonly task: GangTask,
  ) {
    this.prefix = `gang/${task.job}/${task.attempt}/`;
  }

  private key(name: string): StoreKey {
    return `${this.prefix}${name}` as StoreKey;
  }

  private async commitTransaction(
    conditions: readonly Condition[],
    changes: readonly Change[],
  ): Promise<boolean> {
    const reply = await this.deps.http.call(
      this.deps.storeAddress,
      'POST',
      Paths.txn,
      encodeTransaction(conditions, changes),
      STORE_CALL_TIMEOUT_MS,
    );
    return reply.ok && reply.value.status === 200;
  }

  async run(): Promise<void> {
    const { clock, gangWaitS, gangPeerS } = this.deps;
    const ttlMs = Math.max(500, gangPeerS * 500);
    const waitingSince = clock.now();
    let renewedAt: SteadyMs = waitingSince;
    while (!this.hasLeft) {
      if (this.leaseId === undefined) await this.join(ttlMs);
      else if (clock.now() - renewedAt > ttlMs / 4) {
        renewedAt = clock.now();
        const reply = await this.deps.http.call(
          this.deps.storeAddress,
          'POST',
          renewPath(this.leaseId),
          undefined,
          STORE_CALL_TIMEOUT_MS,
        );
        // The lease expired while this machine was cut off. The other members take this one for gone, so it must end.
        // eslint-disable-next-line @typescript-eslint/no-unnecessary-condition -- `hasLeft` may change during the call
        if (reply.ok && reply.value.status === 404 && !this.hasLeft) {
          if (this.hasStarted) {
            this.task.onPeerLost();
            return;
          }
          this.leaseId = undefined;
        }
      }
      if (this.leaseId !== undefined && (await this.poll())) return;
      if (!this.hasStarted && clock.now() - waitingSince > gangWaitS * 1000) {
        this.hasLeft = true;
        await this.leave();
        this.task.onGangIncomplete();
        return;
      }
      await sleep(clock, Math.min(250, ttlMs / 8));
    }
  }

  private async join(ttlMs: number): Promise<void> {
    const reply = await this.deps.http.call(
      this.deps.storeAddress,
      'POST',
      Paths.leases,
      encodeTtl(ttlMs),
      STORE_CALL_TIMEOUT_MS,
    );
    const lease =
      reply.ok && reply.value.status === 200 ? decodeAs(leaseSchema, reply.value.body) : undefined;
    if (!lease?.ok) return;
    const { index, address } = this.task;
    const put: Change = { op: 'put', key: this.key(String(index)), value: address, lease: lease.value };
    if (await this.commitTransaction([], [put])) this.leaseId = lease.value;
  }

  /** Returns true when the gang has ended and needs no further polling. */
  private async poll(): Promise<boolean> {
    const { task } = this;
    const reply = await this.deps.http.call(
      this.deps.storeAddress,
      'GET',
      rangePath(this.prefix, undefined, 1000),
      undefined,
      STORE_CALL_TIMEOUT_MS,
    );
    const page = reply.ok && reply.value.status === 200 ? decodeAs(rangeSchema, reply.value.body) : undefined;
    if (!page?.ok || this.hasLeft) return false;
    const entries = new Map(page.value.entries.map((entry) => [entry.key.slice(this.prefix.length), entry]));
    if (entries.has('done')) {
      this.hasLeft = true;
      task.onGangDone();
      void this.leave();
      return true;
    }
    const members = Array.from({ length: task.tasks }, (_, i) => entries.get(String(i)));
    const isMemberMissing = members.some((member) => member === undefined);
    const isStartRecorded = entries.has('start');
    if (!isStartRecorded && !isMemberMissing) {
      // The start is committed only if the members are still present then; the first 40 are checked because of the limit on the
      // conditions of a transaction.
      await this.commitTransaction(
        [
          { key: this.key('start'), modRevision: NO_REVISION },
          ...members.slice(0, 40).map((member) => ({ key: member!.key, modRevision: member!.modRevision })),
        ],
        [{ op: 'put', key: this.key('start'), value: members.map((member) => member!.value) }],
      );
      return false;
    }
    if (isStartRecorded && !this.hasStarted && !isMemberMissing) {
      this.hasStarted = true;
      const peers = entries.get('start')!.value;
      task.onGangStart(Array.isArray(peers) ? peers.map(String) : []);
    } else if (isStartRecorded && this.hasStarted && isMemberMissing) {
      this.hasLeft = true;
      task.onPeerLost();
      void this.leave();
      return true;
    }
    return false;
  }

  /** The first member that completes records the completion for the whole gang. */
  async announceDone(): Promise<void> {
    this.hasLeft = true;
    await this.commitTransaction([], [{ op: 'put', key: this.key('done'), value: this.task.index }]);
    await this.leave();
  }

  async leave(): Promise<void> {
    this.hasLeft = true;
    const { leaseId } = this;
    this.leaseId = undefined;
    if (leaseId !== undefined)
      await this.deps.http.call(
        this.deps.storeAddress,
        'DELETE',
        `${Paths.leases}/${leaseId}`,
        undefined,
        STORE_CALL_TIMEOUT_MS,
      );
  }
}
