import { parse as parseToml } from 'smol-toml';
import * as z from 'zod';
import { err, ok, type Result } from '../transport/result.js';
import type { Address, MemberName, TeamName, ZoneName } from './ids.js';
import { S } from './wire.js';
import { firstLineOf } from '../transport/error-message.js';

export interface TeamLimits {
  readonly name: TeamName;
  /** In each of the limits 0 means none. */
  readonly cpus: number;
  readonly cpusMax: number;
  readonly gpus: number;
  readonly gpusMax: number;
}

export interface Settings {
  readonly member: MemberName;
  readonly zone: ZoneName;
  readonly listen: Address;
  readonly meshListen: Address;
  readonly peers: readonly { readonly member: MemberName; readonly address: Address }[];
  readonly cloud: Address;
  readonly state: Address;
  readonly zones: readonly ZoneName[];
  readonly teams: readonly TeamLimits[];
  readonly objectives: readonly {
    readonly kind: string;
    readonly class?: string;
    readonly withinS?: number;
  }[];
  readonly workers: {
    readonly reportS: number;
    readonly leaseS: number;
    readonly gangWaitS: number;
    readonly gangPeerS: number;
    readonly cancelS: number;
  };
  readonly store: {
    readonly rps: number;
    readonly writeRps: number;
    readonly valueKb: number;
    readonly txnOps: number;
  };
  readonly cloudLimits: { readonly rps: number; readonly listLagS: number };
  readonly maxConnections: number;
}

const address = z.string().regex(/^[0-9A-Za-z.]+:[0-9]+$/, 'must be host:port');
const positive = z.number().positive();
const nonNegative = z.number().nonnegative();
const count = z.number().int().positive();

const schema = z.object({
  [S.node]: z.string().min(1),
  [S.zone]: z.string().min(1),
  [S.listen]: address,
  [S.peerListen]: address,
  [S.peers]: z.array(z.object({ [S.node]: z.string().min(1), [S.peerAddress]: address })).default([]),
  [S.services]: z.object({ [S.cloud]: address, [S.state]: address }),
  [S.params]: z.object({
    [S.zones]: z.array(z.string()),
    [S.teams]: z.array(
      z.object({
        name: z.string().min(1),
        cpus: nonNegative.default(0),
        cpus_max: nonNegative.default(0),
        gpus: nonNegative.default(0),
        gpus_max: nonNegative.default(0),
      }),
    ),
    [S.objectives]: z
      .array(z.object({ kind: z.string(), class: z.string().optional(), within_s: z.number().optional() }))
      .default([]),
    [S.workers]: z.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    [S.state]: z.object({ rps: positive, write_rps: positive, value_kb: positive, txn_ops: count.min(6) }),
    [S.cloud]: z.object({ rps: positive, list_lag_s: nonNegative }),
    [S.limits]: z.object({ [S.maxConnections]: count.default(1000) }).prefault({}),
  }),
});

/** Reports every error with its path, not just the first. */
export function parseSettings(text: string): Result<Settings, readonly string[]> {
  let raw: unknown;
  try {
    raw = parseToml(text);
  } catch (e) {
    return err([`not TOML: ${firstLineOf(e)}`]);
  }
  const result = schema.safeParse(raw);
  if (!result.success) {
    return err(result.error.issues.map((i) => `${i.path.map(String).join('.') || '(top)'}: ${i.message}`));
  }
  const wire = result.data;
  const params = wire[S.params];
  return ok({
    member: wire[S.node] as MemberName,
    zone: wire[S.zone] as ZoneName,
    listen: wire[S.listen] as Address,
    meshListen: wire[S.peerListen] as Address,
    peers: wire[S.peers].map((peer) => ({
      member: peer[S.node] as MemberName,
      address: peer[S.peerAddress] as Address,
    })),
    cloud: wire[S.services][S.cloud] as Address,
    state: wire[S.services][S.state] as Address,
    zones: params[S.zones] as ZoneName[],
    teams: params[S.teams].map((team) => ({
      name: team.name as TeamName,
      cpus: team.cpus,
      cpusMax: team.cpus_max,
      gpus: team.gpus,
      gpusMax: team.gpus_max,
    })),
    objectives: params[S.objectives].map((objective) => ({
      kind: objective.kind,
      ...(objective.class === undefined ? {} : { class: objective.class }),
      ...(objective.within_s === undefined ? {} : { withinS: objective.within_s }),
    })),
    workers: {
      reportS: params[S.workers].report_s,
      leaseS: params[S.workers].lease_s,
      gangWaitS: params[S.workers].gang_wait_s,
      gangPeerS: params[S.workers].gang_peer_s,
      cancelS: params[S.workers].cancel_s,
    },
    store: {
      rps: params[S.state].rps,
      writeRps: params[S.state].write_rps,
      valueKb: params[S.state].value_kb,
      txnOps: params[S.state].txn_ops,
    },
    cloudLimits: { rps: params[S.cloud].rps, listLagS: params[S.cloud].list_lag_s },
    maxConnections: params[S.limits][S.maxConnections],
  });
}
