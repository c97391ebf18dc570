import { readFileSync } from 'node:fs';
import { createInterface } from 'node:readline/promises';
import type { Command } from 'commander';
import { systemClock } from '../transport/clock.js';
import { createHttpClient } from '../transport/http-client.js';
import { CONTENT_TYPE } from '../protocol/wire.js';
import { Session, type ConsoleActions } from './session.js';

export { Session, type ConsoleActions, type SessionDependencies } from './session.js';
export { completionLines, jobLines, machineLines, summaryLines, taskLines } from './overview-text.js';
export { fetchOverview, type Overview } from './overview.js';

/** By default, the provider listens three ports above the users' port. */
const defaultProviderAddress = (controllerAddress: string): string => {
  const colon = controllerAddress.lastIndexOf(':');
  return `${controllerAddress.slice(0, colon)}:${Number(controllerAddress.slice(colon + 1)) + 3}`;
};

/** Registers `gorseyoke console`, an interactive console that also works over slow connections. */
export function consoleCommand(program: Command, actions: ConsoleActions): void {
  program
    .command('console')
    .description('look at a site and steer it, a line at a time')
    .option('--at <address>', 'a controller, host:port', '127.0.0.1:8080')
    .option('--own <address>', "the provider of the owner's machines")
    .option('--full', 'draw the whole screen anew every few seconds')
    .action(async (options: { at: string; own?: string; full?: boolean }) => {
      const session = new Session({
        clock: systemClock,
        http: createHttpClient(2, CONTENT_TYPE),
        controllerAddress: options.at,
        providerAddress: options.own ?? defaultProviderAddress(options.at),
        actions,
        readFile: (path) => readFileSync(path, 'utf8'),
      });
      if (options.full === true && process.stdout.isTTY) return drawContinuously(session);
      const readline = createInterface({
        input: process.stdin,
        output: process.stdout,
        terminal: process.stdin.isTTY,
      });
      readline.setPrompt('> ');
      readline.prompt();
      for await (const line of readline) {
        if (['q', 'quit', 'exit'].includes(line.trim())) break;
        process.stdout.write(`${(await session.answer(line)).join('\n')}\n`);
        readline.prompt();
      }
      process.exit(0);
    });
}

/** Redraws the whole screen periodically. `log-update` compares with the previous screen and writes only what changed. */
async function drawContinuously(session: Session): Promise<void> {
  const { createLogUpdate } = await import('log-update');
  const draw = createLogUpdate(process.stdout);
  process.once('SIGINT', () => {
    draw.done();
    process.exit(0);
  });
  for (;;) {
    draw((await session.screen()).join('\n'));
    await new Promise((resolve) => setTimeout(resolve, 2000));
  }
}
