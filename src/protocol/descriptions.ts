import * as z from 'zod';
import { decodeAs, encode, parse } from './codec.js';
import type { Result } from '../transport/result.js';
import { ok } from '../transport/result.js';
import { jobSubmissionSchema, type JobSpec } from './jobs.js';
import type { JobId } from './ids.js';

/**
 * The command that a task runs: an extension of the submission that this project's agent reads. Receivers that do not know
 * it ignore it.
 */
export const DescriptionFields = { argv: 'argv', env: 'env', imagePath: 'image_path' } as const;

export const DescriptionPaths = {
  all: '/v1/descriptions',
  one: '/v1/descriptions/:id',
} as const;

export interface Command {
  readonly argv: readonly string[];
  readonly env: Readonly<Record<string, string>>;
  /** A folder or an archive (.tar, .tar.gz) on the machine where the agent runs; null: the image is only a name. */
  readonly imagePath: string | null;
}

export interface Description {
  readonly spec: JobSpec;
  readonly command: Command;
}

const ENV_NAME = /^[A-Za-z_][A-Za-z0-9_]*$/;
const textWithoutNul = z.string().refine((s) => !s.includes('\0'), 'must not hold a zero byte');

const commandSchema = z
  .object({
    [DescriptionFields.argv]: z.array(textWithoutNul).min(1, 'must name a program').max(1000),
    [DescriptionFields.env]: z
      .record(z.string().regex(ENV_NAME, 'no name of a variable'), textWithoutNul)
      .nullish(),
    [DescriptionFields.imagePath]: textWithoutNul.min(1).nullish(),
  })
  .transform((wire): Command => ({
    argv: wire[DescriptionFields.argv],
    env: wire[DescriptionFields.env] ?? {},
    imagePath: wire[DescriptionFields.imagePath] ?? null,
  }));

export function parseDescription(value: unknown): Result<Description, string> {
  const spec = parse(jobSubmissionSchema, value);
  if (!spec.ok) return spec;
  const command = parse(commandSchema, value);
  return command.ok ? ok({ spec: spec.value, command: command.value }) : command;
}

export function decodeDescription(bytes: Uint8Array | undefined): Result<Description, string> {
  const data = decodeAs(z.record(z.string(), z.unknown()), bytes);
  return data.ok ? parseDescription(data.value) : data;
}

export const encodeDescription = (value: unknown): Uint8Array => encode(value);
export const descriptionKey = (id: JobId): string => `description/${id}`;
