import type { Log } from '../../transport/log.js';
import type { ListedMachine } from '../../protocol/cloud.js';
import type { OperatorSettings } from '../../protocol/operator-settings.js';
import type { Settings } from '../../protocol/settings.js';
import type { StoreClient } from '../../storage/store-client.js';
import type { Leadership } from '../election/leader-election.js';
import {
  readPreProvisionedMachines,
  writePreProvisionedMachines,
} from './pre-provisioned-machines-record.js';

/** Dependencies of `PreProvisionedMachines`, provided by the leader. */
export interface PreProvisionedMachinesDependencies {
  readonly log: Log;
  readonly store: StoreClient;
  readonly settings: Settings;
  readonly operator: OperatorSettings;
  readonly leadership: Leadership;
  /** Whether this leader's term is still current. */
  readonly isActive: () => boolean;
}

/**
 * The machines that existed when the service first ran. The operator provided them, and they are kept when idle: their
 * images and their capacity are available to work that cannot wait for a boot. The list is stored once, before the first
 * scale-out, so that every later leader can distinguish these machines from those that the service provisioned. This class
 * never returns machines itself.
 */
export class PreProvisionedMachines {
  private known: ReadonlySet<string> | undefined;

  constructor(private readonly dependencies: PreProvisionedMachinesDependencies) {}

  /** The machines' names; undefined until `load` has found or stored the list. */
  get names(): ReadonlySet<string> | undefined {
    return this.known;
  }

  /** Reads the list, or stores it from the provider's first list. Without a definite answer the caller calls it again. */
  async load(listed: readonly ListedMachine[]): Promise<void> {
    const { log, store, settings, operator, leadership, isActive } = this.dependencies;
    if (operator.keepPreProvisioned === 0) {
      this.known = new Set();
      return;
    }
    const stored = await readPreProvisionedMachines(store);
    if (!isActive()) return;
    if (!stored.ok) {
      if (stored.error.kind === 'unavailable') return;
      log.error('pre-provisioned-record-unreadable', { reason: stored.error.reason });
      this.known = new Set();
      return;
    }
    if (stored.value) {
      this.known = new Set(stored.value);
      return;
    }
    const names = listed.filter(({ state }) => state === 'running').map(({ id }) => id);
    const isRecorded = await writePreProvisionedMachines(
      store,
      names,
      leadership.modRevision,
      settings.store,
    );
    // Without a confirmation the record is read again after the next list.
    if (!isActive() || !isRecorded) return;
    this.known = new Set(names);
    log.info('pre-provisioned-machines-recorded', { machines: names.length });
  }
}
