/**
 * Faults of a round: slow and failing servers, a killed instance, a partitioned
 * zone.
 */
import {PartitionKind} from '@goldcrestpier/standins';
import {sleep} from '@goldcrestpier/runtime';
import type {MeasuredCluster} from '../cluster/index.js';

const SLOW_FACTOR = 5;
const SERVERS_PER_SLOW_SERVER = 10;
const MAX_PARTITION_MS = 10_000;

/** Injects the faults after a fifth of the round and undoes them later. */
export async function injectFaults(
  measuredCluster: MeasuredCluster,
  roundMs: number,
): Promise<void> {
  const {cluster} = measuredCluster;
  const {runners, network, zones, entries} = cluster;
  const slow = runners.filter(
    (_, index) => index % SERVERS_PER_SLOW_SERVER === 3,
  );
  const failing = runners.at(-1);
  await sleep(roundMs / 5);
  for (const {admin} of slow) await admin.setFaults({slowFactor: SLOW_FACTOR});
  await failing?.admin.setFaults({failAll: true});
  const killed = entries.at(-1);
  await killed?.kill();
  const [partitionedZone = '', ...others] = zones;
  for (const zone of others)
    network.partition(partitionedZone, zone, PartitionKind.Silent);
  await sleep(Math.min(MAX_PARTITION_MS, roundMs / 2));
  for (const zone of others) network.heal(partitionedZone, zone);
  await sleep(roundMs / 5);
  for (const {admin} of slow) await admin.setFaults({});
  await failing?.admin.setFaults({});
  await killed?.start();
}
