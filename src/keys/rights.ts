import type { RequestGuard, Reply } from '../transport/http.js';
import type { Clock } from '../transport/clock.js';
import type { Log } from '../transport/log.js';
import { decode, encode } from '../protocol/codec.js';
import { F } from '../protocol/wire.js';
import { Verifier, type Key, type Role } from './mac.js';

/** An unauthorized caller learns nothing, not even whether the path exists. */
const NOT_ALLOWED: Reply = { status: 401, body: encode({ [F.error]: 'not allowed' }) };

export interface RightsDeps {
  readonly clock: Clock;
  readonly log: Log;
  readonly keys: readonly Key[];
  /** Team of a job; undefined if this node does not know it. */
  readonly teamOf: (job: string) => string | undefined;
}

/** Teams named in a submission, including those of pipeline steps; undefined if none can be determined. */
function submittedTeams(body: Uint8Array): string[] | undefined {
  const data = decode(body);
  if (!data.ok || typeof data.value !== 'object' || data.value === null) return undefined;
  const teams: string[] = [];
  const collect = (node: unknown, depth: number): void => {
    if (typeof node !== 'object' || node === null || depth > 8) return;
    for (const [name, value] of Object.entries(node)) {
      if (name === F.team) teams.push(String(value));
      else collect(value, depth + 1);
    }
  };
  collect(data.value, 0);
  return teams.length > 0 ? teams : undefined;
}

/** Whether a role allows a request to the user API. Requests between the site's components go through `componentsGuard`. */
export function isAuthorized(
  role: Role,
  method: string,
  path: string,
  body: Uint8Array,
  teamOf: (job: string) => string | undefined,
): boolean {
  if (role.kind === 'operator' || role.kind === 'node') return true;
  if (method === 'GET') return true;
  if (role.kind === 'reader') return false;
  const ownsTeam = (team: string | undefined): boolean => team !== undefined && role.teams.includes(team);
  const abort = /^\/v1\/jobs\/([^/]+)\/abort$/.exec(path);
  if (abort) return ownsTeam(teamOf(decodeURIComponent(abort[1]!)));
  if (['/v1/jobs', '/v1/descriptions', '/v1/pipelines', '/v1/pipelines/check'].includes(path))
    return submittedTeams(body)?.every(ownsTeam) ?? false;
  return false;
}

/** Paths that need no key, because load balancers have none. */
const UNAUTHENTICATED_PATHS = new Set(['/up']);

export function usersGuard(deps: RightsDeps): RequestGuard {
  const verifier = new Verifier(deps.keys, deps.clock);
  return (head, body) => {
    const path = (head.url ?? '').split('?')[0]!;
    if (UNAUTHENTICATED_PATHS.has(path)) return undefined;
    const key = verifier.verify(head, body);
    if (key && isAuthorized(key.role, head.method ?? '', path, body, deps.teamOf)) return undefined;
    deps.log.info('request-refused', { path, key: key?.name ?? 'none' });
    return NOT_ALLOWED;
  };
}

/** Guard of the state service, the machine provider and the agents: admits only the site's components and operators. */
export function componentsGuard(deps: Omit<RightsDeps, 'teamOf'>): RequestGuard {
  const verifier = new Verifier(deps.keys, deps.clock);
  return (head, body) => {
    const key = verifier.verify(head, body);
    if (key && (key.role.kind === 'node' || key.role.kind === 'operator')) return undefined;
    deps.log.info('request-refused', { path: (head.url ?? '').split('?')[0], key: key?.name ?? 'none' });
    return NOT_ALLOWED;
  };
}
