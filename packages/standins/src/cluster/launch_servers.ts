/** Launches the stand-ins of a cluster: platform, runners and workers. */
import type {Lifecycle} from '@goldcrestpier/runtime';
import type {Agent} from 'undici';
import {
  InstanceListAdmin,
  KeyValueAdmin,
  StandinAdmin,
} from '../admin/index.js';
import {StandinKind, type StandinPlan} from '../host/index.js';
import type {ClusterPlatform, ClusterServer} from './cluster.js';
import type {ClusterPlan, ZonePlan} from './plan.js';
import {launchStandins, type StandinProcess} from './standin_processes.js';

/** What a launch is made with. */
export interface LaunchSite {
  /** Where settings files and logs are written. */
  readonly folder: string;
  readonly connections: Agent;
  readonly lifecycle: Lifecycle;
}

/** A stand-in of the platform and where it is reached. */
export interface PlatformAddresses {
  readonly keyValue: string;
  /** By zone. */
  readonly lists: ReadonlyMap<string, string>;
}

/** The platform's stand-ins in one process. */
export async function launchPlatform(
  plan: ClusterPlan,
  site: LaunchSite,
): Promise<{platform: ClusterPlatform; addresses: PlatformAddresses}> {
  const zones = plan.zones.map(({name}) => name);
  const lists = plan.isRelayed === true ? zones : zones.slice(0, 1);
  const options = {lagMs: plan.listLagMs ?? 0};
  const launched = await launchStandins(
    'platform',
    [
      {kind: StandinKind.KeyValue, options: {}},
      ...lists.map(zone => ({
        kind: StandinKind.InstanceList as const,
        options: {...options, name: `list-${zone}`},
      })),
    ],
    site.folder,
    site.lifecycle,
  );
  const [keyValue, ...hosted] = launched.standins;
  const pickList = (index: number) => hosted[index % hosted.length];
  const address = keyValue?.address ?? '';
  return {
    platform: {
      keyValueUrl: `http://${address}`,
      keyValue: new KeyValueAdmin(address, site.connections),
      lists: hosted.map(
        each => new InstanceListAdmin(each.adminAddress, site.connections),
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

/** All runners and workers, spread over the stand-ins' processes. */
export async function launchServers(
  plan: ClusterPlan,
  site: LaunchSite,
): Promise<ReadonlyMap<string, ClusterServer>> {
  const standins = plan.zones.flatMap(listStandins);
  const processes = Math.max(plan.standinProcesses ?? 1, 1);
  const launched = await Promise.all(
    Array.from({length: processes}, (_, index) =>
      launchStandins(
        `standins-${index + 1}`,
        standins.filter((_each, place) => place % processes === index),
        site.folder,
        site.lifecycle,
      ),
    ),
  );
  const zones = new Map(plan.zones.flatMap(listZones));
  const servers = launched.flatMap(each =>
    describeServers(each, zones, site.connections),
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

function listZones(zone: ZonePlan): Array<[string, string]> {
  const servers = [...zone.runners, ...zone.workers];
  return servers.map(({name}) => [name, zone.name]);
}

function describeServers(
  {process, standins}: StandinProcess,
  zones: ReadonlyMap<string, string>,
  connections: Agent,
): ClusterServer[] {
  return standins.map(({name, address, adminAddress}) => ({
    name,
    zone: zones.get(name) ?? '',
    address,
    admin: new StandinAdmin(adminAddress, connections),
    process,
  }));
}
