/** One link to each neighbour; heartbeats to all of them leave together. */
import type {CallLink} from '@goldcrestpier/peers';
import type {Lifecycle, Millis} from '@goldcrestpier/runtime';
import {ZoneCalls, type ZoneHeartbeat} from '../protocol/index.js';
import {News, pauseOf, PING_PAUSE_MS, type Attention} from './attention.js';
import type {LinkedNeighbour} from './zone_view.js';

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

/** Holders of other zones tell each other of free room. */
const foreignAttention: Attention = {news: News.Regular, isClose: false};

interface Neighbour {
  readonly link: CallLink;
  readonly calls: ZoneCalls;
  readonly lifecycle: Lifecycle;
  /** Whether it is an instance of another zone. */
  isForeign: boolean;
  attention: Attention;
  /** When the last heartbeat left, and the last request for a sign of life. */
  askedAt: Millis;
  pingedAt: Millis;
  /** The connection on which a heartbeat was last answered, by its beginning. */
  greetedOn: Millis | undefined;
  /** Whether a heartbeat waits for its answer. */
  isAsked: boolean;
}

/** Keeps the links that are wanted. */
export class Links {
  private readonly neighbours = new Map<string, Neighbour>();
  constructor(private readonly options: LinksOptions) {}

  /**
   * Opens links to new neighbours and closes those that are not wanted any more.
   * `foreign` are addresses in other zones.
   */
  setNeighbours(
    own: readonly LinkedNeighbour[],
    foreign: readonly string[],
  ): void {
    const wanted = new Set<string>(foreign);
    for (const {address, attention} of own) {
      wanted.add(address);
      this.keep(address, attention, false);
    }
    for (const address of foreign) this.keep(address, foreignAttention, true);
    for (const [address, {lifecycle}] of this.neighbours) {
      if (wanted.has(address)) continue;
      this.neighbours.delete(address);
      void lifecycle.close();
    }
  }

  /** Neighbours that have said who they are, with when they last answered. */
  *answered(): Iterable<{readonly address: string; readonly at: Millis}> {
    for (const [address, neighbour] of this.neighbours) {
      const at = neighbour.link.heardAt();
      if (at !== undefined && isGreeted(neighbour)) yield {address, at};
    }
  }

  /**
   * Sends a heartbeat to each neighbour for whom it is time, or to all when it is
   * urgent, but for those that are not connected or have not answered the one
   * before. Who is watched closely is asked for a sign of life between two. All
   * leave in one turn of the event loop, so that an instance without work is
   * woken once for them.
   */
  beat(now: Millis, {isUrgent} = {isUrgent: false}): void {
    const {createHeartbeat, onRefused} = this.options;
    const due: Neighbour[] = [];
    for (const neighbour of this.neighbours.values()) {
      const {link} = neighbour;
      if (link.isRefused()) onRefused(link.address);
      if (!link.isConnected()) continue;
      const isDue = !neighbour.isAsked && isHeartbeatDue(neighbour, now);
      if (isUrgent || isDue) due.push(neighbour);
      else if (isPingDue(neighbour, now)) ping(neighbour, now);
    }
    const messages = new Map<boolean, ZoneHeartbeat>();
    for (const neighbour of due) {
      const {isForeign} = neighbour;
      const message =
        messages.get(isForeign) ?? createHeartbeat(now, isForeign);
      messages.set(isForeign, message);
      void this.ask(neighbour, message, now);
    }
  }

  /** The calls of a neighbour with whom there is a connection. */
  find(address: string): ZoneCalls | undefined {
    const neighbour = this.neighbours.get(address);
    return neighbour?.link.isConnected() ? neighbour.calls : undefined;
  }

  private keep(
    address: string,
    attention: Attention,
    isForeign: boolean,
  ): void {
    const neighbour = this.neighbours.get(address) ?? this.open(address);
    neighbour.attention = attention;
    neighbour.isForeign = isForeign;
  }

  private open(address: string): Neighbour {
    const {openLink} = this.options;
    const lifecycle = this.options.lifecycle.createChild(`to ${address}`);
    const link = openLink(address, lifecycle);
    const calls = new ZoneCalls(link);
    const neighbour: Neighbour = {
      link,
      calls,
      lifecycle,
      isForeign: false,
      isAsked: false,
      attention: foreignAttention,
      askedAt: -Infinity,
      pingedAt: -Infinity,
      greetedOn: undefined,
    };
    this.neighbours.set(address, neighbour);
    return neighbour;
  }

  private async ask(
    neighbour: Neighbour,
    message: ZoneHeartbeat,
    sentAt: Millis,
  ): Promise<void> {
    neighbour.isAsked = true;
    neighbour.askedAt = sentAt;
    const {calls, link} = neighbour;
    const connection = link.connectedAt();
    const result = await calls.heartbeat(message, HEARTBEAT_TIMEOUT_MS);
    neighbour.isAsked = false;
    if (result.isErr()) return;
    neighbour.greetedOn = connection;
    this.options.onAnswer(result.value, sentAt);
  }
}

/** Whether the process at the other end of the connection is known. */
function isGreeted({greetedOn, link}: Neighbour): boolean {
  return greetedOn !== undefined && greetedOn === link.connectedAt();
}

function isHeartbeatDue(neighbour: Neighbour, now: Millis): boolean {
  const {attention, askedAt} = neighbour;
  const news = isGreeted(neighbour) ? attention.news : News.Urgent;
  return now - askedAt >= pauseOf(news);
}

function isPingDue(
  {attention, askedAt, pingedAt}: Neighbour,
  now: Millis,
): boolean {
  if (!attention.isClose) return false;
  return now - Math.max(askedAt, pingedAt) >= PING_PAUSE_MS;
}

function ping(neighbour: Neighbour, now: Millis): void {
  neighbour.pingedAt = now;
  neighbour.link.ping();
}
