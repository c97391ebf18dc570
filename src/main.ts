#!/usr/bin/env node
import { randomInt } from 'node:crypto';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { systemClock } from './transport/clock.js';
import { createHttpClient } from './transport/http-client.js';
import { serveHttp } from './transport/http-server.js';
import { stderrLog } from './transport/log.js';
import { Metrics } from './transport/metrics.js';
import { createTcpMesh } from './transport/mesh.js';
import { seededRandom } from './transport/random.js';
import { encodeError } from './protocol/jobs.js';
import { CONTENT_TYPE } from './protocol/wire.js';
import { Controller } from './coordination/controller.js';
import { EXIT_CODE, exitWithError, loadConfiguration } from './configuration-files.js';
import { messageOf } from './transport/error-message.js';

async function serve(config: string, operatorPath: string | undefined): Promise<void> {
  const { settings, operator } = await loadConfiguration(config, operatorPath);
  const metrics = new Metrics();
  const log = metrics.countingLog(stderrLog(process.env['LOG_LEVEL'], settings.member));
  // An uncaught exception is logged before the process exits; the platform restarts it.
  process.on('uncaughtException', (e) => {
    log.error('exception-uncaught', { why: e.stack ?? e.message });
    process.exit(EXIT_CODE.serving);
  });
  const eventLoopDelay = monitorEventLoopDelay({ resolution: 100 });
  eventLoopDelay.enable();
  const toMs = (ns: number): number => Math.round(ns / 1e5) / 10;
  metrics.registerGauge('eventLoopDelayMs', () => ({
    p50: toMs(eventLoopDelay.percentile(50)),
    p99: toMs(eventLoopDelay.percentile(99)),
    max: toMs(eventLoopDelay.max),
  }));
  metrics.registerGauge('memoryMb', () => {
    const { rss, heapTotal, heapUsed, external } = process.memoryUsage();
    return Object.fromEntries(
      Object.entries({ rss, heapTotal, heapUsed, external }).map(([k, v]) => [k, Math.round(v / 1e5) / 10]),
    );
  });
  metrics.registerGauge('processorS', () => {
    const { user, system } = process.cpuUsage();
    return Math.round((user + system) / 1e4) / 100;
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
    http: createHttpClient(32, CONTENT_TYPE),
    pipelines:
      operator.pipelines > 0
        ? (await import('./coordination/pipelines/pipeline-manager.js')).createPipelineManager
        : undefined,
    createElasticJobManager:
      operator.elastic > 0
        ? (await import('./coordination/elastic/elastic-job-manager.js')).createElasticJobManager
        : undefined,
    mesh: createTcpMesh(settings.meshListen, peers, systemClock),
    incarnation,
  });
  controller.start();
  const reservedConnections = Math.max(16, Math.floor(settings.maxConnections * 0.1));
  try {
    await serveHttp(settings.listen, controller.routes, {
      maxBody: 64 * 1024,
      contentType: CONTENT_TYPE,
      errorBody: encodeError,
      maxConnections: Math.max(16, settings.maxConnections - reservedConnections),
    });
  } catch (e) {
    exitWithError(EXIT_CODE.serving, [`can't listen on ${settings.listen}: ${messageOf(e)}`]);
  }
  log.info('serving', { address: settings.listen });
}

// Only the platform's own invocation, `--config FILE`, bypasses the argument parser: each module that isn't loaded lets a
// restarted controller, which has a fraction of a core, serve sooner.
const [flag, config, ...extra] = process.argv.slice(2);
if (flag === '--config' && config !== undefined && !config.startsWith('-') && extra.length === 0) {
  void serve(config, undefined);
} else {
  void import('./commands.js').then(({ run }) => run(serve));
}
