import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { daysOf, judge, levelsFrom, parseLevels, readJournal } from './regress/levels.js';

const entry = (o: Record<string, unknown>): string =>
  JSON.stringify({ cmd: 'score', at: ['2026-12-01T10:00:00Z'], argv: [], site: 's', error: null, ...o });

function journalOf(...texts: string[]): string {
  const folder = mkdtempSync(join(tmpdir(), 'regress-'));
  texts.forEach((t, i) => writeFileSync(join(folder, `2026-${i}.json`), t));
  writeFileSync(join(folder, 'notes.json'), '{}');
  return folder;
}

test('levels are the newest full scores, not quick ones, and drawn days have none', () => {
  const full = entry({
    score: 0.7,
    days: [
      { name: 'calm', G: 0.8 },
      { name: 'fresh-2b3b', G: 0.1 },
    ],
  });
  const quick = entry({ score: 0.2, argv: ['--quick'], days: [{ name: 'calm', G: 0.2 }] });
  const folder = journalOf(full, quick);
  const levels = levelsFrom(readJournal(folder), undefined);
  rmSync(folder, { recursive: true });
  assert.deepEqual(levels.sites, { s: { score: 0.7, days: { calm: 0.8 } } });
  assert.deepEqual(parseLevels(JSON.stringify(levels)), levels);
});

test('a fall beyond noise is marked; a broken rule or a failed day counts whatever its figure', () => {
  const levels = { recorded: '', sites: { s: { score: 0.7, days: { calm: 0.8, loss: 0.6 } } } };
  const folder = journalOf(
    entry({
      days: [
        { name: 'calm', G: 0.76 },
        { name: 'loss', G: 0.58 },
        { name: 'zone', G: 0.9, rules: { ran_twice: 2, quota: 0 } },
        { name: 'apart', G: null, fault: 'too slow' },
      ],
    }),
  );
  const findings = judge(readJournal(folder).flatMap(daysOf), levels);
  rmSync(folder, { recursive: true });
  assert.deepEqual(
    findings.map((f) => [f.fell, f.broken]),
    [
      [true, false],
      [false, false],
      [false, true],
      [false, true],
    ],
  );
  assert.match(findings[2]!.line, /ran_twice 2/);
  assert.doesNotMatch(findings[2]!.line, /quota/);
});
