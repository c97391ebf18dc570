import { spawn } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { availableParallelism, totalmem } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import type { Command } from 'commander';
import * as z from 'zod';
import { identityOf } from '../agent/index.js';
import { readDurableFile, writeFileDurably } from '../transport/durable-file.js';
import { verifyFolder } from '../state/index.js';
import { createHttpClient } from '../transport/http-client.js';
import { CONTENT_TYPE, Paths } from '../protocol/wire.js';
import { newSecret, parseKeys, type Key } from '../keys/index.js';
import { fileLog } from './log.js';
import { parseSite, template, type Site, type SiteNode } from './settings.js';
import { sitePaths, startSite } from './site.js';
import { messageOf } from '../transport/error-message.js';

/** Functions and exit codes of the command-line program. */
export interface ApplianceHost {
  readonly read: (path: string) => string;
  readonly fail: (code: number, lines: readonly string[]) => never;
  readonly exit: { readonly settings: number; readonly serving: number; readonly remote: number };
}

const DEFAULT_SITE_FILE = 'gorseyoke-site/site.sexp';
/** Content of `life.json`: the process that runs the site. */
const processRecordSchema = z.object({ pid: z.number(), identity: z.string(), address: z.string() });
type ProcessRecord = z.infer<typeof processRecordSchema>;
const READY_TIMEOUT_MS = 30_000;
const printLine = (line: string): void => void process.stdout.write(`${line}\n`);
const delay = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));

/** Compares the identity as well, since another process may have received the same process id. */
const isRunning = (record: ProcessRecord): boolean => identityOf(record.pid) === record.identity;

