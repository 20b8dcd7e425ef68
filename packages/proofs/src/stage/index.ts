/** A cluster on its stage: its callers and operators, and its clean-up. */
import {setTimeout as pause} from 'node:timers/promises';
import {
  EditKind,
  type EditRequest,
  type SettingsEdit,
} from '@goldcrestpier/settings';
import {Lifecycle} from '@goldcrestpier/runtime';
import {
  describeEntry,
  launchCluster,
  planZones,
  type Cluster,
  type ClusterPlan,
  type EntryProcess,
} from '@goldcrestpier/standins';
import {Agent, request} from 'undici';
import {Caller} from '../caller/index.js';

const ZONES = ['batangas-1', 'batangas-2', 'batangas-3'];
const SPEEDS = [1, 2, 3];
const LOOK_MS = 50;
const LONGEST_WAIT_MS = 60_000;

/** One cluster with what a test needs around it. */
export class Stage {
  private readonly connections = new Agent({connections: 64});
  private readonly lifecycle = new Lifecycle('stage');
  private editCount = 0;

  private constructor(readonly cluster: Cluster) {}

  /**
   * Launches three zones of two entry instances and some servers. `running` is
   * how many instances start with it; all where it is absent.
   */
  static async open(
    plan: Partial<ClusterPlan> = {},
    running?: number,
  ): Promise<Stage> {
    const owner = new Lifecycle('launch');
    const cluster = await launchCluster({zones: planSmall(), ...plan}, owner);
    const stage = new Stage(cluster);
    stage.lifecycle.own('cluster', async () => {
      await owner.close();
    });
    stage.lifecycle.own('connections', () => stage.connections.destroy());
    await stage.waitForMembers(running ?? cluster.entries.length);
    return stage;
  }

  /** The entry instances, in the order of their zones. */
  get entries(): readonly EntryProcess[] {
    return this.cluster.entries;
  }

  /** A caller of one entry instance. */
  caller(entry: EntryProcess): Caller {
    return new Caller(entry.url, this.connections);
  }

  /** How the instance list shows an entry instance. */
  describe(entry: EntryProcess) {
    return describeEntry(entry);
  }

  /** A caller of the entry instance called `name`. */
  callerOf(name: string): Caller {
    return this.caller(this.cluster.entry(name));
  }

  /** Edits the settings through one instance; throws when that is refused. */
  async edit(name: string, edits: SettingsEdit[]): Promise<number> {
    this.editCount += 1;
    const edit = {editId: `edit-${this.editCount}`, by: 'proofs', edits};
    const {statusCode, body} = await this.sendEdit(name, edit);
    if (statusCode !== 200) throw new Error(JSON.stringify(body));
    return (body as {revision: number}).revision;
  }

  /** Sends one edit and resolves with whatever came back. */
  async sendEdit(name: string, edit: EditRequest) {
    const {addresses, operatorsToken} = this.cluster.entry(name);
    const url = `http://${addresses.operators}/operators/v1/settings/edits`;
    const {statusCode, body} = await request(url, {
      method: 'POST',
      headers: {authorization: `Bearer ${operatorsToken}`},
      body: JSON.stringify(edit),
      dispatcher: this.connections,
    });
    return {statusCode, body: await body.json()};
  }

  /** One figure of an instance's metrics; undefined when it has none. */
  async readMetric(entry: EntryProcess, name: string): Promise<number> {
    const url = `http://${entry.addresses.directCallers}/metrics`;
    const {body} = await request(url, {dispatcher: this.connections});
    const text = await body.text();
    const line = text.split('\n').find(each => each.startsWith(`${name} `));
    return Number(line?.slice(name.length + 1) ?? NaN);
  }

  /** Waits until every instance has the settings of `revision` in force. */
  async waitForRevision(revision: number): Promise<void> {
    await this.waitForMetric(
      'goldcrestpier_settings_revision',
      found => found >= revision,
    );
  }

  /** Waits until every instance sees all the others. */
  async waitForMembers(instances: number): Promise<void> {
    await this.waitForMetric(
      'goldcrestpier_members',
      found => found >= instances - 1,
    );
  }

  /** Ends every process. */
  async close(): Promise<void> {
    await this.lifecycle.close();
  }

  private async waitForMetric(
    name: string,
    isReached: (found: number) => boolean,
  ): Promise<void> {
    const running = this.entries.filter(({pid}) => pid !== undefined);
    await waitUntil(name, async () => {
      const found = await Promise.all(
        running.map(entry => this.readMetric(entry, name)),
      );
      return found.every(isReached);
    });
  }
}

/** Waits until `check` holds; throws when it does not for a long time. */
export async function waitUntil(
  what: string,
  check: () => Promise<boolean> | boolean,
): Promise<void> {
  const tries = LONGEST_WAIT_MS / LOOK_MS;
  for (let count = 0; count < tries; count += 1) {
    if (await check()) return;
    await pause(LOOK_MS);
  }
  throw new Error(`waited in vain for ${what}`);
}

/** One change that sets a key at a node. */
export function setKey(
  node: string,
  key: string,
  value: unknown,
): SettingsEdit {
  return {kind: EditKind.Set, node, key, value};
}

function planSmall() {
  return planZones({
    zones: ZONES,
    entriesPerZone: 2,
    runnersPerZone: 3,
    speeds: SPEEDS,
  });
}
