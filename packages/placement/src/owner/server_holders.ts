/** Which instance holds which server, as the owner of tasks sees it. */
import type {Grant} from '@goldcrestpier/peers';
import type {PlacementView} from '../view.js';

/** The holders of all servers, from the last refresh. */
export class ServerHolders {
  /** Incarnation of the holder by server name. */
  private readonly holders = new Map<string, string>();

  constructor(private readonly view: PlacementView) {}

  /** Applies changes in which instance holds which server. */
  refresh(): void {
    this.holders.clear();
    for (const server of this.view.servers()) {
      const holder = this.view.holderOf(server);
      if (holder !== undefined) this.holders.set(server.name, holder);
    }
  }

  /** The current holder of a grant's server. */
  holderOf(grant: Grant): string {
    return this.holders.get(grant.server) ?? grant.holder;
  }

  /** The holders of a pool's servers, and whether they hold one in this zone. */
  holdersOf(pool: string): Map<string, boolean> {
    const holders = new Map<string, boolean>();
    for (const server of this.view.servers()) {
      if (server.pool !== pool) continue;
      const holder = this.holders.get(server.name);
      if (holder === undefined) continue;
      const isSameZone = server.zone === this.view.self.zone;
      holders.set(holder, isSameZone || (holders.get(holder) ?? false));
    }
    return holders;
  }
}
