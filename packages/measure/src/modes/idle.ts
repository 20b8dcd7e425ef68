/** Resource usage of an idle instance in clusters of several sizes. */
import {loadavg} from 'node:os';
import {Lifecycle, sleep} from '@goldcrestpier/runtime';
import {launchMeasuredCluster, readMetrics} from '../cluster/index.js';
import {subtractMetrics, sumByName} from '../metrics/index.js';
import type {MeasureOptions} from './options.js';

const SETTLE_MS = 4_000;
const KIBIBYTE = 1_024;

/** Measures each combination of instance and runner counts. */
export async function measureIdle(
  options: MeasureOptions,
  lifecycle: Lifecycle,
): Promise<object> {
  const results = [];
  for (const entries of options.entries) {
    for (const runners of options.runners) {
      const size = {entries, runners, isRelayed: false, betweenZonesMs: 0};
      const owner = lifecycle.createChild(`${entries} and ${runners}`);
      const measuredCluster = await launchMeasuredCluster(size, owner);
      await sleep(SETTLE_MS);
      const before = await readMetrics(measuredCluster.cluster.entries);
      await sleep(options.seconds * 1_000);
      const after = await readMetrics(measuredCluster.cluster.entries);
      const changes = after.map((each, index) =>
        subtractMetrics(each, before[index] ?? new Map<string, number>()),
      );
      const mean = (values: readonly number[]) =>
        values.reduce((sum, each) => sum + each, 0) / values.length;
      const rate = (name: string) =>
        mean(changes.map(each => sumByName(each, name))) / options.seconds;
      const memory = after.map(each =>
        sumByName(each, 'process_resident_memory_bytes'),
      );
      const result = {
        entries,
        runners,
        processorShare: rate('process_cpu_seconds_total'),
        residentMb: mean(memory) / KIBIBYTE ** 2,
        peerKbPerSecond: rate('goldcrestpier_peer_bytes_total') / KIBIBYTE,
        peerMessagesPerSecond: rate('goldcrestpier_peer_messages_total'),
        platformCallsPerSecond:
          rate('goldcrestpier_platform_calls_total') * entries,
        machineLoad: loadavg()[0],
      };
      console.log(JSON.stringify(result));
      results.push(result);
      await owner.close();
    }
  }
  return {results};
}
