/**
 * Computes heartbeat intervals and timeouts. Peers in the same zone hold the
 * backend servers that this instance starts tasks on, so their heartbeats are
 * more frequent.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Settings of the heartbeat schedule. */
export interface HeartbeatSettings {
  /** Minimum interval between heartbeats to a peer in the same zone, in ms. */
  readonly intervalMs: Millis;
  /**
   * Maximum bytes per second of all heartbeats, sent and received. Frame and
   * packet overhead is not counted, so this is below the 4 KB per second that
   * control traffic may use.
   */
  readonly bytesPerSecond: number;
  /** Number of intervals without a heartbeat until a peer is suspect. */
  readonly missedIntervalsToSuspect: number;
  /** Minimum time without a heartbeat until a peer is suspect, in ms. */
  readonly minTimeoutMs: Millis;
}

/** The default heartbeat settings. */
export const defaultHeartbeatSettings: HeartbeatSettings = {
  intervalMs: 500,
  bytesPerSecond: 3_000,
  missedIntervalsToSuspect: 3.5,
  minTimeoutMs: 1_750,
};

/** Number of peers and the size of one heartbeat exchange. */
export interface ExchangeLoad {
  readonly sameZonePeers: number;
  readonly otherZonePeers: number;
  /** Size of a heartbeat and its answer, in bytes. */
  readonly exchangeBytes: number;
}

/** Factor by which intervals to peers in other zones are longer. */
const OTHER_ZONE_INTERVAL_FACTOR = 2;
/** Jitter as a fraction of the interval; it keeps peers from synchronizing. */
const JITTER_FRACTION = 0.1;

/** The interval to a peer, in ms, extended to stay within the byte budget. */
export function computeInterval(
  load: ExchangeLoad,
  isSameZone: boolean,
  settings: HeartbeatSettings,
): Millis {
  const exchanges =
    load.sameZonePeers + load.otherZonePeers / OTHER_ZONE_INTERVAL_FACTOR;
  const bytes = exchanges * load.exchangeBytes;
  const budgetIntervalMs = (bytes / settings.bytesPerSecond) * 1_000;
  const intervalMs = Math.max(settings.intervalMs, budgetIntervalMs);
  return isSameZone ? intervalMs : intervalMs * OTHER_ZONE_INTERVAL_FACTOR;
}

/** Adds jitter to an interval; `random` is between 0 and 1. */
export function addJitter(intervalMs: Millis, random: number): Millis {
  return intervalMs * (1 - JITTER_FRACTION + 2 * JITTER_FRACTION * random);
}

/** Time without a heartbeat after which a peer is suspect, in ms. */
export function computeTimeout(
  intervalMs: Millis,
  settings: HeartbeatSettings,
): Millis {
  const {missedIntervalsToSuspect, minTimeoutMs} = settings;
  return Math.max(intervalMs * missedIntervalsToSuspect, minTimeoutMs);
}

/** Assumed size of an exchange before the first heartbeat, in bytes. */
const INITIAL_EXCHANGE_BYTES = 1_000;
/** Size of the tRPC envelopes of a heartbeat and its answer, in bytes. */
const ENVELOPE_BYTES = 120;
/** Weight of the newest exchange in the moving average. */
const SMOOTHING_FACTOR = 0.1;

/** Adapts the heartbeat schedule to the number of peers and message sizes. */
export class HeartbeatSchedule {
  private load: ExchangeLoad = {
    sameZonePeers: 0,
    otherZonePeers: 0,
    exchangeBytes: INITIAL_EXCHANGE_BYTES,
  };

  constructor(private readonly settings: HeartbeatSettings) {}

  /** Sets the number of peers in the same zone and in other zones. */
  setPeerCounts(sameZonePeers: number, otherZonePeers: number): void {
    this.load = {...this.load, sameZonePeers, otherZonePeers};
  }

  /** Records a heartbeat's size; its answer is assumed to be as large. */
  recordHeartbeatSize(bytes: number): void {
    const {exchangeBytes} = this.load;
    const newest = 2 * bytes + ENVELOPE_BYTES;
    const mean = exchangeBytes + (newest - exchangeBytes) * SMOOTHING_FACTOR;
    this.load = {...this.load, exchangeBytes: mean};
  }

  /** The current interval between heartbeats to a peer, in ms. */
  interval(isSameZone: boolean): Millis {
    return computeInterval(this.load, isSameZone, this.settings);
  }

  /** Time without a heartbeat after which a peer is suspect, in ms. */
  timeout(isSameZone: boolean): Millis {
    return computeTimeout(this.interval(isSameZone), this.settings);
  }
}
