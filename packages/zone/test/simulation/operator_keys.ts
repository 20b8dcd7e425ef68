/**
 * The operator's keys as one process follows them: a holder reads them all the
 * time, others only when no peer has confirmed them recently.
 */
import {readClock, sleep, type Millis} from '@goldcrestpier/runtime';
import type {EvacuatedZones} from '../../src/ports/index.js';
import type {Snapshot} from './store.js';

const READ_INTERVAL_MS = 100;
/** How long the confirmation of a peer replaces a read, in ms. */
const CONFIRMATION_MS = 1_300;

/** Reads and merges the evacuated zones. */
export class OperatorKeys {
  private readAsOf: Millis | undefined;
  private confirmedAt: Millis | undefined;
  private latest: EvacuatedZones = {revision: 0, zones: []};
  private isAnySeen = false;

  constructor(
    private readonly isHolder: () => boolean,
    private readonly read: () => Promise<Snapshot | undefined>,
  ) {}

  /** The newest known state; undefined before any evacuation was seen. */
  get current(): EvacuatedZones | undefined {
    return this.isAnySeen ? this.latest : undefined;
  }

  /** When the keys were known to be the newest, here or by a peer. */
  get asOf(): Millis | undefined {
    const {readAsOf = this.confirmedAt, confirmedAt = readAsOf} = this;
    if (readAsOf === undefined || confirmedAt === undefined) return undefined;
    return Math.max(readAsOf, confirmedAt);
  }

  /** Records that a peer knew the newest keys at that time. */
  confirm(asOf: Millis): void {
    this.confirmedAt = Math.max(asOf, this.confirmedAt ?? asOf);
  }

  /** Applies what a peer knows, if it is of a higher revision. */
  offer(evacuated: EvacuatedZones): void {
    this.isAnySeen = true;
    if (evacuated.revision > this.latest.revision) this.latest = evacuated;
  }

  /** Follows the keys until `signal` aborts. */
  async follow(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const {confirmedAt = -Infinity} = this;
      const isConfirmed = readClock() < confirmedAt + CONFIRMATION_MS;
      if (this.isHolder() || !isConfirmed) await this.readOnce();
      await sleep(READ_INTERVAL_MS, signal);
    }
  }

  private async readOnce(): Promise<void> {
    const sentAt = readClock();
    const snapshot = await this.read();
    if (snapshot === undefined) return;
    this.readAsOf = sentAt;
    const {evacuated} = snapshot;
    if (evacuated.zones.length > 0) this.isAnySeen = true;
    if (evacuated.revision >= this.latest.revision) this.latest = evacuated;
  }
}
