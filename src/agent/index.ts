/** The node agent of a machine: implements the protocol's section on workers and runs tasks as ordinary processes. */
export { Agent, type AgentDeps } from './agent.js';
export { ClaimPaths, encodeClaim, encodeRecall } from './claims.js';
export { Images } from './images.js';
export { Outputs } from './outputs.js';
export { identityOf, Processes } from './processes.js';
export { SAVED_CODE, Tasks, type Capacity as Room, type TasksDeps } from './tasks.js';
