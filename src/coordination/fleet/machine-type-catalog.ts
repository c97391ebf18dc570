import { RequestPriority } from '../../transport/rate-limiter.js';
import { sleep, type Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { jitter, type Random } from '../../transport/random.js';
import { catalogSchema, encodeCatalog, type MachineType } from '../../protocol/cloud.js';
import { decode, parse } from '../../protocol/codec.js';
import { NO_REVISION, type ModRevision, type TypeName } from '../../protocol/ids.js';
import type { Condition } from '../../protocol/state.js';
import type { CloudClient } from '../../storage/cloud-client.js';
import { checksum, Keys, seal, unseal } from '../../storage/records.js';
import type { StoreClient } from '../../storage/store-client.js';
import * as z from 'zod';

const REFRESH_MS = 30_000;
/** Interval between two calls while the provider does not answer: with known types, and with none. */
const RETRY_MS = 5000;
const RETRY_UNLOADED_MS = 500;

/**
 * The machine types that the provider offers. A copy is kept in the store, so that a controller that starts while the
 * provider's interface is down can still validate submissions. Only the leader writes the copy; this class never decides
 * what a type is used for.
 */
export class MachineTypeCatalog {
  private types: ReadonlyMap<TypeName, MachineType> = new Map();
  /** The types that this process stored last, and the leadership under which it did: under a later one others may be stored. */
  private stored: { readonly checksum: string; readonly leader: ModRevision } | undefined;
  /** Revision of the stored record as last read or written here; initially that of no record, undefined where unknown. */
  private storedRevision: ModRevision | undefined = NO_REVISION;

  constructor(
    private readonly cloud: CloudClient,
    private readonly store: StoreClient,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
  ) {}

  /** The types by name; none until they are loaded. */
  all(): ReadonlyMap<TypeName, MachineType> {
    return this.types;
  }

  /** Whether the types are known, from the provider or from the stored copy. */
  isLoaded(): boolean {
    return this.types.size > 0;
  }

  /**
   * Refreshes the types for as long as the process runs. `leadershipCondition` returns the condition of the leader's writes,
   * and undefined on any other controller.
   */
  async run(leadershipCondition: () => Condition | undefined): Promise<never> {
    const { cloud, clock, random } = this;
    for (;;) {
      const fetched = await cloud.catalog();
      if (fetched.ok) {
        this.types = byName(fetched.value);
        await this.storeTypes(fetched.value, leadershipCondition);
        await sleep(clock, jitter(random, REFRESH_MS));
        continue;
      }
      if (!this.isLoaded()) await this.restoreTypes();
      await sleep(clock, jitter(random, this.isLoaded() ? RETRY_MS : RETRY_UNLOADED_MS));
    }
  }

  /**
   * Stores the types. Spot prices change all the time, so a change of these alone is not written. The write is conditioned on
   * the leadership and on the record's own revision: a late write, of an earlier leader or of this one, never replaces a
   * newer one.
   */
  private async storeTypes(
    types: readonly MachineType[],
    leadershipCondition: () => Condition | undefined,
  ): Promise<void> {
    const whileLeader = leadershipCondition();
    if (!whileLeader) return;
    const typesChecksum = checksum(types.map((type) => ({ ...type, spotPrice: 0 })));
    const leader = whileLeader.modRevision;
    if (this.stored?.checksum === typesChecksum && this.stored.leader === leader) return;
    const encoded = decode(encodeCatalog(types));
    if (!encoded.ok) return;
    if (this.storedRevision === undefined) {
      const stored = await this.store.get(Keys.machineTypes, RequestPriority.Scheduling);
      if (!stored.ok) return;
      this.storedRevision = stored.value?.modRevision ?? NO_REVISION;
    }
    const outcome = await this.store.txn(
      [whileLeader, { key: Keys.machineTypes, modRevision: this.storedRevision }],
      [{ op: 'put', key: Keys.machineTypes, value: seal(encoded.value) }],
      RequestPriority.Scheduling,
    );
    // Without a confirmation it is not known what is stored, and the record is read again before the next attempt.
    const committed = outcome.ok && outcome.value.kind === 'committed' ? outcome.value.revision : undefined;
    this.storedRevision = committed as ModRevision | undefined;
    this.stored = committed === undefined ? undefined : { checksum: typesChecksum, leader };
  }

  private async restoreTypes(): Promise<void> {
    const entry = await this.store.get(Keys.machineTypes, RequestPriority.User);
    if (!entry.ok || !entry.value || this.isLoaded()) return;
    const body = unseal(z.unknown(), entry.value.value);
    const types = body.ok ? parse(catalogSchema, body.value) : body;
    if (!types.ok) return;
    this.types = byName(types.value);
    this.log.info('machine-types-restored', { types: types.value.length });
  }
}

const byName = (types: readonly MachineType[]): ReadonlyMap<TypeName, MachineType> =>
  new Map(types.map((type) => [type.name, type]));
