import { writeFileSync } from 'node:fs';

/** Loaded before the program under the profiler: ends it in a way that lets the profile be written. */
const out = process.env['PROFILE_USE'];
process.on('SIGTERM', () => {
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed } = process.memoryUsage();
  const peakMb = process.resourceUsage().maxRSS / 1024;
  if (out !== undefined) {
    writeFileSync(out, JSON.stringify({ userS: user / 1e6, systemS: system / 1e6, rss, heapUsed, peakMb }));
  }
  process.exit(0);
});
