/**
 * What the instance lists show. Each zone has a list of its own, for servers
 * of other zones are reached through relays that differ from zone to zone.
 */
import type {InstanceListAdmin} from '../admin/index.js';
import {InstanceState, type InstanceTarget} from '../instance_list/index.js';
import type {Network} from './network.js';

/** One zone's list. */
export interface ZoneList {
  readonly zone: string;
  readonly admin: InstanceListAdmin;
}

/** Keeps the lists of all zones. */
export class Listing {
  private readonly listed = new Map<string, InstanceTarget>();

  constructor(
    private readonly lists: readonly ZoneList[],
    private readonly network: Network,
  ) {}

  /** Shows an instance in every list. */
  async put(target: InstanceTarget): Promise<void> {
    this.listed.set(target.labels.name, target);
    await Promise.all(this.lists.map(list => this.putInto(list, target)));
  }

  /** Shows an instance that is listed in another state. */
  async setState(name: string, state: InstanceState): Promise<void> {
    const target = this.listed.get(name);
    if (target === undefined) throw new Error(`${name} is not listed`);
    await this.put({...target, labels: {...target.labels, state}});
  }

  /** Takes an instance out of every list. */
  async remove(name: string): Promise<void> {
    this.listed.delete(name);
    await Promise.all(this.lists.map(({admin}) => admin.removeTarget(name)));
  }

  private async putInto(list: ZoneList, target: InstanceTarget): Promise<void> {
    const {zone} = target.labels;
    const routes = target.targets.map(address =>
      this.network.route(list.zone, zone, address),
    );
    const targets = await Promise.all(routes);
    await list.admin.putTarget({...target, targets});
  }
}
