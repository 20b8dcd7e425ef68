/** Prepares the entry instances of a cluster: ports, relays, settings. */
import {randomBytes} from 'node:crypto';
import type {Socket} from 'node:net';
import {findFreePort, HOST} from '../ports/index.js';
import {EntryProcess, type EntryAddresses} from './entry_process.js';
import type {LaunchSite, PlatformAddresses} from './launch_servers.js';
import {CLIENTS, PLATFORM, type Network} from './network.js';
import type {ClusterPlan, EntryPlan} from './plan.js';

import {findSourceProcess} from './source_process.js';

const TOKEN_BYTES = 16;
const MOST_SEEDS = 3;

interface PreparedEntry {
  readonly plan: EntryPlan;
  readonly zone: string;
  readonly addresses: EntryAddresses;
  readonly peersListen: string;
}

/** Everything that entry instances are told. */
interface Surroundings {
  readonly network: Network;
  readonly platform: PlatformAddresses;
  readonly peersToken: string;
  readonly operatorsToken: string;
  readonly logLevel: string;
}

/** Makes the entry instances of `plan` without starting them. */
export async function prepareEntries(
  plan: ClusterPlan,
  network: Network,
  platform: PlatformAddresses,
  site: LaunchSite,
): Promise<EntryProcess[]> {
  const entries: EntryProcess[] = [];
  const findZone = (socket: Socket) => findSourceZone(socket, entries);
  const prepared: PreparedEntry[] = [];
  for (const {name: zone, entries: plans} of plan.zones) {
    for (const each of plans) {
      prepared.push(await prepare(each, zone, network, findZone));
    }
  }
  const surroundings = {
    network,
    platform,
    peersToken: randomBytes(TOKEN_BYTES).toString('hex'),
    operatorsToken: randomBytes(TOKEN_BYTES).toString('hex'),
    logLevel: plan.logLevel ?? 'info',
  };
  const seeds = prepared.slice(0, MOST_SEEDS).map(each => each.addresses.peers);
  for (const each of prepared) {
    entries.push(await createEntry(each, seeds, surroundings, site));
  }
  return entries;
}

async function prepare(
  plan: EntryPlan,
  zone: string,
  network: Network,
  findZone: (socket: Socket) => string | undefined,
): Promise<PreparedEntry> {
  const directCallers = await findAddress();
  const peersListen = await findAddress();
  const addresses = {
    directCallers,
    callers: await network.route(CLIENTS, zone, directCallers),
    peers: await network.routeAll(zone, peersListen, findZone),
    operators: await findAddress(),
  };
  return {plan, zone, addresses, peersListen};
}

async function createEntry(
  entry: PreparedEntry,
  seeds: readonly string[],
  surroundings: Surroundings,
  site: LaunchSite,
): Promise<EntryProcess> {
  const {plan, zone, addresses} = entry;
  const settings = await createSettings(entry, seeds, surroundings);
  const {operatorsToken} = surroundings;
  const {folder, connections} = site;
  return new EntryProcess({
    name: plan.name,
    zone,
    addresses,
    operatorsToken,
    settings: layOver(settings, plan.settings ?? {}),
    folder,
    connections,
  });
}

async function createSettings(
  {plan, zone, addresses, peersListen}: PreparedEntry,
  seeds: readonly string[],
  {network, platform, ...shared}: Surroundings,
): Promise<Record<string, unknown>> {
  const list = platform.lists.get(zone) ?? '';
  const keyValue = await network.route(zone, PLATFORM, platform.keyValue);
  const instanceList = await network.route(zone, PLATFORM, list);
  return {
    zone,
    instance: plan.name,
    weight: plan.weight ?? 1,
    callers: {listen: addresses.directCallers},
    peers: {
      listen: peersListen,
      advertise: addresses.peers,
      token: shared.peersToken,
      seeds: seeds.filter(seed => seed !== addresses.peers),
    },
    operators: {listen: addresses.operators, token: shared.operatorsToken},
    platform: {
      key_value: [`http://${keyValue}`],
      instance_list: `http://${instanceList}/targets`,
    },
    logs: {level: shared.logLevel},
  };
}

/** Lays tables over tables, key by key. */
function layOver(
  below: Record<string, unknown>,
  above: Readonly<Record<string, unknown>>,
): Record<string, unknown> {
  const result = {...below};
  for (const [key, value] of Object.entries(above)) {
    const old = result[key];
    result[key] = isTable(old) && isTable(value) ? layOver(old, value) : value;
  }
  return result;
}

function isTable(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** The zone of the entry instance that opened a connection. */
function findSourceZone(
  socket: Socket,
  entries: readonly EntryProcess[],
): string | undefined {
  const pids = entries.flatMap(({pid}) => pid ?? []);
  const source = findSourceProcess(socket, pids);
  return entries.find(({pid}) => pid !== undefined && pid === source)?.zone;
}

async function findAddress(): Promise<string> {
  return `${HOST}:${await findFreePort()}`;
}
