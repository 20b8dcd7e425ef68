/** What control costs an idle instance, at several sizes of the cluster. */
import {loadavg} from 'node:os';
import {Lifecycle, sleep} from '@goldcrestpier/runtime';
import {launchFleet, readFigures} from '../cluster/index.js';
import {subtractFigures, sumOf} from '../metrics/index.js';
import type {MeasureOptions} from './options.js';

const SETTLE_MS = 4_000;
const KIBIBYTE = 1_024;

/** Measures every number of instances with every number of runners. */
export async function measureIdle(
  options: MeasureOptions,
  lifecycle: Lifecycle,
): Promise<object> {
  const results = [];
  for (const entries of options.entries) {
    for (const runners of options.runners) {
      const size = {entries, runners, isRelayed: false, betweenZonesMs: 0};
      const owner = lifecycle.createChild(`${entries} and ${runners}`);
      const fleet = await launchFleet(size, owner);
      await sleep(SETTLE_MS);
      const before = await readFigures(fleet.cluster.entries);
      await sleep(options.seconds * 1_000);
      const after = await readFigures(fleet.cluster.entries);
      const changes = after.map((each, place) =>
        subtractFigures(each, before[place] ?? new Map<string, number>()),
      );
      const mean = (values: readonly number[]) =>
        values.reduce((sum, each) => sum + each, 0) / values.length;
      const rate = (name: string) =>
        mean(changes.map(each => sumOf(each, name))) / options.seconds;
      const memory = after.map(each =>
        sumOf(each, 'process_resident_memory_bytes'),
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
