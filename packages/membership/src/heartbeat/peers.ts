/** The peers to which this instance has a link and sends heartbeats. */
import type {PeerLink} from '@goldcrestpier/peers';
import type {Lifecycle, Millis} from '@goldcrestpier/runtime';
import {startHeartbeatLoop, type HeartbeatDelegate} from './heartbeat_loop.js';

/** Maximum number of open links. */
const MAX_PEERS = 1_024;

/** A peer address with its link. */
export interface Peer {
  readonly address: string;
  readonly link: PeerLink;
  /** The incarnation that last answered at the address. */
  incarnation: string | undefined;
  /** Number of heartbeats that this incarnation has answered there. */
  answers: number;
  close(): Promise<unknown>;
}

/** Dependencies of the peers. */
export interface PeersOptions {
  readonly createLink: (address: string) => PeerLink;
  readonly lifecycle: Lifecycle;
  readonly clock: () => Millis;
  readonly onFailure: (cause: unknown) => void;
}

/** Opens and closes links as the set of peer addresses changes. */
export class Peers {
  private readonly peers = new Map<string, Peer>();

  constructor(private readonly options: PeersOptions) {}

  /** Iterates over all peers. */
  all(): IterableIterator<Peer> {
    return this.peers.values();
  }

  /** Looks up the peer at an address. */
  find(address: string): Peer | undefined {
    return this.peers.get(address);
  }

  /** Opens missing links to the wanted addresses and closes all others. */
  reconcile(wanted: ReadonlySet<string>, delegate: HeartbeatDelegate): void {
    for (const [address, peer] of this.peers) {
      if (wanted.has(address)) continue;
      this.peers.delete(address);
      void peer.close();
    }
    for (const address of wanted) {
      if (this.peers.has(address) || this.peers.size >= MAX_PEERS) continue;
      this.peers.set(address, this.open(address, delegate));
    }
  }

  private open(address: string, delegate: HeartbeatDelegate): Peer {
    const {clock, onFailure, createLink} = this.options;
    const lifecycle = this.options.lifecycle.createChild(`peer ${address}`);
    const link = createLink(address);
    startHeartbeatLoop({link, delegate, clock, onFailure}, lifecycle);
    // Closes the link before it waits for the loop, which may await an answer.
    lifecycle.own('link', () => link.close());
    const close = () => lifecycle.close();
    return {address, link, incarnation: undefined, answers: 0, close};
  }
}
