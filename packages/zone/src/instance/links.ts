/** One link to each neighbour, with a heartbeat on each. */
import type {CallLink} from '@goldcrestpier/peers';
import {
  readClock,
  sleep,
  type Lifecycle,
  type Logger,
  type Millis,
} from '@goldcrestpier/runtime';
import {ZoneCalls, type ZoneHeartbeat} from '../protocol/index.js';

/** Pause between two heartbeats to one neighbour, in ms. */
const HEARTBEAT_MS = 150;
/** How long a heartbeat waits for its answer, in ms. */
const HEARTBEAT_TIMEOUT_MS = 450;
/** Opens a link that is kept up until its life cycle closes. */
export type OpenLink = (address: string, lifecycle: Lifecycle) => CallLink;

/** What links need. */
export interface LinksOptions {
  readonly openLink: OpenLink;
  readonly logger: Logger;
  readonly lifecycle: Lifecycle;
  /** The heartbeat to send now. */
  readonly createHeartbeat: () => ZoneHeartbeat;
  /** Takes the answer to a heartbeat that was sent at `sentAt`. */
  readonly onAnswer: (message: ZoneHeartbeat, sentAt: Millis) => void;
  readonly onRefused: (address: string) => void;
}

interface Neighbour {
  readonly link: CallLink;
  readonly calls: ZoneCalls;
  readonly lifecycle: Lifecycle;
}

/** Keeps the links that are wanted. */
export class Links {
  private readonly neighbours = new Map<string, Neighbour>();

  constructor(private readonly options: LinksOptions) {}

  /** Opens links to new addresses and closes those that are gone. */
  setAddresses(addresses: readonly string[]): void {
    const wanted = new Set(addresses);
    for (const address of wanted) {
      if (!this.neighbours.has(address)) this.open(address);
    }
    for (const [address, {lifecycle}] of this.neighbours) {
      if (wanted.has(address)) continue;
      this.neighbours.delete(address);
      void lifecycle.close();
    }
  }

  /** The calls of a neighbour with whom there is a connection. */
  find(address: string): ZoneCalls | undefined {
    const neighbour = this.neighbours.get(address);
    return neighbour?.link.isConnected() ? neighbour.calls : undefined;
  }

  private open(address: string): void {
    const {openLink, logger} = this.options;
    const lifecycle = this.options.lifecycle.createChild(`to ${address}`);
    const link = openLink(address, lifecycle);
    const calls = new ZoneCalls(link);
    this.neighbours.set(address, {link, calls, lifecycle});
    const loop = (signal: AbortSignal) => this.beat(link, calls, signal);
    lifecycle.run('heartbeats', loop, cause => {
      logger.error('heartbeats ended by a fault', {
        address,
        cause: String(cause),
      });
    });
  }

  private async beat(
    link: CallLink,
    calls: ZoneCalls,
    signal: AbortSignal,
  ): Promise<void> {
    const {createHeartbeat, onAnswer, onRefused} = this.options;
    while (!signal.aborted) {
      if (link.isConnected()) {
        const message = createHeartbeat();
        const sentAt = readClock();
        const result = await calls.heartbeat(message, HEARTBEAT_TIMEOUT_MS);
        if (result.isOk()) onAnswer(result.value, sentAt);
      } else if (link.isRefused()) {
        onRefused(link.address);
      }
      await sleep(HEARTBEAT_MS, signal);
    }
  }
}
