/** Selects the entry instance that holds a backend server. */
import {createHash} from 'node:crypto';
import {pickMember, type Membership} from '@goldcrestpier/membership';
import type {Server} from '@goldcrestpier/platform';

const MAX_CACHED_HASHES = 100_000;

/** Selects holders by rendezvous hashing over the zone's live instances. */
export class HolderSelector {
  private readonly hashesByName = new Map<string, number>();

  constructor(private readonly membership: Membership) {}

  /**
   * Returns the holder's incarnation, or undefined if the zone has no live
   * instance. All servers of a shard have the same holder, so that a holder has
   * more servers to choose from.
   */
  selectHolder(server: Server, shards: number): string | undefined {
    const shard = this.hashName(server.name) % shards;
    const key = `${server.pool}/${server.zone}/${shard}`;
    const members = this.membership.members(server.zone);
    return pickMember(key, members)?.incarnation;
  }

  private hashName(name: string): number {
    const cached = this.hashesByName.get(name);
    if (cached !== undefined) return cached;
    const hash = createHash('md5').update(name).digest().readUInt32BE();
    if (this.hashesByName.size >= MAX_CACHED_HASHES) this.hashesByName.clear();
    this.hashesByName.set(name, hash);
    return hash;
  }
}
