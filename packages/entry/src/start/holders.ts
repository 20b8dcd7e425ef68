/** Which entry instance holds a backend server. */
import {createHash} from 'node:crypto';
import {pickMember, type Membership} from '@goldcrestpier/membership';
import type {Server} from '@goldcrestpier/platform';

const MAX_CACHED_SHARDS = 100_000;

/** Finds holders by rendezvous hashing over the zone's live instances. */
export class Holders {
  private readonly digests = new Map<string, number>();

  constructor(private readonly membership: Membership) {}

  /**
   * The holder's incarnation; undefined when the zone has no live instance.
   * The servers of one shard have one holder, which sees more of them.
   */
  find(server: Server, shards: number): string | undefined {
    const shard = this.digestName(server.name) % shards;
    const key = `${server.pool}/${server.zone}/${shard}`;
    const members = this.membership.members(server.zone);
    return pickMember(key, members)?.incarnation;
  }

  private digestName(name: string): number {
    const known = this.digests.get(name);
    if (known !== undefined) return known;
    const digest = createHash('md5').update(name).digest().readUInt32BE();
    if (this.digests.size >= MAX_CACHED_SHARDS) this.digests.clear();
    this.digests.set(name, digest);
    return digest;
  }
}
