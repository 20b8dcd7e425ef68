/** Launches a cluster and waits until it is ready. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Lifecycle} from '@goldcrestpier/runtime';
import {Agent} from 'undici';
import {Cluster, type ClusterServer} from './cluster.js';
import type {EntryProcess} from './entry_process.js';
import {prepareEntries} from './launch_entries.js';
import {launchPlatform, launchServers} from './launch_servers.js';
import {InstanceLists} from './instance_lists.js';
import {Network} from './network.js';
import type {ClusterPlan} from './plan.js';
import {describeEntry, describeRunner, describeWorker} from './targets.js';

const NO_DELAYS = {betweenZonesMs: 0, toClientsMs: 0};

/**
 * Launches the processes of `plan` and waits until the entry instances are
 * ready. The cluster closes with `owner`, unless its `close` is called before.
 * If a process fails to start, rejects with the end of its log.
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
  const agent = new Agent();
  lifecycle.own('connections', () => agent.destroy());
  const network = new Network(
    plan.delays ?? NO_DELAYS,
    plan.isRelayed ?? false,
    lifecycle,
  );
  const context = {folder, agent, lifecycle};
  const {platform, addresses} = await launchPlatform(plan, context);
  const servers = await launchServers(plan, context);
  const entries = await prepareEntries(plan, network, addresses, context);
  const zones = plan.zones.map(({name}) => name);
  const lists = platform.lists.map((admin, index) => ({
    zone: zones[index] ?? '',
    admin,
  }));
  const instanceLists = new InstanceLists(lists, network);
  await publishServers(plan, servers, instanceLists);
  // In parallel: in sequence, each would wait for the exit of those before it.
  lifecycle.own('entries', async () => {
    await Promise.all(entries.map(entry => entry.terminate()));
  });
  await launchAndPublish(selectInitialEntries(plan, entries), instanceLists);
  return new Cluster({
    zones,
    folder,
    entries,
    runners: selectServers(
      plan.zones.flatMap(zone => zone.runners),
      servers,
    ),
    workers: selectServers(
      plan.zones.flatMap(zone => zone.workers),
      servers,
    ),
    platform,
    network,
    instanceLists,
    close: async () => {
      await lifecycle.close();
    },
  });
}

async function publishServers(
  plan: ClusterPlan,
  servers: ReadonlyMap<string, ClusterServer>,
  instanceLists: InstanceLists,
): Promise<void> {
  const findAddress = (name: string) => servers.get(name)?.address ?? '';
  for (const {name: zone, runners, workers} of plan.zones) {
    for (const runner of runners) {
      await instanceLists.put(
        describeRunner(zone, runner, findAddress(runner.name)),
      );
    }
    for (const worker of workers) {
      await instanceLists.put(
        describeWorker(zone, worker, findAddress(worker.name)),
      );
    }
  }
}

async function launchAndPublish(
  entries: readonly EntryProcess[],
  instanceLists: InstanceLists,
): Promise<void> {
  for (const entry of entries) entry.launch();
  await Promise.all(entries.map(entry => entry.waitUntilReady()));
  await Promise.all(
    entries.map(entry => instanceLists.put(describeEntry(entry))),
  );
}

/** Entry instances that are started together with the cluster. */
function selectInitialEntries(
  plan: ClusterPlan,
  entries: readonly EntryProcess[],
): EntryProcess[] {
  const plans = plan.zones.flatMap(zone => zone.entries);
  const deferred = plans.filter(({startsLater}) => startsLater === true);
  const deferredNames = new Set(deferred.map(({name}) => name));
  return entries.filter(({name}) => !deferredNames.has(name));
}

function selectServers(
  plans: ReadonlyArray<{readonly name: string}>,
  servers: ReadonlyMap<string, ClusterServer>,
): ClusterServer[] {
  return plans.flatMap(({name}) => servers.get(name) ?? []);
}
