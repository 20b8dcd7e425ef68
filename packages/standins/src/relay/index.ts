/**
 * TCP relay that adds latency and simulates network partitions. Connections
 * belong to a link. Relays may share a link, so that a whole zone is
 * partitioned at once.
 */
import {createServer, type Server, type Socket} from 'node:net';
import type {Lifecycle} from '@goldcrestpier/runtime';
import {PartitionKind, Link, type LinkObserver} from './link.js';
import {HOST, resumeListening, listenOn} from '../ports/index.js';
import {RelayedConnection} from './relayed_connection.js';

export {PartitionKind, Link, type LinkDelays} from './link.js';

/** Selects the link of a new connection; undefined closes the connection. */
export type LinkSelector = (source: Socket) => Link | undefined;

/** Options of `startRelay`. */
export interface RelayOptions {
  /** `host:port` to which connections are relayed. */
  readonly target: string;
  /** Port to listen on; a free one by default. */
  readonly port?: number;
  /** One link for all connections, or a selector by connection. */
  readonly link: Link | LinkSelector;
}

/** A running relay. */
export interface Relay {
  /** `host:port` on which the relay listens. */
  readonly address: string;
  /** Number of connections accepted in total. */
  countAccepted(): number;
}

/** Starts a relay, which runs until `lifecycle` closes. */
export async function startRelay(
  options: RelayOptions,
  lifecycle: Lifecycle,
): Promise<Relay> {
  const target = parseAddress(options.target);
  const selectLink = toLinkSelector(options.link);
  const connections = new Set<RelayedConnection>();
  let accepted = 0;
  const server = createServer({allowHalfOpen: true}, source => {
    accepted += 1;
    const link = selectLink(source);
    if (link === undefined || link.partitionKind === PartitionKind.Closed) {
      source.destroy();
      return;
    }
    const connection = new RelayedConnection(source, target, link);
    connections.add(connection);
    source.on('close', () => connections.delete(connection));
  });
  const port = await listenOn(server, options.port ?? 0);
  const listener = new RelayListener(server, port);
  if (options.link instanceof Link) options.link.addRelay(listener);
  lifecycle.own(`relay to ${options.target}`, () => {
    if (options.link instanceof Link) options.link.removeRelay(listener);
    listener.onPartition(PartitionKind.Closed);
    for (const connection of connections) connection.close();
  });
  return {address: `${HOST}:${port}`, countAccepted: () => accepted};
}

/** Refuses connections while the relay's only link is partitioned as closed. */
class RelayListener implements LinkObserver {
  private isAccepting = true;

  constructor(
    private readonly server: Server,
    private readonly port: number,
  ) {}

  onPartition(kind: PartitionKind): void {
    if (kind !== PartitionKind.Closed) return;
    this.isAccepting = false;
    if (this.server.listening) this.server.close();
  }

  onHeal(): void {
    this.isAccepting = true;
    void resumeListening(this.server, this.port, () => this.isAccepting);
  }
}

function toLinkSelector(link: Link | LinkSelector): LinkSelector {
  return typeof link === 'function' ? link : () => link;
}

function parseAddress(address: string) {
  const colonIndex = address.lastIndexOf(':');
  return {
    host: address.slice(0, colonIndex),
    port: Number(address.slice(colonIndex + 1)),
  };
}
