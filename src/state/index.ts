/** This project's durable implementation of the protocol's state service. */
export { stateCommands } from './commands.js';
export { KeyValueTable, MAX_HISTORY_CHANGES } from './key-value-table.js';
export type { StateLimits } from './requests.js';
export { RecordNames, packHeader, packKeyRecord } from './records.js';
export { StateService, type StateDeps } from './service.js';
export { restoreSnapshot, takeSnapshot, verifyFolder } from './snapshot.js';
export {
  StorageDamagedError,
  StorageLockedError,
  openStorage,
  type Storage,
  type View,
  type Write,
} from './storage.js';
export { Watches } from './watches.js';
