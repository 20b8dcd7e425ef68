/**
 * Content of the instance lists. Each zone of a relayed cluster has its own
 * list, because servers of other zones are reached through different relays
 * from each zone.
 */
import type {InstanceListAdminClient} from '../admin/index.js';
import {InstanceState, type InstanceTarget} from '../instance_list/index.js';
import type {Network} from './network.js';

/** Instance list of one zone. */
export interface ZoneInstanceList {
  readonly zone: string;
  readonly admin: InstanceListAdminClient;
}

/** Updates the instance lists of all zones. */
export class InstanceLists {
  private readonly targets = new Map<string, InstanceTarget>();

  constructor(
    private readonly lists: readonly ZoneInstanceList[],
    private readonly network: Network,
  ) {}

  /** Adds or replaces an instance in every list. */
  async put(target: InstanceTarget): Promise<void> {
    this.targets.set(target.labels.name, target);
    await Promise.all(this.lists.map(list => this.putIntoList(list, target)));
  }

  /** Changes the state of a listed instance. Throws if it is not listed. */
  async setState(name: string, state: InstanceState): Promise<void> {
    const target = this.targets.get(name);
    if (target === undefined) throw new Error(`instance ${name} is not listed`);
    await this.put({...target, labels: {...target.labels, state}});
  }

  /** Removes an instance from every list. */
  async remove(name: string): Promise<void> {
    this.targets.delete(name);
    await Promise.all(this.lists.map(({admin}) => admin.removeTarget(name)));
  }

  private async putIntoList(
    list: ZoneInstanceList,
    target: InstanceTarget,
  ): Promise<void> {
    const {zone} = target.labels;
    const addressPromises = target.targets.map(address =>
      this.network.route(list.zone, zone, address),
    );
    const targets = await Promise.all(addressPromises);
    await list.admin.putTarget({...target, targets});
  }
}
