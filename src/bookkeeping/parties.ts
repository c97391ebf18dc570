import type { JobSpec } from '../protocol/jobs.js';
import type { Use } from './entities.js';

/** Who shares the machines: a class of jobs, or a team. */
export type PartyKey = `class ${string}` | `team ${string}`;

export const classParty = (s: Pick<JobSpec, 'class'>): PartyKey => `class ${s.class}`;
export const teamParty = (s: Pick<JobSpec, 'team'>): PartyKey => `team ${s.team}`;

/** Adds (or takes away, with a negative number) what so many tasks of the kind use. */
export function chargeTo<K>(all: Map<K, Use>, key: K, s: Pick<JobSpec, 'cpus' | 'gpus'>, n: number): void {
  const use = all.get(key) ?? { cpus: 0, gpus: 0 };
  use.cpus += n * s.cpus;
  use.gpus += n * s.gpus;
  all.set(key, use);
}
