import { Rank } from '../../transport/budget.js';
import { sleep, type Clock } from '../../transport/clock.js';
import type { Log } from '../../transport/log.js';
import { jitter, type Random } from '../../transport/random.js';
import { catalogSchema, encodeCatalog, type MachineType } from '../../protocol/cloud.js';
import { decode, parse } from '../../protocol/codec.js';
import type { TypeName } from '../../protocol/ids.js';
import type { Cloud } from '../../bookkeeping/cloud.js';
import { checksum, Keys, seal, unseal } from '../../bookkeeping/records.js';
import type { Store } from '../../bookkeeping/store.js';
import * as z from 'zod';

const REFRESH_MS = 30_000;

/**
 * The machine types. A copy is kept in the state service, so that a node that starts while the cloud's
 * interface is down can still judge submissions.
 */
export class TypeBook {
  private types: ReadonlyMap<TypeName, MachineType> = new Map();
  private keptSum = '';

  constructor(
    private readonly cloud: Cloud,
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
  ) {}

  all(): ReadonlyMap<TypeName, MachineType> {
    return this.types;
  }

  known(): boolean {
    return this.types.size > 0;
  }

  async run(isHolder: () => boolean): Promise<never> {
    for (;;) {
      const fresh = await this.cloud.catalog();
      if (fresh.ok) {
        this.types = new Map(fresh.value.map((t) => [t.name, t]));
        if (isHolder()) await this.keep(fresh.value);
        await sleep(this.clock, jitter(this.random, REFRESH_MS));
        continue;
      }
      if (!this.known()) await this.recall();
      await sleep(this.clock, jitter(this.random, this.known() ? 5000 : 500));
    }
  }

  /** Prices move all the time; only the types themselves are worth a write. */
  private async keep(types: readonly MachineType[]): Promise<void> {
    const lasting = types.map((t) => ({ ...t, spotPrice: 0 }));
    const sum = checksum(lasting);
    if (sum === this.keptSum) return;
    const wire = decode(encodeCatalog(types));
    if (!wire.ok) return;
    const done = await this.store.txn(
      [],
      [{ op: 'put', key: Keys.catalog, value: seal(wire.value) }],
      Rank.Round,
    );
    if (done.ok) this.keptSum = sum;
  }

  private async recall(): Promise<void> {
    const entry = await this.store.get(Keys.catalog, Rank.User);
    if (!entry.ok || !entry.value || this.known()) return;
    const body = unseal(z.unknown(), entry.value.value);
    const types = body.ok ? parse(catalogSchema, body.value) : body;
    if (!types.ok) return;
    this.types = new Map(types.value.map((t) => [t.name, t]));
    this.log.info('types-recalled', { types: types.value.length });
  }
}
