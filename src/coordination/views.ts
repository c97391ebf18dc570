import type { World } from '../bookkeeping/world.js';

/**
 * What each folder may read and write of the world. A loop that wants more says so here, where a reader sees at a glance who
 * changes what: placements begin in rounds (or with a take-over), end by orders' reports, and leave by settling.
 */

/** Reads jobs, machines and what is in use; places tasks, asks for stops, notes what a round left to remove. */
export type RoundsWorld = Pick<
  World,
  | 'jobs'
  | 'machines'
  | 'use'
  | 'partyUse'
  | 'doneOf'
  | 'estranged'
  | 'withImage'
  | 'plans'
  | 'garbage'
  | 'unstamped'
  | 'place'
  | 'stop'
  | 'end'
>;

/** What workers say of machines and tasks is entered; nothing is placed. */
export type OrdersWorld = Pick<
  World,
  | 'jobs'
  | 'machines'
  | 'stopping'
  | 'since'
  | 'addMachine'
  | 'isOfTheGone'
  | 'noticed'
  | 'setStrangers'
  | 'matched'
  | 'noteImage'
  | 'imagesChanged'
  | 'float'
  | 'land'
  | 'faulty'
  | 'end'
>;

/** Ends that are to be stored, and what nothing needs any more. */
export type SettlingWorld = Pick<
  World,
  | 'jobs'
  | 'machines'
  | 'plans'
  | 'garbage'
  | 'unsettled'
  | 'mention'
  | 'mentionPlan'
  | 'unmention'
  | 'noteEnded'
  | 'settle'
  | 'dropJob'
  | 'dropPlan'
  | 'imagesChanged'
> &
  PipelinesWorld;

/** Steps of pipelines become jobs with the end of another, in the same piece of a settlement. */
export type PipelinesWorld = Pick<World, 'jobs' | 'garbage' | 'faulty' | 'addJob'>;

/** Machines come and go; what ends with one ends here, and what is to leave one is asked to stop. */
export type FleetWorld = Pick<
  World,
  | 'jobs'
  | 'machines'
  | 'stopping'
  | 'addMachine'
  | 'removeMachine'
  | 'imagesKept'
  | 'cardSeconds'
  | 'noticed'
  | 'estranged'
  | 'stop'
  | 'end'
>;

/** Who shares the machines: jobs, what classes and teams use, what stands where. Reads only. */
export type SharingWorld = Pick<World, 'jobs' | 'machines' | 'partyUse' | 'doneOf'>;

/** Reads only. */
export type ExplainedWorld = Pick<World, 'jobs' | 'machines' | 'use' | 'estranged' | 'ended'>;
