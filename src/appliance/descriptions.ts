import type { HttpClient, Reply, Route } from '../transport/http.js';
import { err, ok, type Result } from '../transport/result.js';
import { decode, decodeAs, encode, jsonByteLength } from '../protocol/codec.js';
import {
  decodeDescription,
  descriptionKey,
  parseDescription,
  DescriptionPaths,
  encodeDescription,
  type Description,
} from '../protocol/descriptions.js';
import { JOB_ID, NO_REVISION, type JobId } from '../protocol/ids.js';
import { encodeError } from '../protocol/jobs.js';
import { encodeTransaction, entrySchema, keyPath } from '../protocol/state.js';
import { Paths } from '../protocol/wire.js';

const CALL_TIMEOUT_MS = 4000;

/**
 * Keeps job descriptions (what a job is to run) in the state service beside the job records, since agents fetch descriptions
 * themselves. Users submit a description before its job. Descriptions are immutable: a repeat of the same one is accepted, a
 * different one under the same id is refused.
 */
export class DescriptionStore {
  readonly routes: readonly Route[];
  private readonly cache = new Map<JobId, Description>();

  constructor(
    private readonly http: HttpClient,
    private readonly stateAddress: string,
    private readonly valueKb: number,
  ) {
    this.routes = [
      { method: 'POST', path: DescriptionPaths.all, handle: (_, body) => this.add(body) },
      { method: 'GET', path: DescriptionPaths.one, handle: (params) => this.show(params['id'] ?? '') },
    ];
  }

  private async read(id: JobId): Promise<Result<unknown, 'absent' | 'unavailable'>> {
    const response = await this.http.call(
      this.stateAddress,
      'GET',
      keyPath(descriptionKey(id) as never),
      undefined,
      CALL_TIMEOUT_MS,
    );
    if (!response.ok || (response.value.status !== 200 && response.value.status !== 404))
      return err('unavailable');
    if (response.value.status === 404) return err('absent');
    const entry = decodeAs(entrySchema, response.value.body);
    return entry.ok ? ok(entry.value.value) : err('unavailable');
  }

  /** For the agent. Returns undefined if the job has no description, an error if it cannot be read. */
  async get(id: JobId): Promise<Result<Description | undefined, string>> {
    const cached = this.cache.get(id);
    if (cached) return ok(cached);
    const found = await this.read(id);
    if (!found.ok) return found.error === 'absent' ? ok(undefined) : err('the state service did not answer');
    const description = parseDescription(found.value);
    if (!description.ok) return description;
    this.cache.set(id, description.value);
    if (this.cache.size > 2000) this.cache.delete(this.cache.keys().next().value!);
    return description;
  }

  private async add(body: Uint8Array): Promise<Reply> {
    const errorReply = (status: number, why: string): Reply => ({ status, body: encodeError(why) });
    const description = decodeDescription(body);
    if (!description.ok) return errorReply(400, description.error);
    const raw = decode(body);
    const value = raw.ok ? raw.value : undefined;
    if (jsonByteLength(value) > this.valueKb * 1024)
      return errorReply(400, `larger than ${this.valueKb} KiB`);
    const { id } = description.value.spec;
    const key = descriptionKey(id) as never;
    const response = await this.http.call(
      this.stateAddress,
      'POST',
      Paths.txn,
      encodeTransaction([{ key, modRevision: NO_REVISION }], [{ op: 'put', key, value }]),
      CALL_TIMEOUT_MS,
    );
    if (response.ok && response.value.status === 200) return { status: 201, body: encode({}) };
    if (!response.ok || response.value.status !== 409)
      return { ...errorReply(503, 'the state service did not answer'), headers: { 'retry-after': '1' } };
    const existing = await this.read(id);
    if (!existing.ok)
      return { ...errorReply(503, 'the state service did not answer'), headers: { 'retry-after': '1' } };
    return Buffer.from(encode(existing.value)).equals(Buffer.from(encode(value)))
      ? { status: 200, body: encode({}) }
      : errorReply(409, `another description of ${id} is there`);
  }

  private async show(id: string): Promise<Reply> {
    if (!JOB_ID.test(id)) return { status: 404, body: encodeError('no such description') };
    const found = await this.read(id as JobId);
    if (found.ok) return { status: 200, body: encodeDescription(found.value) };
    return found.error === 'absent'
      ? { status: 404, body: encodeError('no such description') }
      : {
          status: 503,
          body: encodeError('the state service did not answer'),
          headers: { 'retry-after': '1' },
        };
  }
}
