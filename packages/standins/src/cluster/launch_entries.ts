/** Prepares the entry instances of a cluster: ports, relays and settings. */
import {randomBytes} from 'node:crypto';
import type {Socket} from 'node:net';
import {findFreePort, HOST} from '../ports/index.js';
import {EntryProcess, type EntryAddresses} from './entry_process.js';
import type {LaunchContext, PlatformAddresses} from './launch_servers.js';
import {CLIENTS, PLATFORM, type Network} from './network.js';
import type {ClusterPlan, EntryPlan} from './plan.js';

import {findSourceProcess} from './source_process.js';

const TOKEN_BYTES = 16;
const MAX_SEEDS = 3;

interface PreparedEntry {
  readonly plan: EntryPlan;
  readonly zone: string;
  readonly addresses: EntryAddresses;
  readonly peersListenAddress: string;
}

/** Values for the settings of all entry instances. */
interface EntryEnvironment {
  readonly network: Network;
  readonly platform: PlatformAddresses;
  readonly peersToken: string;
  readonly operatorsToken: string;
  readonly logLevel: string;
}

/** Creates the entry instances of `plan` without starting them. */
export async function prepareEntries(
  plan: ClusterPlan,
  network: Network,
  platform: PlatformAddresses,
  context: LaunchContext,
): Promise<EntryProcess[]> {
  const entries: EntryProcess[] = [];
  const findZone = (socket: Socket) => findSourceZone(socket, entries);
  const prepared: PreparedEntry[] = [];
  for (const {name: zone, entries: plans} of plan.zones) {
    for (const entryPlan of plans) {
      prepared.push(await prepareEntry(entryPlan, zone, network, findZone));
    }
  }
  const environment = {
    network,
    platform,
    peersToken: randomBytes(TOKEN_BYTES).toString('hex'),
    operatorsToken: randomBytes(TOKEN_BYTES).toString('hex'),
    logLevel: plan.logLevel ?? 'info',
  };
  const seeds = prepared
    .slice(0, MAX_SEEDS)
    .map(entry => entry.addresses.peers);
  for (const entry of prepared) {
    entries.push(await createEntry(entry, seeds, environment, context));
  }
  return entries;
}

async function prepareEntry(
  plan: EntryPlan,
  zone: string,
  network: Network,
  findZone: (socket: Socket) => string | undefined,
): Promise<PreparedEntry> {
  const directCallers = await reserveAddress();
  const peersListenAddress = await reserveAddress();
  const addresses = {
    directCallers,
    callers: await network.route(CLIENTS, zone, directCallers),
    peers: await network.routeFromAnySource(zone, peersListenAddress, findZone),
    operators: await reserveAddress(),
  };
  return {plan, zone, addresses, peersListenAddress};
}

async function createEntry(
  entry: PreparedEntry,
  seeds: readonly string[],
  environment: EntryEnvironment,
  context: LaunchContext,
): Promise<EntryProcess> {
  const {plan, zone, addresses} = entry;
  const settings = await createSettings(entry, seeds, environment);
  const {operatorsToken} = environment;
  const {folder, agent} = context;
  return new EntryProcess({
    name: plan.name,
    zone,
    addresses,
    operatorsToken,
    settings: mergeTables(settings, plan.settings ?? {}),
    folder,
    agent,
  });
}

async function createSettings(
  {plan, zone, addresses, peersListenAddress}: PreparedEntry,
  seeds: readonly string[],
  {network, platform, ...shared}: EntryEnvironment,
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
      listen: peersListenAddress,
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

/** Merges `overrides` into `base`, recursively for nested tables. */
function mergeTables(
  base: Record<string, unknown>,
  overrides: Readonly<Record<string, unknown>>,
): Record<string, unknown> {
  const result = {...base};
  for (const [key, value] of Object.entries(overrides)) {
    const old = result[key];
    result[key] =
      isTable(old) && isTable(value) ? mergeTables(old, value) : value;
  }
  return result;
}

function isTable(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Zone of the entry instance that opened a connection. */
function findSourceZone(
  socket: Socket,
  entries: readonly EntryProcess[],
): string | undefined {
  const pids = entries.flatMap(({pid}) => pid ?? []);
  const source = findSourceProcess(socket, pids);
  return entries.find(({pid}) => pid !== undefined && pid === source)?.zone;
}

async function reserveAddress(): Promise<string> {
  return `${HOST}:${await findFreePort()}`;
}