/** Registers the `gorseyoke appliance` commands, which run a whole site on this machine. */
export function applianceCommands(program: Command, host: ApplianceHost): void {
  const http = createHttpClient(2, CONTENT_TYPE);
  const appliance = program.command('appliance').description('a whole site on this machine');
  const siteOption = ['--site <file>', 'its settings', DEFAULT_SITE_FILE] as const;

  const loadSite = async (file: string, node?: string): Promise<Site> => {
    const site = await parseSite(host.read(file));
    if (!site.ok)
      return host.fail(
        host.exit.settings,
        site.error.map((f) => `${file}: ${f}`),
      );
    const relativeToSettings = (path: string): string => resolve(dirname(file), path);
    const { data, keys, tls } = site.value;
    return {
      ...site.value,
      data:
        site.value.nodes.length > 1
          ? join(relativeToSettings(data), selectNode(site.value, node).name)
          : relativeToSettings(data),
      keys: keys === undefined ? undefined : relativeToSettings(keys),
      tls: tls && { cert: relativeToSettings(tls.cert), key: relativeToSettings(tls.key) },
    };
  };
  const selectNode = (site: Site, name: string | undefined): SiteNode => {
    const node = name === undefined ? site.nodes[0] : site.nodes.find((n) => n.name === name);
    if (name === undefined && site.nodes.length > 1)
      return host.fail(host.exit.settings, [`--node is needed: ${site.nodes.map((n) => n.name).join(', ')}`]);
    return node ?? host.fail(host.exit.settings, [`no node is called '${name ?? ''}'`]);
  };
  const loadKeys = async (site: Site): Promise<readonly Key[]> => {
    const { keys: file } = site;
    if (file === undefined) return [];
    const keys = await parseKeys(host.read(file));
    if (keys.ok) return keys.value;
    return host.fail(
      host.exit.settings,
      keys.error.map((f) => `${file}: ${f}`),
    );
  };
  const findRunningProcess = (site: Site): ProcessRecord | undefined => {
    const record = readDurableFile(sitePaths(site.data).processRecord, processRecordSchema);
    return record.ok && record.value && isRunning(record.value) ? record.value : undefined;
  };
  const isReady = async (address: string): Promise<boolean> => {
    const response = await http.call(address, 'GET', Paths.health, undefined, 1000);
    return response.ok && response.value.status === 200;
  };

  appliance
    .command('init')
    .description('write a settings file, with a remark on every setting')
    .option(...siteOption)
    .option('--node <name>', 'which of its machines this is, where it has several')
    .action((options: { site: string; node?: string }) => {
      if (existsSync(options.site)) host.fail(host.exit.settings, [`${options.site} is there already`]);
      mkdirSync(dirname(options.site), { recursive: true });
      const memoryGb = Math.max(0.5, Math.floor((totalmem() / 2 ** 30) * 0.8 * 10) / 10);
      writeFileSync(options.site, template('data', Math.max(1, availableParallelism()), memoryGb));
      printLine(`written: ${options.site}; then: gorseyoke appliance up`);
      process.exit(0);
    });

  appliance
    .command('up')
    .description('start the site; it goes on in the background')
    .option(...siteOption)
    .option('--node <name>', 'which of its machines this is, where it has several')
    .option('--foreground', 'stay here, for whoever watches over processes')
    .action(async (options: { site: string; node?: string; foreground?: boolean }) => {
      if (!existsSync(options.site))
        host.fail(host.exit.settings, [`${options.site}: no such file; gorseyoke appliance init writes one`]);
      const site = await loadSite(options.site, options.node);
      const current = findRunningProcess(site);
      if (current) host.fail(host.exit.serving, [`it is up already, as process ${current.pid}`]);
      if (options.foreground !== true) {
        const child = spawn(
          process.execPath,
          [
            process.argv[1]!,
            'appliance',
            'up',
            '--foreground',
            '--site',
            options.site,
            ...(options.node === undefined ? [] : ['--node', options.node]),
          ],
          {
            detached: true,
            stdio: ['ignore', 'ignore', 'pipe'],
          },
        );
        let childStderr = '';
        child.stderr.on('data', (d: Buffer) => (childStderr += d.toString()));
        const startedAtMs = Date.now();
        const { host: nodeHost, port } = selectNode(site, options.node);
        while (Date.now() - startedAtMs < READY_TIMEOUT_MS && child.exitCode === null) {
          if (await isReady(`${nodeHost}:${port}`)) {
            printLine(
              `up: ${nodeHost}:${port}, process ${child.pid ?? 'unknown'}; logs in ${sitePaths(site.data).logs}`,
            );
            process.exit(0);
          }
          await delay(100);
        }
        host.fail(host.exit.serving, [childStderr.trim() || 'it did not come up; its log says why']);
      }
      const log = fileLog(sitePaths(site.data).logs, selectNode(site, options.node).name);
      process.on('uncaughtException', (e) => {
        log.error('exception-uncaught', { why: e.stack ?? e.message });
        setTimeout(() => process.exit(host.exit.serving), 100);
      });
      try {
        const runningSite = await startSite(site, selectNode(site, options.node), log, await loadKeys(site));
        writeFileDurably(
          sitePaths(site.data).processRecord,
          JSON.stringify({
            pid: process.pid,
            identity: identityOf(process.pid) ?? '',
            address: runningSite.address,
          } satisfies ProcessRecord),
        );
        let stopping = false;
        const shutDown = (): void => {
          if (stopping) return;
          stopping = true;
          void runningSite.stop().then(() => setTimeout(() => process.exit(0), 50));
        };
        process.on('SIGTERM', shutDown);
        process.on('SIGINT', shutDown);
      } catch (e) {
        log.error('not-started', { why: messageOf(e) });
        host.fail(host.exit.serving, [messageOf(e)]);
      }
    });

  appliance
    .command('keys <file>')
    .description('write a file of keys: one for the parts of the site, one for its operator')
    .action((file: string) => {
      if (existsSync(file)) host.fail(host.exit.settings, [`${file} is there already`]);
      writeFileSync(
        file,
        `; name, secret, role: reader, submitter (with its teams), operator, node\n` +
          `(key parts ${newSecret()} node)\n(key operator ${newSecret()} operator)\n`,
        { mode: 0o600 },
      );
      printLine(`written: ${file}, to be read by its owner only`);
      process.exit(0);
    });

  appliance
    .command('down')
    .description('end the site: tasks first, the state last')
    .option(...siteOption)
    .option('--node <name>', 'which of its machines this is, where it has several')
    .action(async (options: { site: string; node?: string }) => {
      const site = await loadSite(options.site, options.node);
      const current = findRunningProcess(site);
      if (!current) {
        printLine('it is down');
        process.exit(0);
      }
      process.kill(current.pid, 'SIGTERM');
      for (let i = 0; isRunning(current); i++) {
        if (i > 600) host.fail(host.exit.serving, [`process ${current.pid} is still there after a minute`]);
        await delay(100);
      }
      printLine('it is down');
      process.exit(0);
    });

  appliance
    .command('status')
    .description('say whether the site is up, or what its state is like when it is down')
    .option(...siteOption)
    .option('--node <name>', 'which of its machines this is, where it has several')
    .action(async (options: { site: string; node?: string }) => {
      const site = await loadSite(options.site, options.node);
      const current = findRunningProcess(site);
      if (current) {
        const ready = await isReady(current.address);
        printLine(
          `process ${current.pid} is ${ready ? `up, at ${current.address}` : 'there, but does not serve yet'}`,
        );
        process.exit(ready ? 0 : host.exit.remote);
      }
      const stateFolder = sitePaths(site.data).state;
      if (!existsSync(stateFolder)) printLine('it is down, and was never up');
      else {
        const verified = await verifyFolder(stateFolder);
        if (!verified.ok)
          host.fail(host.exit.serving, [`it is down, and its state is harmed: ${verified.error}`]);
        printLine(
          `it is down; its state is good: ${verified.value.keys} keys, revision ${verified.value.revision}`,
        );
      }
      process.exit(0);
    });

  appliance
    .command('log <task>')
    .description('print what the latest attempt of a task said: req-000001/0')
    .option(...siteOption)
    .option('--node <name>', 'which of its machines this is, where it has several')
    .action(async (task: string, options: { site: string; node?: string }) => {
      const site = await loadSite(options.site, options.node);
      const { latestOutput } = await import('./outputs.js');
      const outputFiles = latestOutput(sitePaths(site.data).outputs, task);
      if (!outputFiles.ok) host.fail(host.exit.remote, [outputFiles.error]);
      for (const file of outputFiles.value) process.stdout.write(readFileSync(file));
      process.exit(0);
    });
}
