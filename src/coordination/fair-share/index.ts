/**
 * Fair sharing of the machines among classes and teams. This is the folder's public interface: the policy that scheduling
 * cycles follow, its types, and how well each group is served.
 */
export { FairSharePolicy, type FairShareDependencies, type FairShareSnapshot } from './fair-share-policy.js';
export type { FairShareRules, ReservedMachine } from './fair-share-rules.js';
export {
  fairShareStatuses,
  longestUnstarted,
  mostUnderserved,
  type FairShareStatus,
} from './fair-share-status.js';
