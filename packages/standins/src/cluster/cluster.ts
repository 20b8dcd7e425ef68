/** A cluster that runs: its processes, its network, and what it recorded. */
import type {
  InstanceListAdmin,
  KeyValueAdmin,
  StandinAdmin,
} from '../admin/index.js';
import type {FaultChoice, StartRecord} from '../server/index.js';
import type {Cut} from '../relay/index.js';
import type {EntryProcess} from './entry_process.js';
import type {LaunchedProcess} from './launched_process.js';
import type {Listing} from './listing.js';
import {PLATFORM, type Network} from './network.js';
import {describeEntry} from './targets.js';

/** One stand-in of a backend server. */
export interface ClusterServer {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  readonly admin: StandinAdmin;
  /** The process that hosts it, perhaps with others. */
  readonly process: LaunchedProcess;
}

/** The stand-ins of the platform. */
export interface ClusterPlatform {
  /** `http://host:port` of the key-value service itself. */
  readonly keyValueUrl: string;
  readonly keyValue: KeyValueAdmin;
  /** The instance lists; one, or one for each zone of a relayed cluster. */
  readonly lists: readonly InstanceListAdmin[];
  readonly process: LaunchedProcess;
}

/** What a running cluster consists of. */
export interface ClusterParts {
  readonly zones: readonly string[];
  /** Where settings files and logs are. */
  readonly folder: string;
  readonly entries: readonly EntryProcess[];
  readonly runners: readonly ClusterServer[];
  readonly workers: readonly ClusterServer[];
  readonly platform: ClusterPlatform;
  readonly network: Network;
  readonly listing: Listing;
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
  readonly listing: Listing;

  constructor(private readonly parts: ClusterParts) {
    this.zones = parts.zones;
    this.folder = parts.folder;
    this.entries = parts.entries;
    this.runners = parts.runners;
    this.workers = parts.workers;
    this.platform = parts.platform;
    this.network = parts.network;
    this.listing = parts.listing;
  }

  /** Runners and workers. */
  get servers(): readonly ClusterServer[] {
    return [...this.runners, ...this.workers];
  }

  /** The entry instance called `name`. Throws when there is none. */
  entry(name: string): EntryProcess {
    return find(this.entries, name);
  }

  /** The runner or worker called `name`. Throws when there is none. */
  server(name: string): ClusterServer {
    return find(this.servers, name);
  }

  /** Every start at every server, oldest first. */
  async readStarts(): Promise<StartRecord[]> {
    const records = await Promise.all(
      this.servers.map(({admin}) => admin.readStarts()),
    );
    return records.flat().sort((a, b) => a.at - b.at);
  }

  /** Sets the same faults at every server. */
  async setFaults(choice: FaultChoice): Promise<void> {
    await Promise.all(this.servers.map(({admin}) => admin.setFaults(choice)));
  }

  /** Takes the key-value service and the lists away, or gives them back. */
  async setPlatformOut(isOut: boolean): Promise<void> {
    const {keyValue, lists} = this.platform;
    await keyValue.setFaults({down: isOut});
    await Promise.all(lists.map(list => list.setFaults({listOut: isOut})));
  }

  /** Starts an entry instance, waits until it is ready, and lists it. */
  async startEntry(name: string): Promise<void> {
    const entry = this.entry(name);
    await entry.start();
    await this.listing.put(describeEntry(entry));
  }

  /** Cuts a zone off from the other zones and the platform. */
  cutZone(zone: string, cut: Cut): void {
    for (const other of this.listOthers(zone)) {
      this.network.cut(zone, other, cut);
    }
  }

  /** Ends the cuts of a zone. */
  healZone(zone: string): void {
    for (const other of this.listOthers(zone)) this.network.heal(zone, other);
  }

  /** Ends every process and removes the folder. */
  close(): Promise<void> {
    return this.parts.close();
  }

  private listOthers(zone: string): string[] {
    return [...this.zones.filter(other => other !== zone), PLATFORM];
  }
}

/** The tasks that were started more than once, with how often. */
export function countDoubledStarts(
  starts: readonly StartRecord[],
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {task} of starts) counts.set(task, (counts.get(task) ?? 0) + 1);
  return new Map([...counts].filter(([, count]) => count > 1));
}

function find<Item extends {readonly name: string}>(
  items: readonly Item[],
  name: string,
): Item {
  const item = items.find(each => each.name === name);
  if (item === undefined) throw new Error(`there is no ${name}`);
  return item;
}
