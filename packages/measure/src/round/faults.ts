/** The faults of a round: slow and failing servers, a kill, a cut zone. */
import {PartitionKind} from '@goldcrestpier/standins';
import {sleep} from '@goldcrestpier/runtime';
import type {Fleet} from '../cluster/index.js';

const SLOW_FACTOR = 5;
const SERVERS_PER_SLOW_ONE = 10;
const CUT_MS = 10_000;

/** Brings the faults in and takes them away again. */
export async function runFaults(fleet: Fleet, forMs: number): Promise<void> {
  const {cluster} = fleet;
  const {runners, network, zones, entries} = cluster;
  const slow = runners.filter((_, place) => place % SERVERS_PER_SLOW_ONE === 3);
  const failing = runners.at(-1);
  await sleep(forMs / 5);
  for (const {admin} of slow) await admin.setFaults({slowFactor: SLOW_FACTOR});
  await failing?.admin.setFaults({failAll: true});
  const killed = entries.at(-1);
  await killed?.kill();
  const [cutZone = '', ...others] = zones;
  for (const zone of others)
    network.partition(cutZone, zone, PartitionKind.Silent);
  await sleep(Math.min(CUT_MS, forMs / 2));
  for (const zone of others) network.heal(cutZone, zone);
  await sleep(forMs / 5);
  for (const {admin} of slow) await admin.setFaults({});
  await failing?.admin.setFaults({});
  await killed?.start();
}
