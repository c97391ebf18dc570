import * as z from 'zod';
import type { HttpClient } from '../transport/http.js';
import { err, ok, type Result } from '../transport/result.js';

const jobSchema = z.object({
  id: z.string(),
  team: z.string(),
  kind: z.string(),
  tasks: z.number(),
  done: z.number(),
  running: z.number(),
  other: z.number(),
  assumed: z.number(),
  age: z.number(),
  why: z.string().nullable(),
});
const machineSchema = z.object({
  id: z.string(),
  type: z.string(),
  zone: z.string(),
  state: z.string(),
  heard: z.number().nullable(),
  confirmed: z.boolean(),
  leaving: z.boolean(),
  tasks: z.array(z.object({ task: z.string(), state: z.string(), since: z.number() })),
});
const overviewSchema = z.object({
  member: z.string(),
  storeOk: z.boolean(),
  total: z.object({
    jobs: z.number(),
    machines: z.number(),
    running: z.number(),
    waiting: z.number(),
    assumed: z.number(),
  }),
  jobs: z.array(jobSchema),
  machines: z.array(machineSchema),
  ends: z.array(z.string()),
});
/** Answer of a controller that doesn't lead. The wire calls the leader `holder`. */
const leaderLocationSchema = z.object({ holder: z.string().nullable(), address: z.string().nullable() });

export type Overview = z.infer<typeof overviewSchema>;

/** Fetches the leader's current overview of the cluster. Any controller can be asked: the others give the leader's address. */
export async function fetchOverview(
  http: HttpClient,
  address: string,
  path: string,
  followLeader = true,
): Promise<Result<Overview, string>> {
  const response = await http.call(address, 'GET', path, undefined, 3000);
  if (!response.ok) return err(`${address} does not answer`);
  if (response.value.status !== 200) return err(`${address} answers ${response.value.status}`);
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(response.value.body ?? []).toString());
  } catch {
    return err(`${address}: garbled answer`);
  }
  const overview = overviewSchema.safeParse(value);
  if (overview.success) return ok(overview.data);
  const leaderLocation = leaderLocationSchema.safeParse(value);
  if (followLeader && leaderLocation.success && leaderLocation.data.address !== null)
    return fetchOverview(http, leaderLocation.data.address, path, false);
  return err('no controller holds the term just now');
}
