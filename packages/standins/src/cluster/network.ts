/**
 * The network between zones, platform and clients: one link for each ordered
 * pair of them, and the relays that lead through it.
 */
import type {Lifecycle} from '@goldcrestpier/runtime';
import type {Socket} from 'node:net';
import {Cut, Link, startRelay, type Delays} from '../relay/index.js';

/** The parties beside the zones. */
export const PLATFORM = 'platform';
export const CLIENTS = 'clients';

/** One-way delays of the network, in milliseconds. */
export interface NetworkDelays {
  readonly betweenZonesMs: number;
  readonly toClientsMs: number;
}

/** The network of one cluster. */
export class Network {
  private readonly links = new Map<string, Link>();
  private readonly relays = new Map<string, Promise<string>>();

  constructor(
    private readonly delays: NetworkDelays,
    private readonly isRelayed: boolean,
    private readonly lifecycle: Lifecycle,
  ) {}

  /** The link for connections that `from` opens to `to`. */
  link(from: string, to: string): Link {
    const key = `${from}>${to}`;
    const link = this.links.get(key) ?? new Link(this.readDelays(from, to));
    this.links.set(key, link);
    return link;
  }

  /** The address under which `from` reaches `target` in `to`. */
  async route(from: string, to: string, target: string): Promise<string> {
    if (!this.isRelayed || from === to) return target;
    const key = `${from}>${to}>${target}`;
    const relay = this.relays.get(key) ?? this.openRelay(from, to, target);
    this.relays.set(key, relay);
    return relay;
  }

  /** An address for everyone; `findSource` tells the party that connects. */
  async routeAll(
    to: string,
    target: string,
    findSource: (socket: Socket) => string | undefined,
  ): Promise<string> {
    if (!this.isRelayed) return target;
    const link = (socket: Socket) => this.link(findSource(socket) ?? to, to);
    return (await startRelay({target, link}, this.lifecycle)).address;
  }

  /** Cuts two parties off from each other. */
  cut(a: string, b: string, cut: Cut): void {
    if (!this.isRelayed) throw new Error('only a relayed network can be cut');
    this.link(a, b).cut(cut);
    this.link(b, a).cut(cut);
  }

  /** Ends the cut between two parties. */
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

  private readDelays(from: string, to: string): Delays {
    const oneWayMs = this.readDelay(from, to);
    return {forwardMs: oneWayMs, backwardMs: oneWayMs};
  }

  private readDelay(from: string, to: string): number {
    if (from === to || from === PLATFORM || to === PLATFORM) return 0;
    if (from === CLIENTS || to === CLIENTS) return this.delays.toClientsMs;
    return this.delays.betweenZonesMs;
  }
}
