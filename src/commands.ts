import { Command, CommanderError } from 'commander';
import { setDefaultClientOptions } from './transport/http-client.js';
import type { Result } from './transport/result.js';
import { cancelJob, explainRemote, showJob, submitJob } from './coordination/users/job-client.js';
import { OPERATOR_PATHS } from './coordination/operator-api.js';
import { EXIT_CODE, exitWithError, loadConfiguration, readFileOrExit } from './configuration-files.js';

const VERSION = '0.1.0';

function printResultAndExit(result: Result<string, string>): void {
  if (!result.ok) exitWithError(EXIT_CODE.remote, [result.error]);
  process.stdout.write(`${result.value}\n`);
  process.exit(0);
}

/** `GORSEYOKE_KEY=name:secret` signs requests to a site with keys; `GORSEYOKE_CA=file` trusts its certificate. */
async function configureUserCredentials(): Promise<void> {
  const { GORSEYOKE_KEY: keyPair, GORSEYOKE_CA: ca } = process.env;
  if (keyPair === undefined && ca === undefined) return;
  const [name, secret, ...extra] = (keyPair ?? '').split(':');
  if (keyPair !== undefined && (!name || !/^([0-9a-f]{2}){32,}$/.test(secret ?? '') || extra.length > 0))
    exitWithError(EXIT_CODE.usage, ['GORSEYOKE_KEY must be name:secret, as in the file of keys']);
  const { signer } = await import('./keys/index.js');
  const { Agent } = await import('node:https');
  const { systemClock } = await import('./transport/clock.js');
  setDefaultClientOptions({
    ...(name && secret
      ? { sign: signer({ name, secret: Buffer.from(secret, 'hex'), role: { kind: 'reader' } }, systemClock) }
      : {}),
    ...(ca === undefined ? {} : { agentOf: (options) => new Agent({ ...options, ca: readFileOrExit(ca) }) }),
  });
}

type Serve = (config: string, operator: string | undefined) => Promise<void>;

export async function run(serve: Serve): Promise<void> {
  await configureUserCredentials();
  const program = new Command('gorseyoke')
    .description('cluster scheduler')
    .version(VERSION)
    .option('--config <file>', 'serve with these settings (TOML)')
    .option('--operator <file>', "operators' own settings (S-expressions)")
    .exitOverride()
    .action(async (options: { config?: string; operator?: string }) => {
      if (options.config === undefined)
        exitWithError(EXIT_CODE.usage, ['--config FILE is needed; see --help']);
      await serve(options.config, options.operator);
    });

  program
    .command('check <settings> [operator]')
    .description('check settings files and print every fault')
    .action(async (settings: string, operator: string | undefined) => {
      await loadConfiguration(settings, operator);
      process.stdout.write('settings are good\n');
    });

  const job = program.command('job').description('deal with jobs as a user, against a running controller');
  const addressOption = ['--at <address>', 'a controller, host:port', '127.0.0.1:8080'] as const;

  job
    .command('submit <file>')
    .description("submit a job written as JSON in the protocol's fields")
    .option(...addressOption)
    .action((file: string, options: { at: string }) =>
      submitJob(options.at, file, readFileOrExit(file)).then(printResultAndExit),
    );
  job
    .command('show <id>')
    .description('print the state of a job')
    .option(...addressOption)
    .action((id: string, options: { at: string }) => showJob(options.at, id).then(printResultAndExit));
  job
    .command('cancel <id>')
    .description('cancel a job')
    .option(...addressOption)
    .action((id: string, options: { at: string }) => cancelJob(options.at, id).then(printResultAndExit));
  job
    .command('explain <id>')
    .description('say in plain words why a job waits')
    .option(...addressOption)
    .action((id: string, options: { at: string }) => explainRemote(options.at, id).then(printResultAndExit));

  // A subsystem is loaded only if its command or the help is requested.
  const isRequested = (...names: string[]): boolean =>
    [...names, 'help', '--help', '-h'].includes(process.argv[2] ?? '');
  if (isRequested('pipeline', 'prompt')) {
    const { pipelineCommands } = await import('./pipelines/index.js');
    pipelineCommands(program, {
      read: readFileOrExit,
      fail: exitWithError,
      exit: EXIT_CODE,
      explain: explainRemote,
      namesPath: OPERATOR_PATHS.names,
    });
  }

  if (isRequested('state')) {
    const { stateCommands } = await import('./state/index.js');
    stateCommands(program, (result) => printResultAndExit(result));
  }

  if (isRequested('appliance')) {
    const { applianceCommands } = await import('./appliance/index.js');
    applianceCommands(program, { read: readFileOrExit, fail: exitWithError, exit: EXIT_CODE });
  }

  if (isRequested('console')) {
    const { consoleCommand } = await import('./console/index.js');
    consoleCommand(program, {
      submit: submitJob,
      cancel: cancelJob,
      explain: explainRemote,
      overviewPath: OPERATOR_PATHS.overview,
    });
  }

  try {
    await program.parseAsync();
  } catch (e) {
    if (e instanceof CommanderError) process.exit(e.exitCode === 0 ? 0 : EXIT_CODE.usage);
    throw e;
  }
}
