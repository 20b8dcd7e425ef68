/**
 * Decides which held servers of a pool get no new grants: those that are
 * leaving, those that fail (ejected), and those where nothing ends (frozen).
 */
import type {GrantEnd} from '@goldcrestpier/peers';
import {ServerState} from '@goldcrestpier/platform';
import type {Millis} from '@goldcrestpier/runtime';
import {EjectionReason} from '../counters.js';
import {HealthState, PoolEjections} from '../ejection/index.js';
import type {HeldServer} from './held_server.js';
import type {PoolThroughput} from './pool_throughput.js';
import type {PoolAllocatorOptions} from './types.js';

/** A server counts as frozen after this many mean run times. */
const FROZEN_AFTER_RUN_TIMES = 8;
/** Minimum time before a server counts as frozen. */
const MIN_FROZEN_MS = 1_500;

/** The servers of one pool that are excluded from new grants. */
export class ServerExclusions {
  private readonly ejections: PoolEjections;

  constructor(
    private readonly options: PoolAllocatorOptions,
    private readonly servers: ReadonlyMap<string, HeldServer>,
    private readonly throughput: PoolThroughput,
  ) {
    this.ejections = new PoolEjections({
      healths: () => [...this.servers.values()].map(({health}) => health),
      rules: () => options.settings().ejection,
    });
  }

  /** Whether a server may get another grant, as far as its state decides. */
  acceptsGrants(held: HeldServer, now: Millis): boolean {
    if (held.isLeaving(now)) return false;
    if (held.isFrozen(this.frozenMs, now)) return false;
    switch (held.health.stateAt(now)) {
      case HealthState.Live:
        return true;
      case HealthState.Probing:
        return held.grants.size === 0;
      case HealthState.Ejected:
        return false;
    }
  }

  /** The state of a server, as shown to operators. */
  stateOf(held: HeldServer, now: Millis): HealthState | ServerState.Leaving {
    if (held.isLeaving(now)) return ServerState.Leaving;
    return held.health.stateAt(now);
  }

  /** Records how a grant ended; failures may eject the server. */
  recordEnd(held: HeldServer, end: GrantEnd, now: Millis): void {
    const reason = this.ejections.record(held.health, end, now);
    if (reason !== undefined) this.report(held, reason);
  }

  /** Reports a server that has become frozen since the last call. */
  reportFrozen(held: HeldServer, now: Millis): void {
    const isFrozen = held.isFrozen(this.frozenMs, now);
    if (isFrozen && !held.wasFrozen) this.report(held, EjectionReason.Frozen);
    held.wasFrozen = isFrozen;
  }

  private report(held: HeldServer, reason: EjectionReason): void {
    const {counters, logger, pool} = this.options;
    counters.ejected(reason, pool);
    const {name: server} = held.server;
    logger.warn('server excluded from new grants', {server, pool, reason});
  }

  private get frozenMs(): Millis {
    return Math.max(
      FROZEN_AFTER_RUN_TIMES * this.throughput.meanRunMs,
      MIN_FROZEN_MS,
    );
  }
}
