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
const pictureSchema = z.object({
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
const elsewhereSchema = z.object({ holder: z.string().nullable(), address: z.string().nullable() });

export type Picture = z.infer<typeof pictureSchema>;

/** What the holder of the term knows just now; any controller says who that is. */
export async function fetchPicture(
  http: HttpClient,
  address: string,
  path: string,
  follow = true,
): Promise<Result<Picture, string>> {
  const r = await http.call(address, 'GET', path, undefined, 3000);
  if (!r.ok) return err(`${address} does not answer`);
  if (r.value.status !== 200) return err(`${address} answers ${r.value.status}`);
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(r.value.body ?? []).toString());
  } catch {
    return err(`${address}: garbled answer`);
  }
  const picture = pictureSchema.safeParse(value);
  if (picture.success) return ok(picture.data);
  const elsewhere = elsewhereSchema.safeParse(value);
  if (follow && elsewhere.success && elsewhere.data.address !== null)
    return fetchPicture(http, elsewhere.data.address, path, false);
  return err('no controller holds the term just now');
}
