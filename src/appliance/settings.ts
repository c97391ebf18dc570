import * as z from 'zod';
import { err, ok, type Result } from '../transport/result.js';
import { MAX_TASKS } from '../protocol/jobs.js';
import { parseSExpressions, listItems, atomText, type SExpression } from '../protocol/s-expressions.js';

/** A machine of the site. The first runs the state service and the machine provider; each runs an agent and a controller. */
export interface SiteNode {
  readonly name: string;
  readonly host: string;
  /** First of six ports: users, peers, state service, provider, agent, and heartbeats where the users' port speaks TLS. */
  readonly port: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** A site of one machine, or of the machines that the owner lists. */
export interface Site {
  readonly name: string;
  readonly data: string;
  readonly nodes: readonly SiteNode[];
  readonly niceness: number;
  readonly images: number;
  readonly output: { readonly mb: number; readonly files: number };
  readonly teams: readonly {
    readonly name: string;
    readonly cpus: number;
    readonly cpusMax: number;
    readonly gpus: number;
    readonly gpusMax: number;
  }[];
  readonly timing: {
    readonly reportS: number;
    readonly leaseS: number;
    readonly gangWaitS: number;
    readonly gangPeerS: number;
    readonly cancelS: number;
  };
  readonly pipelines: boolean;
  readonly elastic: boolean;
  /** Path of the key file; undefined: none. A site without keys listens on the loopback interface only. */
  readonly keys: string | undefined;
  /** Paths of the certificate and its private key; undefined: no TLS. */
  readonly tls: { readonly cert: string; readonly key: string } | undefined;
}

const numberBetween = (min: number, max: number) =>
  z
    .string()
    .transform(Number)
    .refine((n) => Number.isFinite(n) && n >= min && n <= max, `must be a number from ${min} to ${max}`);
const identifier = z
  .string()
  .regex(/^[a-z][a-z0-9-]{0,40}$/, 'must be a word of small letters, digits and dashes');
const yesOrNo = z.enum(['yes', 'no']).transform((w) => w === 'yes');

/** Each setting: the schema of its value, and its value where the file doesn't give one. */
const SETTINGS = {
  site: { schema: identifier, fallback: 'site' },
  data: { schema: z.string().min(1), fallback: '' },
  host: {
    schema: z.string().regex(/^[0-9A-Za-z.]+$/, 'must be a name or an address'),
    fallback: '127.0.0.1',
  },
  port: { schema: numberBetween(1, 65_530), fallback: 8080 },
  cpus: { schema: numberBetween(0.1, 4096), fallback: 1 },
  cards: { schema: numberBetween(0, 64), fallback: 0 },
  'memory-gb': { schema: numberBetween(0.1, 65_536), fallback: 1 },
  niceness: { schema: numberBetween(0, 19), fallback: 5 },
  images: { schema: numberBetween(1, 10_000), fallback: 20 },
  'output-mb': { schema: numberBetween(0.01, 10_000), fallback: 10 },
  'output-files': { schema: numberBetween(2, 100), fallback: 3 },
  'report-s': { schema: numberBetween(0.2, 60), fallback: 2 },
  'lease-s': { schema: numberBetween(1, 600), fallback: 20 },
  'gang-wait-s': { schema: numberBetween(1, 3600), fallback: 60 },
  'gang-peer-s': { schema: numberBetween(1, 600), fallback: 10 },
  'cancel-s': { schema: numberBetween(2, 3600), fallback: 60 },
  pipelines: { schema: yesOrNo, fallback: true },
  elastic: { schema: yesOrNo, fallback: true },
  keys: { schema: z.string().min(1), fallback: '' },
  'tls-cert': { schema: z.string().min(1), fallback: '' },
  'tls-key': { schema: z.string().min(1), fallback: '' },
} as const;

const TEAM_SETTINGS = ['cpus', 'cpus-max', 'cards', 'cards-max'] as const;

/** Parses the settings file. Reports every fault, not just the first; a fault in an expression with its line and column. */
export async function parseSite(source: string): Promise<Result<Site, readonly string[]>> {
  const expressions = await parseSExpressions(source);
  if (!expressions.ok) return err([expressions.error]);
  const faults: string[] = [];
  const values: Record<string, unknown> = {};
  const teams: Site['teams'][number][] = [];
  const namedNodes: { name: string; host: string; overrides: Record<string, number> }[] = [];
  for (const expression of expressions.value) {
    const { line, column } = expression.location.start;
    const addFault = (what: string): void => void faults.push(`line ${line}, column ${column}: ${what}`);
    const parts = listItems(expression);
    const name = parts[0] && atomText(parts[0]);
    if (name === undefined) addFault('expected (name value)');
    else if (name === 'team') {
      const team = readTeam(parts.slice(1), addFault);
      if (team && teams.some((t) => t.name === team.name)) addFault(`team '${team.name}' is there twice`);
      else if (team) teams.push(team);
    } else if (name === 'node') {
      const node = readNode(parts.slice(1), addFault);
      if (node && namedNodes.some((n) => n.name === node.name))
        addFault(`node '${node.name}' is there twice`);
      else if (node) namedNodes.push(node);
    } else if (!Object.hasOwn(SETTINGS, name)) addFault(`unknown setting '${name}'`);
    else if (name in values) addFault(`'${name}' is set twice`);
    else if (parts.length !== 2 || atomText(parts[1]!) === undefined) addFault(`expected (${name} value)`);
    else {
      const parsed = SETTINGS[name as keyof typeof SETTINGS].schema.safeParse(atomText(parts[1]!));
      if (parsed.success) values[name] = parsed.data;
      else addFault(`${name}: ${parsed.error.issues[0]?.message ?? 'invalid'}`);
    }
  }
  const valueOf = <K extends keyof typeof SETTINGS>(name: K) =>
    (values[name] ?? SETTINGS[name].fallback) as z.infer<(typeof SETTINGS)[K]['schema']>;
  if (valueOf('data') === '') faults.push('(data "/a/folder") is missing: where everything is kept');
  if (teams.length === 0) faults.push('(team name …) is missing: jobs belong to a team');
  if (valueOf('cancel-s') <= valueOf('lease-s') + 2)
    faults.push('cancel-s must be more than 2 s above lease-s');
  if (valueOf('lease-s') < 3 * valueOf('report-s'))
    faults.push('lease-s must be at least three times report-s');
  const singleNode = {
    name: valueOf('site'),
    host: valueOf('host'),
    overrides: {} as Record<string, number>,
  };
  const machines = (namedNodes.length > 0 ? namedNodes : [singleNode]).map((node): SiteNode => ({
    name: node.name,
    host: node.host,
    port: node.overrides['port'] ?? valueOf('port'),
    cpus: node.overrides['cpus'] ?? valueOf('cpus'),
    gpus: node.overrides['cards'] ?? valueOf('cards'),
    memoryGb: node.overrides['memory-gb'] ?? valueOf('memory-gb'),
  }));
  const loopbackOnly = machines.every((n) => /^(127\.[0-9.]+|localhost)$/.test(n.host));
  if (!loopbackOnly && valueOf('keys') === '')
    faults.push('(keys "file") is missing: without keys host must be this machine itself, 127.0.0.1');
  if ((valueOf('tls-cert') === '') !== (valueOf('tls-key') === ''))
    faults.push('tls-cert and tls-key go together');
  if (faults.length > 0) return err(faults);
  return ok({
    name: valueOf('site'),
    data: valueOf('data'),
    nodes: machines,
    niceness: valueOf('niceness'),
    images: valueOf('images'),
    output: { mb: valueOf('output-mb'), files: valueOf('output-files') },
    teams,
    timing: {
      reportS: valueOf('report-s'),
      leaseS: valueOf('lease-s'),
      gangWaitS: valueOf('gang-wait-s'),
      gangPeerS: valueOf('gang-peer-s'),
      cancelS: valueOf('cancel-s'),
    },
    pipelines: valueOf('pipelines'),
    elastic: valueOf('elastic'),
    keys: valueOf('keys') || undefined,
    tls: valueOf('tls-cert') === '' ? undefined : { cert: valueOf('tls-cert'), key: valueOf('tls-key') },
  });
}

function readTeam(
  parts: readonly SExpression[],
  addFault: (what: string) => void,
): Site['teams'][number] | undefined {
  const name = identifier.safeParse(parts[0] && atomText(parts[0]));
  if (!name.success) {
    addFault('a team needs a name: (team physics (cards-max 4))');
    return undefined;
  }
  const team: Record<string, number> = {};
  for (const part of parts.slice(1)) {
    const pair = listItems(part).map(atomText);
    const value = numberBetween(0, MAX_TASKS).safeParse(pair[1]);
    if (
      pair.length !== 2 ||
      !TEAM_SETTINGS.includes(pair[0] as (typeof TEAM_SETTINGS)[number]) ||
      !value.success
    ) {
      addFault(`team '${name.data}': expected (${TEAM_SETTINGS.join(' n), (')} n)`);
      return undefined;
    }
    team[pair[0]!] = value.data;
  }
  return {
    name: name.data,
    cpus: team['cpus'] ?? 0,
    cpusMax: team['cpus-max'] ?? 0,
    gpus: team['cards'] ?? 0,
    gpusMax: team['cards-max'] ?? 0,
  };
}

const NODE_SETTINGS = ['port', 'cpus', 'memory-gb', 'cards'] as const;

function readNode(
  parts: readonly SExpression[],
  addFault: (what: string) => void,
): { name: string; host: string; overrides: Record<string, number> } | undefined {
  const name = identifier.safeParse(parts[0] && atomText(parts[0]));
  const host = SETTINGS.host.schema.safeParse(parts[1] && atomText(parts[1]));
  if (!name.success || !host.success) {
    addFault('a node needs a name and a host: (node north 10.0.0.1 (cpus 8))');
    return undefined;
  }
  const overrides: Record<string, number> = {};
  for (const part of parts.slice(2)) {
    const pair = listItems(part).map(atomText);
    const setting = NODE_SETTINGS.find((k) => k === pair[0]);
    const value = setting && SETTINGS[setting].schema.safeParse(pair[1]);
    if (!setting || !value?.success || pair.length !== 2) {
      addFault(`node '${name.data}': expected (${NODE_SETTINGS.join(' n), (')} n)`);
      return undefined;
    }
    overrides[setting] = value.data;
  }
  return { name: name.data, host: host.data, overrides: overrides };
}

/** The settings file that `init` writes, with the meaning of each setting in a comment. */
export const template = (
  data: string,
  cpus: number,
  memoryGb: number,
): string => `; Settings of this site. One setting a line; what is behind a semicolon is a remark.

(site home)                     ; its name, in logs
(data "${data}")                ; everything is kept below this folder: the state, outputs, images, logs
(host 127.0.0.1)                ; where it listens; without keys this must be the machine itself
(port 8080)                     ; users; the five ports after it are its own parts

(cpus ${cpus})                         ; what of this machine jobs may use
(memory-gb ${memoryGb})
(cards 0)                       ; accelerators, numbered from 0 in GORSEYOKE_CARDS

; (node north 10.0.0.1)         ; for more machines than one: a line each, the same file on all, and keys

(team main)                     ; jobs belong to a team; limits are (cpus-max 8) and (cards-max 2), guarantees (cpus 4) and (cards 1)

; (niceness 5)                  ; how far tasks stand back behind other programs, 0 to 19
; (images 20)                   ; so many images are kept here
; (output-mb 10)                ; size of one output file of a task, and how many are kept of each
; (output-files 3)
; (report-s 2)                  ; how often this machine reports
; (lease-s 20)                  ; tasks end when nobody has answered for so long
; (cancel-s 60)                 ; a cancelled job is gone after so long at the latest
; (pipelines yes)
; (elastic yes)
; (keys "keys.sexp")           ; who may do what; gorseyoke appliance keys writes one
; (tls-cert "cert.pem")        ; users' side speaks TLS; read anew when the files change
; (tls-key "key.pem")
`;
