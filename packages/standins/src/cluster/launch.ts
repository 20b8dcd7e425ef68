/** Launches a whole cluster and waits until it is ready. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Lifecycle} from '@goldcrestpier/runtime';
import {Agent} from 'undici';
import {Cluster, type ClusterServer} from './cluster.js';
import type {EntryProcess} from './entry_process.js';
import {prepareEntries} from './launch_entries.js';
import {launchPlatform, launchServers} from './launch_servers.js';
import {Listing} from './listing.js';
import {Network} from './network.js';
import type {ClusterPlan} from './plan.js';
import {describeEntry, describeRunner, describeWorker} from './targets.js';

const NO_DELAYS = {betweenZonesMs: 0, toClientsMs: 0};

/**
 * Launches the processes of `plan` and waits until each entry instance is
 * ready. They end with `owner`, or earlier by the cluster's `close`. Rejects
 * with the end of its log when a process does not come up.
 */
export async function launchCluster(
  plan: ClusterPlan,
  owner: Lifecycle,
): Promise<Cluster> {
  const lifecycle = owner.createChild('cluster');
  try {
    return await launch(plan, lifecycle);
  } catch (cause) {
    await lifecycle.close();
    throw cause;
  }
}

async function launch(
  plan: ClusterPlan,
  lifecycle: Lifecycle,
): Promise<Cluster> {
  const folder = mkdtempSync(join(tmpdir(), 'goldcrestpier-'));
  lifecycle.own('folder', () => rmSync(folder, {recursive: true}));
  const connections = new Agent();
  lifecycle.own('connections', () => connections.destroy());
  const network = new Network(
    plan.delays ?? NO_DELAYS,
    plan.isRelayed ?? false,
    lifecycle,
  );
  const site = {folder, connections, lifecycle};
  const {platform, addresses} = await launchPlatform(plan, site);
  const servers = await launchServers(plan, site);
  const entries = await prepareEntries(plan, network, addresses, site);
  const zones = plan.zones.map(({name}) => name);
  const lists = platform.lists.map((admin, index) => ({
    zone: zones[index] ?? '',
    admin,
  }));
  const listing = new Listing(lists, network);
  await listServers(plan, servers, listing);
  // All at once: one after the other, each would wait for those before it.
  lifecycle.own('entries', async () => {
    await Promise.all(entries.map(entry => entry.end()));
  });
  const first = pickFirst(plan, entries);
  for (const entry of first) entry.launch();
  await Promise.all(first.map(entry => entry.waitUntilReady()));
  await Promise.all(first.map(entry => listing.put(describeEntry(entry))));
  return new Cluster({
    zones,
    folder,
    entries,
    runners: pickServers(
      plan.zones.flatMap(zone => zone.runners),
      servers,
    ),
    workers: pickServers(
      plan.zones.flatMap(zone => zone.workers),
      servers,
    ),
    platform,
    network,
    listing,
    close: async () => {
      await lifecycle.close();
    },
  });
}

async function listServers(
  plan: ClusterPlan,
  servers: ReadonlyMap<string, ClusterServer>,
  listing: Listing,
): Promise<void> {
  const findAddress = (name: string) => servers.get(name)?.address ?? '';
  for (const {name: zone, runners, workers} of plan.zones) {
    for (const each of runners) {
      await listing.put(describeRunner(zone, each, findAddress(each.name)));
    }
    for (const each of workers) {
      await listing.put(describeWorker(zone, each, findAddress(each.name)));
    }
  }
}

/** The entry instances that start with the cluster. */
function pickFirst(
  plan: ClusterPlan,
  entries: readonly EntryProcess[],
): EntryProcess[] {
  const plans = plan.zones.flatMap(zone => zone.entries);
  const later = plans.filter(({startsLater}) => startsLater === true);
  const names = new Set(later.map(({name}) => name));
  return entries.filter(({name}) => !names.has(name));
}

function pickServers(
  plans: ReadonlyArray<{readonly name: string}>,
  servers: ReadonlyMap<string, ClusterServer>,
): ClusterServer[] {
  return plans.flatMap(({name}) => servers.get(name) ?? []);
}
