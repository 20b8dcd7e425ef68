/** A running cluster: its processes, network and recorded task starts. */
import type {
  InstanceListAdminClient,
  KeyValueAdminClient,
  StandinAdminClient,
} from '../admin/index.js';
import type {FaultsInput, StartRecord} from '../server/index.js';
import type {PartitionKind} from '../relay/index.js';
import type {EntryProcess} from './entry_process.js';
import type {LaunchedProcess} from './launched_process.js';
import type {InstanceLists} from './instance_lists.js';
import {PLATFORM, type Network} from './network.js';
import {describeEntry} from './targets.js';

/** Stand-in of a backend server. */
export interface ClusterServer {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  readonly admin: StandinAdminClient;
  /** Process that hosts it, possibly among others. */
  readonly process: LaunchedProcess;
}

/** Stand-ins of the platform's services. */
export interface ClusterPlatform {
  /** `http://host:port` of the key-value service, without a relay. */
  readonly keyValueUrl: string;
  readonly keyValue: KeyValueAdminClient;
  /** One instance list, or one for each zone if the cluster is relayed. */
  readonly lists: readonly InstanceListAdminClient[];
  readonly process: LaunchedProcess;
}

/** Options of a `Cluster`. */
export interface ClusterOptions {
  readonly zones: readonly string[];
  /** Folder of settings files and logs. */
  readonly folder: string;
  readonly entries: readonly EntryProcess[];
  readonly runners: readonly ClusterServer[];
  readonly workers: readonly ClusterServer[];
  readonly platform: ClusterPlatform;
  readonly network: Network;
  readonly instanceLists: InstanceLists;
  readonly close: () => Promise<void>;
}

/** A running cluster. */
export class Cluster {
  readonly zones: readonly string[];
  readonly folder: string;
  readonly entries: readonly EntryProcess[];
  readonly runners: readonly ClusterServer[];
  readonly workers: readonly ClusterServer[];
  readonly platform: ClusterPlatform;
  readonly network: Network;
  readonly instanceLists: InstanceLists;

  constructor(private readonly options: ClusterOptions) {
    this.zones = options.zones;
    this.folder = options.folder;
    this.entries = options.entries;
    this.runners = options.runners;
    this.workers = options.workers;
    this.platform = options.platform;
    this.network = options.network;
    this.instanceLists = options.instanceLists;
  }

  /** All runners and workers. */
  get servers(): readonly ClusterServer[] {
    return [...this.runners, ...this.workers];
  }

  /** Returns the entry instance called `name`. Throws if there is none. */
  entry(name: string): EntryProcess {
    return findByName(this.entries, name);
  }

  /** Returns the runner or worker called `name`. Throws if there is none. */
  server(name: string): ClusterServer {
    return findByName(this.servers, name);
  }

  /** Reads the recorded starts of all servers, oldest first. */
  async readStarts(): Promise<StartRecord[]> {
    const records = await Promise.all(
      this.servers.map(({admin}) => admin.readStarts()),
    );
    return records.flat().sort((a, b) => a.at - b.at);
  }

  /** Sets the same faults on every server. */
  async setFaults(faults: FaultsInput): Promise<void> {
    await Promise.all(this.servers.map(({admin}) => admin.setFaults(faults)));
  }

  /** Starts or ends an outage of the key-value service and instance lists. */
  async setPlatformDown(isDown: boolean): Promise<void> {
    const {keyValue, lists} = this.platform;
    await keyValue.setFaults({down: isDown});
    await Promise.all(lists.map(list => list.setFaults({listOut: isDown})));
  }

  /** Starts an entry instance, waits until it is ready and lists it. */
  async startEntry(name: string): Promise<void> {
    const entry = this.entry(name);
    await entry.start();
    await this.instanceLists.put(describeEntry(entry));
  }

  /** Partitions a zone from the other zones and the platform. */
  partitionZone(zone: string, kind: PartitionKind): void {
    for (const other of this.listOtherParties(zone)) {
      this.network.partition(zone, other, kind);
    }
  }

  /** Ends the partitions of a zone. */
  healZone(zone: string): void {
    for (const other of this.listOtherParties(zone))
      this.network.heal(zone, other);
  }

  /** Stops all processes and removes the folder. */
  close(): Promise<void> {
    return this.options.close();
  }

  private listOtherParties(zone: string): string[] {
    return [...this.zones.filter(other => other !== zone), PLATFORM];
  }
}

/** Tasks that were started more than once, with their number of starts. */
export function countDuplicateStarts(
  starts: readonly StartRecord[],
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {task} of starts) counts.set(task, (counts.get(task) ?? 0) + 1);
  return new Map([...counts].filter(([, count]) => count > 1));
}

function findByName<Item extends {readonly name: string}>(
  items: readonly Item[],
  name: string,
): Item {
  const item = items.find(each => each.name === name);
  if (item === undefined)
    throw new Error(`the cluster has no instance ${name}`);
  return item;
}
