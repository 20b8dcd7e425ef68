/**
 * Watches one worker for its holder: shows it the holder's token, keeps what
 * runs there under a lease, and takes in what has ended. A worker where nothing
 * runs is left in peace.
 */
import {
  nextEndAt,
  nextOverdueAt,
  type Dispatcher,
  type WorkerRecord,
} from '@goldcrestpier/dispatch';
import {readClock, sleep, Wakeup, type Millis} from '@goldcrestpier/runtime';
import {OrderFailure, type WorkerPort} from '../ports/index.js';
import type {AnswerLosses} from './answer_losses.js';

/** Longest time that a worker may wait for an end before it answers, in ms. */
const LONGEST_WAIT_MS = 400;
/** The same while runs there are unclaimed, whose leases are short, in ms. */
const UNCLAIMED_WAIT_MS = 100;
/** Shortest such time, in ms. */
const SHORTEST_WAIT_MS = 20;
/** Added to the wait before a look counts as unanswered, in ms. */
const MARGIN_MS = 250;
/** The same, and the shortest wait, while answers of workers get lost, in ms. */
const LOSSY_MARGIN_MS = 80;
const LOSSY_WAIT_MS = 60;
/** A worker may be this late with an end while answers get lost, in ms. */
const LATE_END_MS = 30;
/** First and longest pause before a silent worker is looked at again, in ms. */
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 1_000;

/** What a watch needs. */
export interface WorkerWatchOptions {
  readonly workerId: string;
  readonly token: number;
  readonly dispatcher: Dispatcher;
  readonly port: WorkerPort;
  readonly losses: AnswerLosses;
  /** Called when something is known that decisions depend on. */
  readonly onChange: () => void;
  readonly onFenced: () => void;
  readonly onLookFailed: (workerId: string, failure: OrderFailure) => void;
}

/** One task for one worker. */
export class WorkerWatch {
  private readonly wakeup = new Wakeup();
  private failures = 0;

  constructor(private readonly options: WorkerWatchOptions) {}

  /** To be called when the worker has been given something. */
  wake(): void {
    this.wakeup.tell();
  }

  /** Watches until `signal` aborts or the dispatcher drops the worker. */
  async run(signal: AbortSignal): Promise<void> {
    const {workerId, dispatcher} = this.options;
    while (!signal.aborted) {
      const record = dispatcher.workers.get(workerId);
      if (record === undefined) return;
      const isQuiet = record.runs.size === 0 && record.orphans.size === 0;
      if (record.hasAcceptedToken && !record.isUnresponsive && isQuiet) {
        await this.wakeup.wait(signal);
        continue;
      }
      await this.look(signal);
    }
  }

  private async look(signal: AbortSignal): Promise<void> {
    const {workerId, dispatcher, port, token, losses, onChange} = this.options;
    const record = dispatcher.workers.get(workerId);
    if (record === undefined) return;
    const sentAt = readClock();
    const clock = findClock(record, sentAt);
    const waitMs = clock === undefined ? 0 : this.chooseWait(sentAt);
    const leaseUntil = this.chooseLease(clock, sentAt);
    const {info: worker, lastAckedEnd: lastSeen} = record;
    const isLossy = losses.areMany(sentAt, dispatcher.workers.size);
    const marginMs = isLossy ? LOSSY_MARGIN_MS : MARGIN_MS;
    const order = {worker, token, lastSeen, leaseUntil, waitMs, marginMs};
    const result = await port.look(order, signal);
    const now = readClock();
    if (signal.aborted) return;
    if (result.isOk()) {
      this.failures = 0;
      dispatcher.handleReport(workerId, result.value, sentAt, now);
      onChange();
      return;
    }
    await this.takeFailure(result.error, signal);
  }

  /** What only has to be stopped may lapse, if its stops go astray. */
  private chooseLease(
    clock: Millis | undefined,
    now: Millis,
  ): Millis | undefined {
    const {workerId, dispatcher} = this.options;
    if (clock === undefined) return undefined;
    const leaseMs = dispatcher.chooseLease(workerId, now);
    if (leaseMs === undefined) return undefined;
    dispatcher.recordLease(workerId, now);
    return Math.floor(clock + leaseMs);
  }

  private chooseWait(now: Millis): Millis {
    const {workerId, dispatcher, losses} = this.options;
    const record = dispatcher.workers.get(workerId);
    const isUnclaimed = record !== undefined && record.orphans.size > 0;
    const longestMs = isUnclaimed ? UNCLAIMED_WAIT_MS : LONGEST_WAIT_MS;
    if (record !== undefined && losses.areMany(now, dispatcher.workers.size)) {
      // Ends are not left to a single answer that may be lost.
      const untilEnd = nextEndAt(record) + LATE_END_MS - now;
      const wait = Math.max(untilEnd, LOSSY_WAIT_MS);
      return Math.ceil(Math.min(wait, longestMs));
    }
    const overdueAt = record === undefined ? Infinity : nextOverdueAt(record);
    const untilOverdue = overdueAt - now;
    const wait = Math.min(Math.max(untilOverdue, SHORTEST_WAIT_MS), longestMs);
    return Math.ceil(wait);
  }

  private async takeFailure(
    failure: OrderFailure,
    signal: AbortSignal,
  ): Promise<void> {
    const {workerId, dispatcher, losses, onFenced, onLookFailed} = this.options;
    if (failure === OrderFailure.Fenced) {
      onFenced();
      return;
    }
    dispatcher.handlePollFailure(workerId);
    onLookFailed(workerId, failure);
    this.options.onChange();
    const now = readClock();
    const isFirst = this.failures === 0;
    // One that stays silent is gone, which says nothing of other answers.
    if (isFirst && failure === OrderFailure.Unanswered) {
      losses.note(workerId, now);
    }
    if (isFirst && losses.areMany(now, dispatcher.workers.size)) {
      this.failures += 1;
      return;
    }
    const pause = FIRST_PAUSE_MS * 2 ** this.failures;
    this.failures += 1;
    await sleep(Math.min(pause, LONGEST_PAUSE_MS), signal);
  }
}

/** The clock of a worker that answers; a silent one's runs have to lapse. */
function findClock(record: WorkerRecord, now: Millis): Millis | undefined {
  if (record.isUnresponsive || !record.hasAcceptedToken) return undefined;
  return record.clockAt(now);
}
