/** Authentication and authorization: shared secrets, a MAC over every request, and roles. */
export { frameGuard } from './frames.js';
export { newSecret, parseKeys } from './file.js';
export { MAC_HEADER, signer, Verifier, type Key, type Role } from './mac.js';
export { MAX_CLOCK_SKEW_MS } from './nonces.js';
export { isAuthorized, componentsGuard, usersGuard } from './rights.js';
export { Nonces } from './nonces.js';
