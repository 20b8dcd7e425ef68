import {
  readClock,
  sleep,
  type Lifecycle,
  type Logger,
  type Millis,
} from '@goldcrestpier/runtime';
import {PlatformFailureReason, type PlatformFailure} from '../failure.js';
import type {KeyValueClient} from '../key_value/index.js';
import {
  JournalState,
  toJournalKey,
  type JournalEntry,
  type JournalRecord,
} from './record.js';

const MILLIS_PER_SECOND = 1_000;
const MIN_WRITE_INTERVAL_MS = 5_000;
/** Limit on the journal writes per second of all instances together. */
const MAX_FLEET_WRITES_PER_SECOND = 20;
/** How long a journal stays stored after its incarnation has ended. */
const LEASE_TTL_SECONDS = 24 * 60 * 60;
const LEASE_RENEWAL_INTERVAL_MS = (LEASE_TTL_SECONDS * MILLIS_PER_SECOND) / 4;
const MAX_LISTED_OPEN_JOBS = 200;
const MAX_LISTED_FAILURES = 100;

/** The jobs that an incarnation holds at present, without payloads. */
export interface JournalContent {
  readonly openJobs: readonly JournalEntry[];
  readonly recentFailures: readonly JournalEntry[];
}

/** Options of a `JournalWriter`. */
export interface JournalWriterOptions {
  readonly client: KeyValueClient;
  /** `zone.instance.nonce`. */
  readonly incarnation: string;
  readonly getContent: () => JournalContent;
  /** Number of entry instances, which share the write limit. */
  readonly readFleetSize: () => number;
  readonly logger: Logger;
  readonly lifecycle: Lifecycle;
  /** Minimum time between two writes. */
  readonly minIntervalMs?: Millis;
}

/** Returns the write interval that keeps the fleet within its write limit. */
export function computeWriteIntervalMs(
  fleetSize: number,
  minIntervalMs: Millis = MIN_WRITE_INTERVAL_MS,
): Millis {
  const fleetIntervalMs =
    (fleetSize / MAX_FLEET_WRITES_PER_SECOND) * MILLIS_PER_SECOND;
  return Math.max(fleetIntervalMs, minIntervalMs);
}

/** Writes the journal of one incarnation whenever its content has changed. */
export class JournalWriter {
  private lease: string | undefined;
  private renewedAt: Millis = -Infinity;
  private lastWritten = '';
  private isFailing = false;

  constructor(private readonly options: JournalWriterOptions) {}

  /** Writes at an interval, and a final time when the lifecycle closes. */
  start(): void {
    const {lifecycle, logger} = this.options;
    const loop = async (signal: AbortSignal) => {
      // Spreads the writes of instances that start at the same time.
      await sleep(Math.random() * this.computeIntervalMs(), signal);
      while (!signal.aborted) {
        await this.write(readClock(), new Date());
        await sleep(this.computeIntervalMs(), signal);
      }
      await this.writeFinal(readClock(), new Date());
    };
    lifecycle.createChild('journal').run('journal', loop, cause => {
      logger.error('journal writer failed', {cause: String(cause)});
    });
  }

  /** Writes once if the content changed; `now` is monotonic, `at` a date. */
  async write(now: Millis, at: Date): Promise<PlatformFailure | undefined> {
    const content = this.options.getContent();
    const failure =
      (await this.ensureLease(now)) ??
      (await this.writeRecord(JournalState.Running, content, at));
    if (failure?.reason === PlatformFailureReason.LeaseGone)
      this.lease = undefined;
    this.logOutage(failure);
    return failure;
  }

  /** Marks the journal as stopped, or deletes it if it has no jobs. */
  async writeFinal(
    now: Millis,
    at: Date,
  ): Promise<PlatformFailure | undefined> {
    const {openJobs, recentFailures} = this.options.getContent();
    if (openJobs.length + recentFailures.length === 0) {
      const key = toJournalKey(this.options.incarnation);
      const deleted = await this.options.client.delete({key});
      return deleted.isErr() ? deleted.error : undefined;
    }
    const content = {openJobs, recentFailures};
    return (
      (await this.ensureLease(now)) ??
      (await this.writeRecord(JournalState.Stopped, content, at))
    );
  }

  private async ensureLease(now: Millis): Promise<PlatformFailure | undefined> {
    if (
      this.lease !== undefined &&
      now < this.renewedAt + LEASE_RENEWAL_INTERVAL_MS
    ) {
      return undefined;
    }
    const granted =
      this.lease === undefined
        ? await this.options.client.grantLease(LEASE_TTL_SECONDS)
        : await this.options.client.keepLeaseAlive(this.lease);
    if (granted.isErr()) return granted.error;
    if (this.lease !== granted.value.lease) this.lastWritten = '';
    this.lease = granted.value.lease;
    this.renewedAt = now;
    return undefined;
  }

  private async writeRecord(
    state: JournalState,
    content: JournalContent,
    at: Date,
  ): Promise<PlatformFailure | undefined> {
    const record = createRecord(this.options.incarnation, state, content, at);
    const comparableText = JSON.stringify({...record, at: undefined});
    if (comparableText === this.lastWritten) return undefined;
    const written = await this.options.client.put(
      toJournalKey(this.options.incarnation),
      JSON.stringify(record),
      this.lease,
    );
    if (written.isErr()) return written.error;
    this.lastWritten = comparableText;
    return undefined;
  }

  private computeIntervalMs(): Millis {
    const {readFleetSize, minIntervalMs} = this.options;
    return computeWriteIntervalMs(readFleetSize(), minIntervalMs);
  }

  private logOutage(failure: PlatformFailure | undefined): void {
    const hasFailed = failure !== undefined;
    if (hasFailed && !this.isFailing) {
      const {reason, detail} = failure;
      const fields = {reason, detail};
      this.options.logger.warn('failed to write the journal', fields);
    }
    this.isFailing = hasFailed;
  }
}

function createRecord(
  incarnation: string,
  state: JournalState,
  {openJobs, recentFailures}: JournalContent,
  at: Date,
): JournalRecord {
  const listedOpenJobs = openJobs.slice(0, MAX_LISTED_OPEN_JOBS);
  const listedFailures = recentFailures.slice(0, MAX_LISTED_FAILURES);
  const totalCount = openJobs.length + recentFailures.length;
  return {
    incarnation,
    state,
    at: at.toISOString(),
    openJobs: listedOpenJobs,
    recentFailures: listedFailures,
    omitted: totalCount - listedOpenJobs.length - listedFailures.length,
  };
}
