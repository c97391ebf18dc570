import { build, type Histogram } from 'hdr-histogram-js';
import type { Log } from './log.js';

/** Counters and latency histograms for operators. */
export class Metrics {
  private readonly counters = new Map<string, number>();
  private readonly gauges = new Map<string, () => unknown>();
  private readonly histograms = new Map<string, Histogram>();

  /** `read` is called only when a snapshot is taken, so a gauge costs nothing otherwise. */
  registerGauge(name: string, read: () => unknown): void {
    this.gauges.set(name, read);
  }

  increment(name: string, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by);
  }

  recordDurationMs(name: string, ms: number): void {
    let histogram = this.histograms.get(name);
    if (!histogram) {
      // Two significant digits and a range of half an hour are enough, and keep a histogram at a few kilobytes.
      histogram = build({
        bitBucketSize: 32,
        numberOfSignificantValueDigits: 2,
        highestTrackableValue: 1_800_000,
      });
      this.histograms.set(name, histogram);
    }
    histogram.recordValue(Math.max(1, Math.min(1_800_000, Math.round(ms))));
  }

  snapshot(): Record<string, unknown> {
    const latencies: Record<string, unknown> = {};
    for (const [name, histogram] of this.histograms) {
      latencies[name] = {
        count: histogram.totalCount,
        p50: histogram.getValueAtPercentile(50),
        p95: histogram.getValueAtPercentile(95),
        p99: histogram.getValueAtPercentile(99),
        max: histogram.maxValue,
      };
    }
    const process = Object.fromEntries([...this.gauges].map(([name, read]) => [name, read()]));
    return { counters: Object.fromEntries([...this.counters].sort()), latenciesMs: latencies, process };
  }

  /** Wraps a log and counts its lines. Every decision is a log line, so this counts decisions, at any log level. */
  countingLog(log: Log): Log {
    return {
      error: (event, fields) => {
        this.increment(event);
        log.error(event, fields);
      },
      info: (event, fields) => {
        this.increment(event);
        log.info(event, fields);
      },
      debug: (event, fields) => log.debug(event, fields),
    };
  }
}
