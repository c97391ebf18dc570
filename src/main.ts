#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import { randomInt } from 'node:crypto';
import { Command, CommanderError } from 'commander';
import { systemClock } from './transport/clock.js';
import { netHttpClient } from './transport/http-client.js';
import { serveHttp } from './transport/http-server.js';
import { stderrLog } from './transport/log.js';
import { Metrics } from './transport/metrics.js';
import { netMesh } from './transport/mesh.js';
import { seededRandom } from './transport/random.js';
import type { Result } from './transport/result.js';
import { encodeError } from './protocol/jobs.js';
import { defaultOperator, parseOperator, type Operator } from './protocol/operator.js';
import { parseSettings, type Settings } from './protocol/settings.js';
import { CONTENT_TYPE } from './protocol/wire.js';
import { cancelJob, explainRemote, showJob, submitJob } from './coordination/client.js';
import { Controller } from './coordination/controller.js';

const VERSION = '0.1.0';
const EXIT = { usage: 2, missing: 3, settings: 4, serving: 5, remote: 6 } as const;

function fail(code: number, lines: readonly string[]): never {
  for (const line of lines) process.stderr.write(`gorseyoke: ${line}\n`);
  process.exit(code);
}

function read(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (e) {
    return fail(EXIT.missing, [
      `${path}: ${(e as NodeJS.ErrnoException).code === 'ENOENT' ? 'no such file' : (e as Error).message}`,
    ]);
  }
}

function orFail<T>(path: string, result: Result<T, readonly string[]>): T {
  return result.ok
    ? result.value
    : fail(
        EXIT.settings,
        result.error.map((f) => `${path}: ${f}`),
      );
}

function loadAll(
  config: string,
  operatorPath: string | undefined,
): { settings: Settings; operator: Operator } {
  const settings = orFail(config, parseSettings(read(config)));
  const operator =
    operatorPath === undefined ? defaultOperator() : orFail(operatorPath, parseOperator(read(operatorPath)));
  return { settings, operator };
}

async function serve(config: string, operatorPath: string | undefined): Promise<void> {
  const { settings, operator } = loadAll(config, operatorPath);
  const metrics = new Metrics();
  const log = metrics.counting(stderrLog(process.env['LOG_LEVEL'], settings.member));
  // One life's fault must be read in the log; the platform starts the next.
  process.on('uncaughtException', (e) => {
    log.error('uncaught', { why: e.stack ?? e.message });
    process.exit(EXIT.serving);
  });
  const incarnation = randomInt(1, 2 ** 47);
  const peers = new Map(settings.peers.map((p) => [p.member as string, p.address as string]));
  const controller = new Controller({
    settings,
    operator,
    clock: systemClock,
    random: seededRandom(incarnation),
    log,
    metrics,
    http: netHttpClient(32, CONTENT_TYPE),
    mesh: netMesh(settings.meshListen, peers, systemClock),
    incarnation,
  });
  controller.start();
  const spare = Math.max(16, Math.floor(settings.maxConnections * 0.1));
  try {
    await serveHttp(settings.listen, controller.routes, {
      maxBody: 64 * 1024,
      contentType: CONTENT_TYPE,
      errorBody: encodeError,
      maxConnections: Math.max(16, settings.maxConnections - spare),
    });
  } catch (e) {
    fail(EXIT.serving, [`can't listen on ${settings.listen}: ${(e as Error).message}`]);
  }
  log.info('serving', { address: settings.listen });
}

const program = new Command('gorseyoke')
  .description('cluster scheduler')
  .version(VERSION)
  .option('--config <file>', 'serve with these settings (TOML)')
  .option('--operator <file>', "operators' own settings (S-expressions)")
  .exitOverride()
  .action(async (options: { config?: string; operator?: string }) => {
    if (options.config === undefined) fail(EXIT.usage, ['--config FILE is needed; see --help']);
    await serve(options.config, options.operator);
  });

program
  .command('check <settings> [operator]')
  .description('check settings files and print every fault')
  .action((settings: string, operator: string | undefined) => {
    loadAll(settings, operator);
    process.stdout.write('settings are good\n');
  });

const job = program.command('job').description('deal with jobs as a user, against a running controller');
const at = ['--at <address>', 'a controller, host:port', '127.0.0.1:8080'] as const;

job
  .command('submit <file>')
  .description("submit a job written as JSON in the protocol's fields")
  .option(...at)
  .action((file: string, o: { at: string }) => submitJob(o.at, file, read(file)).then(report));
job
  .command('show <id>')
  .description('print the state of a job')
  .option(...at)
  .action((id: string, o: { at: string }) => showJob(o.at, id).then(report));
job
  .command('cancel <id>')
  .description('cancel a job')
  .option(...at)
  .action((id: string, o: { at: string }) => cancelJob(o.at, id).then(report));
job
  .command('explain <id>')
  .description('say in plain words why a job waits')
  .option(...at)
  .action((id: string, o: { at: string }) => explainRemote(o.at, id).then(report));

function report(result: Result<string, string>): void {
  if (!result.ok) fail(EXIT.remote, [result.error]);
  process.stdout.write(`${result.value}\n`);
  process.exit(0);
}

try {
  await program.parseAsync();
} catch (e) {
  if (e instanceof CommanderError) process.exit(e.exitCode === 0 ? 0 : EXIT.usage);
  throw e;
}
