/**
 * The command line's client of the job API: submits, shows, cancels and explains single jobs.
 *
 * Owns no state. It sends each request once, to the given address, and returns failures as lines for the user.
 */
import { createHttpClient } from '../../transport/http-client.js';
import type { Reply } from '../../transport/http.js';
import { err, ok, type Result } from '../../transport/result.js';
import { decode, decodeAs, encode, parse } from '../../protocol/codec.js';
import { jobAnswerSchema, jobSubmissionSchema } from '../../protocol/jobs.js';
import { DescriptionFields, DescriptionPaths, parseDescription } from '../../protocol/descriptions.js';
import { CONTENT_TYPE, F, Paths } from '../../protocol/wire.js';
import { OPERATOR_PATHS } from '../operator-api.js';

const TIMEOUT_MS = 5000;
const MAX_SOCKETS = 2;
const http = createHttpClient(MAX_SOCKETS, CONTENT_TYPE);

async function sendRequest(
  address: string,
  method: string,
  path: string,
  body?: Uint8Array,
): Promise<Result<Reply, string>> {
  if (!/^[0-9A-Za-z.]+:[0-9]+$/.test(address)) return err(`'${address}' is not host:port`);
  const reply = await http.call(address, method, path, body, TIMEOUT_MS);
  return reply.ok ? ok(reply.value) : err(`${address}: ${reply.error.why}`);
}

function formatJobReply(reply: Result<Reply, string>): Result<string, string> {
  if (!reply.ok) return reply;
  const { status, body } = reply.value;
  if (status === 200 || status === 201) {
    const answer = decodeAs(jobAnswerSchema, body);
    if (!answer.ok) return err(`garbled answer: ${answer.error}`);
    const { id, state, done, running } = answer.value;
    const counts = done === undefined ? '' : `, ${done} done, ${running ?? 0} running`;
    return ok(`${id}: ${state}${counts}`);
  }
  return formatRefusal(reply.value);
}

function formatRefusal({ status, body }: Reply): Result<string, string> {
  const data = body ? decode(body) : undefined;
  const text = data?.ok ? (data.value as Record<string, unknown> | null)?.[F.error] : undefined;
  return err(`refused with ${status}${typeof text === 'string' ? `: ${text}` : ''}`);
}

export async function submitJob(
  address: string,
  file: string,
  text: string,
): Promise<Result<string, string>> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return err(`${file}: not JSON: ${error instanceof Error ? error.message : String(error)}`);
  }
  const spec = parse(jobSubmissionSchema, value);
  if (!spec.ok) return err(`${file}: ${spec.error}`);
  // The job's description is stored before the job is submitted: agents fetch it as soon as the job is accepted.
  if (DescriptionFields.argv in (value as object)) {
    const described = parseDescription(value);
    if (!described.ok) return err(`${file}: ${described.error}`);
    const stored = await sendRequest(address, 'POST', DescriptionPaths.all, encode(value));
    if (!stored.ok) return stored;
    const { status } = stored.value;
    if (status !== 200 && status !== 201)
      return status === 404
        ? err(`${address} keeps no descriptions: it is no appliance`)
        : formatRefusal(stored.value);
  }
  return formatJobReply(await sendRequest(address, 'POST', Paths.jobs, encode(value)));
}

export const showJob = async (address: string, id: string): Promise<Result<string, string>> =>
  formatJobReply(await sendRequest(address, 'GET', Paths.job.replace(':id', encodeURIComponent(id))));

export const cancelJob = async (address: string, id: string): Promise<Result<string, string>> =>
  formatJobReply(
    await sendRequest(address, 'POST', Paths.cancel.replace(':id', encodeURIComponent(id)), new Uint8Array()),
  );

/** Follows one redirect to the leader: only the leader knows why a job waits. */
export async function explainRemote(
  address: string,
  id: string,
  followLeader = true,
): Promise<Result<string, string>> {
  const reply = await sendRequest(
    address,
    'GET',
    OPERATOR_PATHS.explain.replace(':id', encodeURIComponent(id)),
  );
  if (!reply.ok) return reply;
  try {
    const explanation = JSON.parse(Buffer.from(reply.value.body ?? []).toString()) as {
      lines: string[];
      holder?: string | null;
      address?: string | null;
    };
    if (explanation.lines.length > 0) return ok(explanation.lines.join('\n'));
    if (followLeader && explanation.address) return await explainRemote(explanation.address, id, false);
    return err('no controller holds the term just now');
  } catch {
    return err('garbled answer');
  }
}
