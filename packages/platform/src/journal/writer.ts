import {
  readClock,
  sleep,
  type Lifecycle,
  type Logger,
  type Millis,
} from '@goldcrestpier/runtime';
import {PlatformReason, type PlatformFailure} from '../failure.js';
import type {KeyValueClient} from '../key_value/index.js';
import {
  JournalState,
  toJournalKey,
  type JournalEntry,
  type JournalRecord,
} from './record.js';

const MILLIS_PER_SECOND = 1_000;
const SHORTEST_INTERVAL_MS = 5_000;
/** Writes a second that the journals of all instances together may make. */
const FLEET_WRITES_PER_SECOND = 20;
/** How long a journal outlasts its incarnation. */
const KEPT_SECONDS = 24 * 60 * 60;
const RENEW_MS = (KEPT_SECONDS * MILLIS_PER_SECOND) / 4;
const MOST_OPEN_LISTED = 200;
const MOST_FAILURES_LISTED = 100;

/** What an incarnation holds at present, without payloads. */
export interface JournalContent {
  readonly openJobs: readonly JournalEntry[];
  readonly recentFailures: readonly JournalEntry[];
}

/** What a journal is written with. */
export interface JournalOptions {
  readonly client: KeyValueClient;
  /** `zone.instance.nonce`. */
  readonly incarnation: string;
  readonly describe: () => JournalContent;
  /** How many entry instances there are, to share the writes among them. */
  readonly readFleetSize: () => number;
  readonly logger: Logger;
  readonly lifecycle: Lifecycle;
  /** The shortest time between two writes. */
  readonly shortestIntervalMs?: Millis;
}

/** How long to wait between writes, so that the fleet's stay under the rate. */
export function findJournalInterval(
  fleetSize: number,
  shortestMs: Millis = SHORTEST_INTERVAL_MS,
): Millis {
  const sharedMs = (fleetSize / FLEET_WRITES_PER_SECOND) * MILLIS_PER_SECOND;
  return Math.max(sharedMs, shortestMs);
}

/** Writes what one incarnation holds, whenever that has changed. */
export class JournalWriter {
  private lease: string | undefined;
  private renewedAt: Millis = -Infinity;
  private written = '';
  private wasOut = false;

  constructor(private readonly options: JournalOptions) {}

  /** Writes at an interval, and once more when the life cycle closes. */
  start(): void {
    const {lifecycle, logger} = this.options;
    const loop = async (signal: AbortSignal) => {
      // Instances that start together do not write together.
      await sleep(Math.random() * this.findInterval(), signal);
      while (!signal.aborted) {
        await this.write(readClock(), new Date());
        await sleep(this.findInterval(), signal);
      }
      await this.finish(readClock(), new Date());
    };
    lifecycle.createChild('journal').run('journal', loop, cause => {
      logger.error('the journal ended', {cause: String(cause)});
    });
  }

  /** Writes once if anything changed; `at` is the time of day. */
  async write(now: Millis, at: Date): Promise<PlatformFailure | undefined> {
    const content = this.options.describe();
    const failure =
      (await this.keepLease(now)) ??
      (await this.put(JournalState.Running, content, at));
    if (failure?.reason === PlatformReason.LeaseGone) this.lease = undefined;
    this.noteOutage(failure);
    return failure;
  }

  /** Writes that the incarnation stopped, or nothing if it held nothing. */
  async finish(now: Millis, at: Date): Promise<PlatformFailure | undefined> {
    const {openJobs, recentFailures} = this.options.describe();
    if (openJobs.length + recentFailures.length === 0) {
      const key = toJournalKey(this.options.incarnation);
      const deleted = await this.options.client.delete({key});
      return deleted.isErr() ? deleted.error : undefined;
    }
    const content = {openJobs, recentFailures};
    return (
      (await this.keepLease(now)) ??
      (await this.put(JournalState.Stopped, content, at))
    );
  }

  private async keepLease(now: Millis): Promise<PlatformFailure | undefined> {
    if (this.lease !== undefined && now < this.renewedAt + RENEW_MS) {
      return undefined;
    }
    const kept =
      this.lease === undefined
        ? await this.options.client.grantLease(KEPT_SECONDS)
        : await this.options.client.keepLeaseAlive(this.lease);
    if (kept.isErr()) return kept.error;
    if (this.lease !== kept.value.lease) this.written = '';
    this.lease = kept.value.lease;
    this.renewedAt = now;
    return undefined;
  }

  private async put(
    state: JournalState,
    content: JournalContent,
    at: Date,
  ): Promise<PlatformFailure | undefined> {
    const record = createRecord(this.options.incarnation, state, content, at);
    const text = JSON.stringify({...record, at: undefined});
    if (text === this.written) return undefined;
    const put = await this.options.client.put(
      toJournalKey(this.options.incarnation),
      JSON.stringify(record),
      this.lease,
    );
    if (put.isErr()) return put.error;
    this.written = text;
    return undefined;
  }

  private findInterval(): Millis {
    const {readFleetSize, shortestIntervalMs} = this.options;
    return findJournalInterval(readFleetSize(), shortestIntervalMs);
  }

  private noteOutage(failure: PlatformFailure | undefined): void {
    const isOut = failure !== undefined;
    if (isOut && !this.wasOut) {
      const {reason, detail} = failure;
      const fields = {reason, detail};
      this.options.logger.warn('the journal cannot be written', fields);
    }
    this.wasOut = isOut;
  }
}

function createRecord(
  incarnation: string,
  state: JournalState,
  {openJobs, recentFailures}: JournalContent,
  at: Date,
): JournalRecord {
  const open = openJobs.slice(0, MOST_OPEN_LISTED);
  const failures = recentFailures.slice(0, MOST_FAILURES_LISTED);
  const all = openJobs.length + recentFailures.length;
  return {
    incarnation,
    state,
    at: at.toISOString(),
    openJobs: open,
    recentFailures: failures,
    omitted: all - open.length - failures.length,
  };
}
