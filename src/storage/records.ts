/** The records of the state service, one module per subject. Records of pipelines are in `pipeline-records.ts`. */
export * from './records/completed-task-set.js';
export * from './records/completion-records.js';
export * from './records/index-ranges.js';
export * from './records/job-records.js';
export * from './records/leadership-records.js';
export * from './records/machine-records.js';
export * from './records/plan-records.js';
export { checksum, fitsStoreValue, seal, unseal, type SealedRecord } from './records/record-envelope.js';
export * from './records/store-keys.js';
export * from './records/transaction-batches.js';
