/**
 * Simulated network between zones, platform and clients: one link for each
 * ordered pair of them, and the relays that use it.
 */
import type {Lifecycle} from '@goldcrestpier/runtime';
import type {Socket} from 'node:net';
import {
  PartitionKind,
  Link,
  startRelay,
  type LinkDelays,
} from '../relay/index.js';

/** Parties of the network other than the zones. */
export const PLATFORM = 'platform';
export const CLIENTS = 'clients';

/** One-way network delays, in milliseconds. */
export interface NetworkDelays {
  readonly betweenZonesMs: number;
  readonly toClientsMs: number;
}

/** Network of one cluster. */
export class Network {
  private readonly links = new Map<string, Link>();
  private readonly relays = new Map<string, Promise<string>>();

  constructor(
    private readonly delays: NetworkDelays,
    private readonly isRelayed: boolean,
    private readonly lifecycle: Lifecycle,
  ) {}

  /** Returns the link for connections that `from` opens to `to`. */
  link(from: string, to: string): Link {
    const key = `${from}>${to}`;
    const link = this.links.get(key) ?? new Link(this.createDelays(from, to));
    this.links.set(key, link);
    return link;
  }

  /** Returns the address by which `from` reaches `target`, which is in `to`. */
  async route(from: string, to: string, target: string): Promise<string> {
    if (!this.isRelayed || from === to) return target;
    const key = `${from}>${to}>${target}`;
    const relay = this.relays.get(key) ?? this.openRelay(from, to, target);
    this.relays.set(key, relay);
    return relay;
  }

  /**
   * Returns an address by which every party reaches `target`, which is in `to`.
   * `findSource` returns the party that opened a connection.
   */
  async routeFromAnySource(
    to: string,
    target: string,
    findSource: (socket: Socket) => string | undefined,
  ): Promise<string> {
    if (!this.isRelayed) return target;
    const link = (socket: Socket) => this.link(findSource(socket) ?? to, to);
    return (await startRelay({target, link}, this.lifecycle)).address;
  }

  /** Partitions two parties from each other. Throws without relays. */
  partition(a: string, b: string, kind: PartitionKind): void {
    if (!this.isRelayed)
      throw new Error('only a relayed network can be partitioned');
    this.link(a, b).partition(kind);
    this.link(b, a).partition(kind);
  }

  /** Ends the partition between two parties. */
  heal(a: string, b: string): void {
    this.link(a, b).heal();
    this.link(b, a).heal();
  }

  private async openRelay(
    from: string,
    to: string,
    target: string,
  ): Promise<string> {
    const link = this.link(from, to);
    return (await startRelay({target, link}, this.lifecycle)).address;
  }

  private createDelays(from: string, to: string): LinkDelays {
    const oneWayMs = this.getOneWayDelayMs(from, to);
    return {forwardMs: oneWayMs, backwardMs: oneWayMs};
  }

  private getOneWayDelayMs(from: string, to: string): number {
    if (from === to || from === PLATFORM || to === PLATFORM) return 0;
    if (from === CLIENTS || to === CLIENTS) return this.delays.toClientsMs;
    return this.delays.betweenZonesMs;
  }
}
