/**
 * The network between machines, workers, the store and callers, with latency,
 * delays and partitions. Each of them is a node with a name.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {ConnectionCuts} from './connection_cuts.js';
import type {Random} from './random.js';
import type {Scheduler} from './scheduler.js';

/** Name of the store's node. */
export const STORE = 'store';
/** Name of the node of all callers. */
export const CALLERS = 'callers';

/** Selects nodes by name. */
export type Nodes = (name: string) => boolean;

interface Disturbance {
  readonly from: Nodes;
  readonly to: Nodes;
  readonly until: Millis;
  /** Maximum delay of a message; undefined when no message gets through. */
  readonly delayMs: Millis | undefined;
}

const MIN_LATENCY_MS = 0.2;
const USUAL_MAX_LATENCY_MS = 1.5;
/** Upper bound of the latency of a small share of slow messages, in ms. */
const SLOW_MAX_LATENCY_MS = 12;
const SLOW_MESSAGE_SHARE = 0.02;
/** Messages sent during a partition are retransmitted this soon after it. */
const RETRANSMIT_MS = 300;

/** Share of messages that arrive although their sender closed the connection. */
const STALE_DELIVERY_SHARE = 0.5;

/** Computes arrival times and keeps the current disturbances. */
export class Network {
  /** Cuts that end connections, beside those that only block messages. */
  readonly cuts: ConnectionCuts;
  private canDeliverStale = false;
  private disturbances: Disturbance[] = [];

  constructor(
    private readonly scheduler: Scheduler,
    private readonly random: Random,
  ) {
    this.cuts = new ConnectionCuts(scheduler);
  }

  /** Blocks all messages from some nodes to others, in this direction only. */
  partition(from: Nodes, to: Nodes, ms: Millis): void {
    this.addDisturbance(from, to, ms, undefined);
  }

  /** Delays messages from some nodes to others by up to `delayMs`. */
  delay(from: Nodes, to: Nodes, ms: Millis, delayMs: Millis): void {
    this.addDisturbance(from, to, ms, delayMs);
  }

  /** From now on some messages of closed connections are still delivered. */
  allowStaleDelivery(): void {
    this.canDeliverStale = true;
  }

  /** Draws whether a message still arrives after its connection was closed. */
  drawStaleDelivery(): boolean {
    return this.canDeliverStale && this.random.chance(STALE_DELIVERY_SHARE);
  }

  /** Whether no partition blocks messages at the moment. */
  isOpen(from: string, to: string): boolean {
    return this.findOpeningTime(from, to) <= this.scheduler.now;
  }

  /** Draws the time at which a message that is sent now arrives. */
  drawArrival(from: string, to: string): Millis {
    const {random} = this;
    const {now} = this.scheduler;
    const opensAt = this.findOpeningTime(from, to);
    const retransmitMs = opensAt > now ? random.between(0, RETRANSMIT_MS) : 0;
    const isSlow = random.chance(SLOW_MESSAGE_SHARE);
    const latencyMs = random.between(
      MIN_LATENCY_MS,
      isSlow ? SLOW_MAX_LATENCY_MS : USUAL_MAX_LATENCY_MS,
    );
    const maxDelayMs = this.findMaxDelay(from, to);
    return opensAt + retransmitMs + latencyMs + random.between(0, maxDelayMs);
  }

  private addDisturbance(
    from: Nodes,
    to: Nodes,
    ms: Millis,
    delayMs: Millis | undefined,
  ): void {
    const until = this.scheduler.now + ms;
    this.disturbances.push({from, to, until, delayMs});
  }

  private findOpeningTime(from: string, to: string): Millis {
    const {now} = this.scheduler;
    this.disturbances = this.disturbances.filter(({until}) => until > now);
    let opensAt = now;
    for (const disturbance of this.disturbances) {
      if (disturbance.delayMs !== undefined) continue;
      if (disturbance.from(from) && disturbance.to(to))
        opensAt = Math.max(opensAt, disturbance.until);
    }
    return opensAt;
  }

  private findMaxDelay(from: string, to: string): Millis {
    let maxDelayMs = 0;
    for (const disturbance of this.disturbances) {
      if (disturbance.delayMs === undefined) continue;
      if (disturbance.from(from) && disturbance.to(to))
        maxDelayMs = Math.max(maxDelayMs, disturbance.delayMs);
    }
    return maxDelayMs;
  }
}
