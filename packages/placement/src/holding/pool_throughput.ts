/** Throughput of a pool of held servers: completions, speeds and idle time. */
import {BackendKind} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {CompletionRate} from './completion_rate.js';
import type {HeldServer} from './held_server.js';
import {IdleShare} from './idle_share.js';

/** Assumed run time before the first completion. */
const DEFAULT_RUN_MS = 300;

/** Measures the throughput of one pool. */
export class PoolThroughput {
  readonly idle = new IdleShare();
  private readonly completions = new CompletionRate();

  constructor(private readonly servers: ReadonlyMap<string, HeldServer>) {}

  /** Counts the completion of one run. */
  recordCompletion(runMs: Millis | undefined, now: Millis): void {
    this.completions.record(runMs, now);
  }

  /** The mean run time, or a default before the first completion. */
  get meanRunMs(): Millis {
    return this.completions.meanRunMs ?? DEFAULT_RUN_MS;
  }

  /** Completions per millisecond; undefined until enough time was measured. */
  completionsPerMs(now: Millis): number | undefined {
    return this.completions.perMs(now);
  }

  /** Mean time between two freed slots while all slots are in use. */
  slotIntervalMs(now: Millis): Millis {
    const rate = this.completions.perMs(now) ?? 0;
    if (rate > 0) return Math.min(1 / rate, this.meanRunMs);
    return this.meanRunMs / Math.max(this.countInUse(), 1);
  }

  /** Added wait per additional task while slots are free. */
  get idleSlotIntervalMs(): Millis {
    let capacity = 0;
    for (const {server} of this.servers.values()) {
      capacity +=
        server.kind === BackendKind.Runner ? server.slots : server.processors;
    }
    return this.meanRunMs / Math.max(capacity, 1);
  }

  /** Mean speed over the grants in use; 0 when none is in use. */
  get meanSpeed(): number {
    let sum = 0;
    for (const {speed, grants} of this.servers.values()) {
      sum += speed.speed * grants.size;
    }
    const inUse = this.countInUse();
    return inUse > 0 ? sum / inUse : 0;
  }

  /**
   * Expected speed of the next slot to become free. Weighted by speed, because
   * faster servers free their slots more often.
   */
  get nextSlotSpeed(): number {
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
