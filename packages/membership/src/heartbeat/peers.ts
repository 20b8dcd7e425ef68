/** The addresses that this instance keeps links to, each with its loop. */
import type {PeerLink} from '@goldcrestpier/peers';
import type {Lifecycle, Millis} from '@goldcrestpier/runtime';
import {runPeerLoop, type PeerLoopOwner} from './peer_loop.js';

/** Links at once. */
const MAX_PEERS = 1_024;

/** One address that is kept in touch with. */
export interface Peer {
  readonly address: string;
  readonly link: PeerLink;
  /** The incarnation that last answered there. */
  incarnation: string | undefined;
  /** Heartbeats that were answered there by this incarnation. */
  answers: number;
  close(): Promise<unknown>;
}

/** What keeping peers needs. */
export interface PeersOptions {
  readonly createLink: (address: string) => PeerLink;
  readonly lifecycle: Lifecycle;
  readonly clock: () => Millis;
  readonly onFailure: (cause: unknown) => void;
}

/** Opens and closes links as addresses come and go. */
export class Peers {
  private readonly peers = new Map<string, Peer>();

  constructor(private readonly options: PeersOptions) {}

  /** Every peer. */
  all(): IterableIterator<Peer> {
    return this.peers.values();
  }

  /** The peer at an address. */
  find(address: string): Peer | undefined {
    return this.peers.get(address);
  }

  /** Opens what is wanted and not there, closes what is not wanted. */
  keep(wanted: ReadonlySet<string>, owner: PeerLoopOwner): void {
    for (const [address, peer] of this.peers) {
      if (wanted.has(address)) continue;
      this.peers.delete(address);
      void peer.close();
    }
    for (const address of wanted) {
      if (this.peers.has(address) || this.peers.size >= MAX_PEERS) continue;
      this.peers.set(address, this.open(address, owner));
    }
  }

  private open(address: string, owner: PeerLoopOwner): Peer {
    const {clock, onFailure, createLink} = this.options;
    const lifecycle = this.options.lifecycle.createChild(`peer ${address}`);
    const link = createLink(address);
    runPeerLoop({link, owner, clock, onFailure}, lifecycle);
    // Closed before the loop is waited for, which may wait for an answer.
    lifecycle.own('link', () => link.close());
    const close = () => lifecycle.close();
    return {address, link, incarnation: undefined, answers: 0, close};
  }
}
