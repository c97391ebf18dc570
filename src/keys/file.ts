import { hexToBytes } from '@noble/hashes/utils.js';
import { randomBytes } from 'node:crypto';
import { err, ok, type Result } from '../transport/result.js';
import { parseSExpressions, listItems, atomText, type SExpression } from '../protocol/s-expressions.js';
import type { Key, Role } from './mac.js';

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,40}$/;
const SECRET_PATTERN = /^[0-9a-f]{64,128}$/;

const itemTexts = (s: SExpression): string[] => listItems(s).map((p) => atomText(p) ?? '(');

function roleOf(kind: string, teams: readonly string[]): Role | string {
  if (kind === 'submitter')
    return teams.length > 0 ? { kind, teams } : 'a submitter needs the teams that it submits for';
  if (teams.length > 0) return `a ${kind} takes no teams`;
  if (kind === 'reader' || kind === 'operator' || kind === 'node') return { kind };
  return `unknown role '${kind}': reader, submitter, operator or node`;
}

/**
 * Parses a file of `(key NAME SECRET ROLE TEAM…)` entries. A secret has 64 or more hexadecimal digits; faults never show one.
 */
export async function parseKeys(source: string): Promise<Result<readonly Key[], readonly string[]>> {
  const nodes = await parseSExpressions(source);
  // The parser's own messages quote the source, which contains secrets.
  if (!nodes.ok) return err(['not S-expressions']);
  const keys: Key[] = [];
  const faults: string[] = [];
  for (const node of nodes.value) {
    const [head, name = '', secret = '', kind = '', ...teams] = itemTexts(node);
    const fault = (what: string): void => void faults.push(`line ${node.location.start.line}: ${what}`);
    if (head !== 'key') fault('expected (key name secret role)');
    else if (!NAME_PATTERN.test(name)) fault('a name is a word of small letters, digits and dashes');
    else if (keys.some((k) => k.name === name)) fault(`key '${name}' is there twice`);
    else if (!SECRET_PATTERN.test(secret) || secret.length % 2 !== 0)
      fault(`key '${name}': the secret must be 64 digits of 0-9 and a-f`);
    else {
      const role = roleOf(kind, teams);
      if (typeof role === 'string') fault(`key '${name}': ${role}`);
      else keys.push({ name, secret: hexToBytes(secret), role });
    }
  }
  if (faults.length === 0 && !keys.some((k) => k.role.kind === 'node'))
    faults.push('a key with the role node is missing: the parts of the site need one');
  return faults.length > 0 ? err(faults) : ok(keys);
}

export const newSecret = (): string => randomBytes(32).toString('hex');
