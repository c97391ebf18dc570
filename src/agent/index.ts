/** A worker for this machine: the protocol's section on workers, on ordinary processes. */
export { Agent, type AgentDeps } from './agent.js';
export { ClaimPaths, encodeClaim, encodeRecall } from './claims.js';
export { Images } from './images.js';
export { Outputs } from './outputs.js';
export { identityOf, Processes } from './processes.js';
export { SAVED_CODE, Tasks, type Room, type TasksDeps } from './tasks.js';
