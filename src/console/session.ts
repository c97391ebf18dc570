import type { Clock } from '../transport/clock.js';
import type { HttpClient } from '../transport/http.js';
import type { Result } from '../transport/result.js';
import { decode, encode } from '../protocol/codec.js';
import { fetchOverview, type Overview } from './overview.js';
import {
  completionLines,
  jobLines,
  machineLines,
  formatDuration,
  summaryLines,
  taskLines,
} from './overview-text.js';
import { messageOf } from '../transport/error-message.js';

export interface ConsoleActions {
  readonly submit: (address: string, file: string, text: string) => Promise<Result<string, string>>;
  readonly cancel: (address: string, id: string) => Promise<Result<string, string>>;
  readonly explain: (address: string, id: string) => Promise<Result<string, string>>;
  /** Path of the controllers' overview. */
  readonly overviewPath: string;
}

export interface SessionDependencies {
  readonly clock: Clock;
  readonly http: HttpClient;
  readonly controllerAddress: string;
  /** Address of an appliance's provider, which manages the owner's machines. */
  readonly providerAddress: string;
  readonly actions: ConsoleActions;
  readonly readFile: (path: string) => string;
}

const HELP = [
  's summary   j jobs   m machines   t what runs where   e recent ends   w JOB why it waits',
  'start FILE   cancel JOB   drain NAME [seconds]   undrain NAME   own   q quit',
];

const toId = (text: string): string => (/^[0-9]{1,18}$/.test(text) ? `req-${text.padStart(6, '0')}` : text);

/**
 * Answers each command line with a few lines of text. Where no current overview is available, it shows the last one that it
 * received, with its age.
 */
export class Session {
  private lastReceived: { readonly overview: Overview; readonly receivedAtMs: number } | undefined;

  constructor(private readonly dependencies: SessionDependencies) {}

  async answer(line: string): Promise<string[]> {
    const [verb = '', ...rest] = line.trim().split(/\s+/);
    const argument = rest[0];
    const withArg = (what: string, run: (arg: string) => Promise<string[]>): Promise<string[]> | string[] =>
      argument === undefined ? [`${verb} needs ${what}`] : run(argument);
    switch (verb) {
      case '':
      case 's':
        return this.renderView(summaryLines);
      case 'j':
        return this.renderView(jobLines);
      case 'm':
        return this.renderView(machineLines);
      case 't':
        return this.renderView(taskLines);
      case 'e':
        return this.renderView(completionLines);
      case 'w':
        return withArg('a job', (id) =>
          this.resultLines(this.dependencies.actions.explain(this.dependencies.controllerAddress, toId(id))),
        );
      case 'cancel':
        return withArg('a job', (id) =>
          this.resultLines(this.dependencies.actions.cancel(this.dependencies.controllerAddress, toId(id))),
        );
      case 'start':
        return withArg('a file', (file) => this.start(file));
      case 'own':
        return this.ownMachines();
      case 'drain':
        return withArg('a machine', (name) => this.drain(name, rest[1]));
      case 'undrain':
        return withArg('a machine', (name) => this.sendMachineRequest(name, 'undrain'));
      case 'h':
      case 'help':
      case '?':
        return HELP;
      default:
        return [`'${verb}' is no command; h says which there are`];
    }
  }

  /** Returns the whole screen for the mode that redraws itself. */
  async screen(): Promise<string[]> {
    const current = await this.refresh();
    if (!current) return this.unavailableLines;
    return [
      ...this.stalenessLines(current),
      ...summaryLines(current.overview),
      '',
      ...jobLines(current.overview),
      '',
      ...machineLines(current.overview),
    ];
  }

  private unavailableLines: string[] = [];

  private async refresh(): Promise<
    { readonly overview: Overview; readonly receivedAtMs: number; readonly why?: string } | undefined
  > {
    const fetched = await fetchOverview(
      this.dependencies.http,
      this.dependencies.controllerAddress,
      this.dependencies.actions.overviewPath,
    );
    if (fetched.ok)
      return (this.lastReceived = { overview: fetched.value, receivedAtMs: this.dependencies.clock.now() });
    this.unavailableLines = [`! ${fetched.error}; nothing is known`];
    return this.lastReceived && { ...this.lastReceived, why: fetched.error };
  }

  private stalenessLines(current: { readonly receivedAtMs: number; readonly why?: string }): string[] {
    if (current.why === undefined) return [];
    return [
      `! ${current.why}. What follows is ${formatDuration(Math.round((this.dependencies.clock.now() - current.receivedAtMs) / 1000))} old; none of it is confirmed.`,
    ];
  }

  private async renderView(view: (overview: Overview) => string[]): Promise<string[]> {
    const current = await this.refresh();
    return current ? [...this.stalenessLines(current), ...view(current.overview)] : this.unavailableLines;
  }

  private async resultLines(result: Promise<Result<string, string>>): Promise<string[]> {
    const outcome = await result;
    return outcome.ok ? outcome.value.split('\n') : [`! ${outcome.error}`];
  }

  private async start(file: string): Promise<string[]> {
    let text: string;
    try {
      text = this.dependencies.readFile(file);
    } catch (e) {
      return [`! ${file}: ${messageOf(e)}`];
    }
    return this.resultLines(
      this.dependencies.actions.submit(this.dependencies.controllerAddress, file, text),
    );
  }

  private async drain(name: string, seconds: string | undefined): Promise<string[]> {
    if (seconds !== undefined && !/^[0-9]{1,5}$/.test(seconds))
      return [`'${seconds}' is no number of seconds`];
    return this.sendMachineRequest(name, 'drain', encode({ within_s: Number(seconds ?? 120) }));
  }

  private async sendMachineRequest(name: string, action: string, body?: Uint8Array): Promise<string[]> {
    const path = `/own/${encodeURIComponent(name)}/${action}`;
    const response = await this.dependencies.http.call(
      this.dependencies.providerAddress,
      'POST',
      path,
      body,
      8000,
    );
    if (!response.ok)
      return [`! ${this.dependencies.providerAddress} does not answer: whether it was told is not known`];
    if (response.value.status === 200) return [`${action}: ${name}`];
    const data = response.value.body ? decode(response.value.body) : undefined;
    const error = data?.ok ? (data.value as Record<string, unknown> | null)?.['error'] : undefined;
    return [`! refused with ${response.value.status}${typeof error === 'string' ? `: ${error}` : ''}`];
  }

  private async ownMachines(): Promise<string[]> {
    const response = await this.dependencies.http.call(
      this.dependencies.providerAddress,
      'GET',
      '/own',
      undefined,
      3000,
    );
    const data =
      response.ok && response.value.status === 200 && response.value.body
        ? decode(response.value.body)
        : undefined;
    if (!data?.ok) return [`! ${this.dependencies.providerAddress} does not answer`];
    const { machines } = data.value as {
      machines: { name: string; machine: string | null; drained: boolean }[];
    };
    return machines.map(
      (machine) =>
        `${machine.name}: ${machine.drained ? 'drained' : 'in use'}${machine.machine === null ? ', free' : ` as ${machine.machine}`}`,
    );
  }
}
