/** Launches a cluster's stand-ins: platform services, runners and workers. */
import type {Lifecycle} from '@goldcrestpier/runtime';
import type {Agent} from 'undici';
import {
  InstanceListAdminClient,
  KeyValueAdminClient,
  StandinAdminClient,
} from '../admin/index.js';
import {StandinKind, type StandinPlan} from '../host/index.js';
import type {ClusterPlatform, ClusterServer} from './cluster.js';
import type {ClusterPlan, ZonePlan} from './plan.js';
import {launchStandins, type StandinProcess} from './standin_processes.js';

/** What all launched processes of a cluster share. */
export interface LaunchContext {
  /** Folder for settings files and logs. */
  readonly folder: string;
  readonly agent: Agent;
  readonly lifecycle: Lifecycle;
}

/** Addresses (`host:port`) of the platform's services, without relays. */
export interface PlatformAddresses {
  readonly keyValue: string;
  /** Instance lists by zone. */
  readonly lists: ReadonlyMap<string, string>;
}

/** Launches the platform's services in one process. */
export async function launchPlatform(
  plan: ClusterPlan,
  context: LaunchContext,
): Promise<{platform: ClusterPlatform; addresses: PlatformAddresses}> {
  const zones = plan.zones.map(({name}) => name);
  const listZones = plan.isRelayed === true ? zones : zones.slice(0, 1);
  const listOptions = {lagMs: plan.listLagMs ?? 0};
  const launched = await launchStandins(
    'platform',
    [
      {kind: StandinKind.KeyValue, options: {}},
      ...listZones.map(zone => ({
        kind: StandinKind.InstanceList as const,
        options: {...listOptions, name: `list-${zone}`},
      })),
    ],
    context.folder,
    context.lifecycle,
  );
  const [keyValue, ...hosted] = launched.standins;
  const pickList = (index: number) => hosted[index % hosted.length];
  const address = keyValue?.address ?? '';
  return {
    platform: {
      keyValueUrl: `http://${address}`,
      keyValue: new KeyValueAdminClient(address, context.agent),
      lists: hosted.map(
        list => new InstanceListAdminClient(list.adminAddress, context.agent),
      ),
      process: launched.process,
    },
    addresses: {
      keyValue: address,
      lists: new Map(
        zones.map((zone, index) => [zone, pickList(index)?.address ?? '']),
      ),
    },
  };
}

/** Launches all runners and workers, spread over `standinProcesses`. */
export async function launchServers(
  plan: ClusterPlan,
  context: LaunchContext,
): Promise<ReadonlyMap<string, ClusterServer>> {
  const standins = plan.zones.flatMap(listStandins);
  const processCount = Math.max(plan.standinProcesses ?? 1, 1);
  const launched = await Promise.all(
    Array.from({length: processCount}, (_, index) =>
      launchStandins(
        `standins-${index + 1}`,
        standins.filter(
          (_standin, position) => position % processCount === index,
        ),
        context.folder,
        context.lifecycle,
      ),
    ),
  );
  const zoneNames = new Map(plan.zones.flatMap(listServerZones));
  const servers = launched.flatMap(standinProcess =>
    createClusterServers(standinProcess, zoneNames, context.agent),
  );
  return new Map(servers.map(server => [server.name, server]));
}

function listStandins({runners, workers}: ZonePlan): StandinPlan[] {
  return [
    ...runners.map(({service: _service, ...options}) => ({
      kind: StandinKind.Runner as const,
      options,
    })),
    ...workers.map(({rack: _rack, ...options}) => ({
      kind: StandinKind.Worker as const,
      options,
    })),
  ];
}

function listServerZones(zone: ZonePlan): Array<[string, string]> {
  const servers = [...zone.runners, ...zone.workers];
  return servers.map(({name}) => [name, zone.name]);
}

function createClusterServers(
  {process, standins}: StandinProcess,
  zoneNames: ReadonlyMap<string, string>,
  agent: Agent,
): ClusterServer[] {
  return standins.map(({name, address, adminAddress}) => ({
    name,
    zone: zoneNames.get(name) ?? '',
    address,
    admin: new StandinAdminClient(adminAddress, agent),
    process,
  }));
}
