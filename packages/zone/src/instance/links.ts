/** One link to each neighbour; heartbeats to all of them leave together. */
import type {CallLink} from '@goldcrestpier/peers';
import type {Lifecycle, Millis} from '@goldcrestpier/runtime';
import {ZoneCalls, type ZoneHeartbeat} from '../protocol/index.js';

/**
 * Shortest pause between two heartbeats to one neighbour, in ms. They leave with
 * a step of the instance, which comes every 50 ms: each third one.
 */
const HEARTBEAT_PAUSE_MS = 140;
/** How long a heartbeat waits for its answer, in ms. */
const HEARTBEAT_TIMEOUT_MS = 450;
/** Opens a link that is kept up until its life cycle closes. */
export type OpenLink = (address: string, lifecycle: Lifecycle) => CallLink;

/** What links need. */
export interface LinksOptions {
  readonly openLink: OpenLink;
  readonly lifecycle: Lifecycle;
  /** The heartbeat to send now, to instances of this zone or of others. */
  readonly createHeartbeat: (now: Millis, isForeign: boolean) => ZoneHeartbeat;
  /** Takes the answer to a heartbeat that was sent at `sentAt`. */
  readonly onAnswer: (message: ZoneHeartbeat, sentAt: Millis) => void;
  readonly onRefused: (address: string) => void;
}

interface Neighbour {
  readonly link: CallLink;
  readonly calls: ZoneCalls;
  readonly lifecycle: Lifecycle;
  /** Whether it is an instance of another zone. */
  isForeign: boolean;
  /** Whether a heartbeat waits for its answer. */
  isAsked: boolean;
}

/** Keeps the links that are wanted. */
export class Links {
  private readonly neighbours = new Map<string, Neighbour>();
  private beatAt: Millis = -Infinity;

  constructor(private readonly options: LinksOptions) {}

  /**
   * Opens links to new addresses and closes those that are gone. `foreign` are
   * those of other zones.
   */
  setAddresses(own: readonly string[], foreign: readonly string[]): void {
    const wanted = new Set([...own, ...foreign]);
    for (const address of wanted) {
      if (!this.neighbours.has(address)) this.open(address);
    }
    for (const [address, neighbour] of this.neighbours) {
      neighbour.isForeign = foreign.includes(address);
      if (wanted.has(address)) continue;
      this.neighbours.delete(address);
      void neighbour.lifecycle.close();
    }
  }

  /**
   * Sends a heartbeat, when it is time for one or it is urgent, to each
   * neighbour that is connected and has answered the one before. All leave in
   * one turn of the event loop, so that an instance without work is woken once
   * for them.
   */
  beat(now: Millis, {isUrgent} = {isUrgent: false}): void {
    if (!isUrgent && now - this.beatAt < HEARTBEAT_PAUSE_MS) return;
    this.beatAt = now;
    const {createHeartbeat, onRefused} = this.options;
    const toOwn = createHeartbeat(now, false);
    const toForeign = createHeartbeat(now, true);
    for (const neighbour of this.neighbours.values()) {
      const {link, isForeign, isAsked} = neighbour;
      if (link.isRefused()) onRefused(link.address);
      if (isAsked || !link.isConnected()) continue;
      void this.ask(neighbour, isForeign ? toForeign : toOwn, now);
    }
  }

  /** The calls of a neighbour with whom there is a connection. */
  find(address: string): ZoneCalls | undefined {
    const neighbour = this.neighbours.get(address);
    return neighbour?.link.isConnected() ? neighbour.calls : undefined;
  }

  private open(address: string): void {
    const {openLink} = this.options;
    const lifecycle = this.options.lifecycle.createChild(`to ${address}`);
    const link = openLink(address, lifecycle);
    const calls = new ZoneCalls(link);
    const state = {isForeign: false, isAsked: false};
    this.neighbours.set(address, {link, calls, lifecycle, ...state});
  }

  private async ask(
    neighbour: Neighbour,
    message: ZoneHeartbeat,
    sentAt: Millis,
  ): Promise<void> {
    neighbour.isAsked = true;
    const {calls} = neighbour;
    const result = await calls.heartbeat(message, HEARTBEAT_TIMEOUT_MS);
    neighbour.isAsked = false;
    if (result.isOk()) this.options.onAnswer(result.value, sentAt);
  }
}
