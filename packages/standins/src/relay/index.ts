/**
 * A TCP relay between two parties, with delays and cuts. Connections belong to
 * a link; several relays may share one, so that a whole zone is cut at once.
 */
import {createServer, type Server, type Socket} from 'node:net';
import type {Lifecycle} from '@goldcrestpier/runtime';
import {Cut, Link, type LinkMember} from './link.js';
import {HOST, listenAgain, listenOn} from '../ports/index.js';
import {RelayedConnection} from './relayed_connection.js';

export {Cut, Link, type Delays} from './link.js';

/** Chooses the link of a new connection; undefined closes it. */
export type ChooseLink = (source: Socket) => Link | undefined;

/** What a relay is set up with. */
export interface RelayOptions {
  /** `host:port` that it leads to. */
  readonly target: string;
  /** Port it listens on; a free one where it is absent. */
  readonly port?: number;
  /** The link of all its connections, or a choice by who connects. */
  readonly link: Link | ChooseLink;
}

/** A running relay. */
export interface Relay {
  /** `host:port` that it listens on. */
  readonly address: string;
  /** Connections accepted so far. */
  countAccepted(): number;
}

/** Starts a relay that runs until `lifecycle` closes. */
export async function startRelay(
  options: RelayOptions,
  lifecycle: Lifecycle,
): Promise<Relay> {
  const target = readTarget(options.target);
  const choose = toChoice(options.link);
  const connections = new Set<RelayedConnection>();
  let accepted = 0;
  const server = createServer({allowHalfOpen: true}, source => {
    accepted += 1;
    const link = choose(source);
    if (link === undefined || link.state === Cut.Closed) {
      source.destroy();
      return;
    }
    const connection = new RelayedConnection(source, target, link);
    connections.add(connection);
    source.on('close', () => connections.delete(connection));
  });
  const port = await listenOn(server, options.port ?? 0);
  const listener = new RefusingListener(server, port);
  if (options.link instanceof Link) options.link.addListener(listener);
  lifecycle.own(`relay to ${options.target}`, () => {
    if (options.link instanceof Link) options.link.removeListener(listener);
    listener.cut(Cut.Closed);
    for (const connection of connections) connection.close();
  });
  return {address: `${HOST}:${port}`, countAccepted: () => accepted};
}

/** Refuses connections while the only link behind a listener is closed. */
class RefusingListener implements LinkMember {
  private isWanted = true;

  constructor(
    private readonly server: Server,
    private readonly port: number,
  ) {}

  cut(cut: Cut): void {
    if (cut !== Cut.Closed) return;
    this.isWanted = false;
    if (this.server.listening) this.server.close();
  }

  heal(): void {
    this.isWanted = true;
    void listenAgain(this.server, this.port, () => this.isWanted);
  }
}

function toChoice(link: Link | ChooseLink): ChooseLink {
  return typeof link === 'function' ? link : () => link;
}

function readTarget(address: string) {
  const cut = address.lastIndexOf(':');
  return {host: address.slice(0, cut), port: Number(address.slice(cut + 1))};
}
