/**
 * How often each peer is sent a heartbeat. Peers of the own zone hold the
 * servers that this instance starts tasks on, so they are heard more often.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Settings of the pace. */
export interface PaceSettings {
  /** Shortest interval to a peer of the own zone, in ms. */
  readonly intervalMs: Millis;
  /**
   * Bytes of heartbeats a second, sent and received, for all peers. Frames
   * and packets come on top, so it is below the 4 KB that control may take.
   */
  readonly bytesPerSecond: number;
  /** Intervals without a sign of life after which a peer is suspect. */
  readonly missesToSuspect: number;
  /** Shortest silence after which a peer is suspect, in ms. */
  readonly minSilenceMs: Millis;
}

/** The settings where none are given. */
export const defaultPaceSettings: PaceSettings = {
  intervalMs: 500,
  bytesPerSecond: 3_000,
  missesToSuspect: 3.5,
  minSilenceMs: 1_750,
};

/** How many peers there are, and what one exchange with one of them costs. */
export interface PeerLoad {
  readonly sameZone: number;
  readonly otherZones: number;
  /** A heartbeat and its answer, in bytes. */
  readonly exchangeBytes: number;
}

/** Intervals to peers of other zones are this much longer. */
const OTHER_ZONE_FACTOR = 2;
/** A share of the interval by which it varies, so that peers do not align. */
const JITTER = 0.1;

/** The interval to a peer, in ms: stretched until all fit the bytes allowed. */
export function chooseInterval(
  load: PeerLoad,
  isSameZone: boolean,
  settings: PaceSettings,
): Millis {
  const exchanges = load.sameZone + load.otherZones / OTHER_ZONE_FACTOR;
  const bytes = exchanges * load.exchangeBytes;
  const fittingMs = (bytes / settings.bytesPerSecond) * 1_000;
  const intervalMs = Math.max(settings.intervalMs, fittingMs);
  return isSameZone ? intervalMs : intervalMs * OTHER_ZONE_FACTOR;
}

/** The interval with jitter; `random` is from 0 to 1. */
export function addJitter(intervalMs: Millis, random: number): Millis {
  return intervalMs * (1 - JITTER + 2 * JITTER * random);
}

/** Silence after which a peer is suspect, in ms. */
export function choosePatience(
  intervalMs: Millis,
  settings: PaceSettings,
): Millis {
  const {missesToSuspect, minSilenceMs} = settings;
  return Math.max(intervalMs * missesToSuspect, minSilenceMs);
}

/** Bytes of an exchange before one has been seen. */
const FIRST_EXCHANGE_BYTES = 1_000;
/** Bytes that tRPC's envelopes add to a heartbeat and its answer. */
const ENVELOPE_BYTES = 120;
/** Weight of the newest exchange in the running mean. */
const NEWEST_SHARE = 0.1;

/** The pace at present. */
export class Pace {
  private load: PeerLoad = {
    sameZone: 0,
    otherZones: 0,
    exchangeBytes: FIRST_EXCHANGE_BYTES,
  };

  constructor(private readonly settings: PaceSettings) {}

  /** Notes how many peers there are. */
  noteCounts(sameZone: number, otherZones: number): void {
    this.load = {...this.load, sameZone, otherZones};
  }

  /** Notes the size of one heartbeat; its answer is about as large. */
  noteHeartbeat(bytes: number): void {
    const {exchangeBytes} = this.load;
    const newest = 2 * bytes + ENVELOPE_BYTES;
    const mean = exchangeBytes + (newest - exchangeBytes) * NEWEST_SHARE;
    this.load = {...this.load, exchangeBytes: mean};
  }

  /** The interval to a peer, in ms. */
  interval(isSameZone: boolean): Millis {
    return chooseInterval(this.load, isSameZone, this.settings);
  }

  /** Silence after which a peer is suspect, in ms. */
  patience(isSameZone: boolean): Millis {
    return choosePatience(this.interval(isSameZone), this.settings);
  }
}
