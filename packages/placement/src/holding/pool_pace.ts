/** How fast a pool of held servers works: ends, speeds and idle time. */
import {BackendKind} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {EndRate} from './end_rate.js';
import type {HeldServer} from './held_server.js';
import {IdleShare} from './idle_share.js';

const DEFAULT_RUN_MS = 300;

/** The pace of one pool. */
export class PoolPace {
  readonly idle = new IdleShare();
  private readonly ends = new EndRate();

  constructor(private readonly servers: ReadonlyMap<string, HeldServer>) {}

  /** Counts the end of one run. */
  recordEnd(runMs: Millis | undefined, now: Millis): void {
    this.ends.record(runMs, now);
  }

  /** The mean run time. */
  get meanRunMs(): Millis {
    return this.ends.meanRunMs ?? DEFAULT_RUN_MS;
  }

  /** Ends per millisecond; undefined while too little was seen. */
  measuredEndsPerMs(now: Millis): number | undefined {
    return this.ends.perMs(now);
  }

  /** Mean time between two slots that come free, while all are in use. */
  everyMs(now: Millis): Millis {
    const endsPerMs = this.ends.perMs(now) ?? 0;
    if (endsPerMs > 0) return Math.min(1 / endsPerMs, this.meanRunMs);
    return this.meanRunMs / Math.max(this.countInUse(), 1);
  }

  /** What one more task costs the next one, while there is room. */
  get everyMsIfFree(): Millis {
    let capacity = 0;
    for (const {server} of this.servers.values()) {
      capacity +=
        server.kind === BackendKind.Runner ? server.slots : server.processors;
    }
    return this.meanRunMs / Math.max(capacity, 1);
  }

  /** Mean speed of the grants in use; that of nothing in use is 0. */
  get typicalSpeed(): number {
    let sum = 0;
    for (const {speed, grants} of this.servers.values()) {
      sum += speed.speed * grants.size;
    }
    const inUse = this.countInUse();
    return inUse > 0 ? sum / inUse : 0;
  }

  /** Mean speed of the next slot that comes free; fast ones do so oftener. */
  get nextSpeed(): number {
    let sum = 0;
    let squares = 0;
    for (const {speed, grants} of this.servers.values()) {
      sum += speed.speed * grants.size;
      squares += speed.speed ** 2 * grants.size;
    }
    return sum > 0 ? squares / sum : 1;
  }

  private countInUse(): number {
    let inUse = 0;
    for (const {grants} of this.servers.values()) inUse += grants.size;
    return inUse;
  }
}
