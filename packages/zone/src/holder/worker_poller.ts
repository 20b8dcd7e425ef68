/**
 * Polls one worker for the holder: sends the fencing token, renews the leases
 * of the runs there, and collects the ends of runs. Idle workers aren't polled.
 */
import {
  findNextEndTime,
  findNextOverdueTime,
  WorkerRequestFailure,
  type Dispatcher,
  type WorkerRecord,
  type WorkerReport,
} from '@goldcrestpier/dispatch';
import {readClock, sleep, Wakeup, type Millis} from '@goldcrestpier/runtime';
import type {WorkerPort} from '../ports/index.js';
import {ConfirmationPace} from './confirmation_pace.js';
import type {LostResponses} from './lost_responses.js';
import type {ProcessWatch} from './process_watch.js';

/** Longest time a worker may hold a poll until a run ends, in ms. */
const MAX_WAIT_MS = 400;
/** The same while it has unclaimed runs, whose leases are short, in ms. */
const UNCLAIMED_WAIT_MS = 100;
/** Shortest time a worker may hold a poll, in ms. */
const MIN_WAIT_MS = 20;
/** Added to the wait before a poll counts as unanswered, in ms. */
const RESPONSE_MARGIN_MS = 250;
/** The same margin, and the shortest wait, while responses get lost, in ms. */
const LOSSY_RESPONSE_MARGIN_MS = 80;
const LOSSY_MIN_WAIT_MS = 60;
/** Allowed delay of a run's end while responses get lost, in ms. */
const LOSSY_END_DELAY_MS = 30;
/** The margin of a poll that only confirms the process of an idle worker, in ms. */
const CONFIRMATION_MARGIN_MS = 100;
/** Bounds of the backoff before a silent worker is polled again, in ms. */
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;

/** Number of listed runs up to which a worker is polled again at once. */
const FEW_LISTED_RUNS = 8;
/** Pause before the next poll for each further run, and at most, in ms. */
const PAUSE_PER_RUN_MS = 0.2;
const MAX_PAUSE_MS = 50;

/** Dependencies of a poller. */
export interface WorkerPollerOptions {
  readonly workerId: string;
  readonly token: number;
  readonly dispatcher: Dispatcher;
  readonly workerPort: WorkerPort;
  readonly lostResponses: LostResponses;
  readonly watch: Pick<ProcessWatch, 'mayCommandsArrive'>;
  /** Called when state that scheduling depends on has changed. */
  readonly onChange: () => void;
  readonly onFenced: () => void;
  readonly onPollFailed: (
    workerId: string,
    failure: WorkerRequestFailure,
  ) => void;
}

/** Polls one worker in a loop. */
export class WorkerPoller {
  private readonly wakeup = new Wakeup();
  private consecutiveFailures = 0;
  /** Whether the process of an idle worker is to be confirmed by a poll. */
  private isConfirmationDue = false;
  private readonly confirmations = new ConfirmationPace();

  constructor(private readonly options: WorkerPollerOptions) {}

  /** Wakes an idle poller after the worker was sent a command. */
  wake(): void {
    this.wakeup.notify();
  }

  /** Polls an idle worker once, as its process may have been replaced. */
  confirmProcess(now: Millis): void {
    const record = this.options.dispatcher.workers.get(this.options.workerId);
    if (record === undefined || !isIdle(record)) return;
    if (!this.confirmations.tryTake(record.info.bornAt, now)) return;
    this.isConfirmationDue = true;
    this.wakeup.notify();
  }

  /** Polls until `signal` aborts or the dispatcher removes the worker. */
  async run(signal: AbortSignal): Promise<void> {
    const {workerId, dispatcher} = this.options;
    while (!signal.aborted) {
      const record = dispatcher.workers.get(workerId);
      if (record === undefined) return;
      if (isIdle(record) && !this.isConfirmationDue) {
        await this.wakeup.wait(signal);
        continue;
      }
      await this.poll(signal);
    }
  }

  private async poll(signal: AbortSignal): Promise<void> {
    const {workerId, dispatcher, workerPort, token, onChange} = this.options;
    const record = dispatcher.workers.get(workerId);
    if (record === undefined) return;
    const sentAt = readClock();
    // The clock of another process is not known.
    const isConfirmation = this.isConfirmationDue && isIdle(record);
    this.isConfirmationDue = false;
    const workerTime = isConfirmation
      ? undefined
      : readWorkerClock(record, sentAt);
    const waitMs = workerTime === undefined ? 0 : this.chooseWait(sentAt);
    const leaseUntil = this.chooseLease(workerTime, sentAt);
    const {info: worker, lastAckedEnd} = record;
    // The next process numbers its ends anew; it forgets those it is told of.
    const lastSeen = workerTime === undefined ? 0 : lastAckedEnd;
    const marginMs = this.chooseMargin(isConfirmation, sentAt);
    const request = {worker, token, lastSeen, leaseUntil, waitMs, marginMs};
    record.pendingPollSentAt = sentAt;
    const result = await workerPort.poll(request, signal);
    record.pendingPollSentAt = undefined;
    const now = readClock();
    if (signal.aborted) return;
    if (result.isOk()) {
      this.consecutiveFailures = 0;
      dispatcher.handleReport(workerId, result.value, sentAt, now);
      onChange();
      const pauseMs = choosePause(result.value);
      if (pauseMs > 0) await sleep(pauseMs, signal);
      return;
    }
    await this.handleFailure(result.error, signal);
  }

  /**
   * Chooses the lease end on the worker's clock; undefined renews nothing, so
   * that unwanted runs expire even if the requests to stop them are lost.
   */
  private chooseLease(
    workerTime: Millis | undefined,
    now: Millis,
  ): Millis | undefined {
    const {workerId, dispatcher} = this.options;
    if (workerTime === undefined) return undefined;
    const leaseMs = dispatcher.chooseLease(workerId, now);
    if (leaseMs === undefined) return undefined;
    dispatcher.recordLease(workerId, now);
    return Math.floor(workerTime + leaseMs);
  }

  private chooseMargin(isConfirmation: boolean, now: Millis): Millis {
    const {dispatcher, lostResponses} = this.options;
    if (lostResponses.isWidespread(now, dispatcher.workers.size))
      return LOSSY_RESPONSE_MARGIN_MS;
    return isConfirmation ? CONFIRMATION_MARGIN_MS : RESPONSE_MARGIN_MS;
  }

  private chooseWait(now: Millis): Millis {
    const {workerId, dispatcher, lostResponses} = this.options;
    const record = dispatcher.workers.get(workerId);
    const isUnclaimed = record !== undefined && record.orphans.size > 0;
    const longestMs = isUnclaimed ? UNCLAIMED_WAIT_MS : MAX_WAIT_MS;
    if (
      record !== undefined &&
      lostResponses.isWidespread(now, dispatcher.workers.size)
    ) {
      // Poll again soon after the expected end, as the response may get lost.
      const untilEnd = findNextEndTime(record) + LOSSY_END_DELAY_MS - now;
      const wait = Math.max(untilEnd, LOSSY_MIN_WAIT_MS);
      return Math.ceil(Math.min(wait, longestMs));
    }
    const overdueAt =
      record === undefined ? Infinity : findNextOverdueTime(record);
    const untilOverdue = overdueAt - now;
    const wait = Math.min(Math.max(untilOverdue, MIN_WAIT_MS), longestMs);
    return Math.ceil(wait);
  }

  private async handleFailure(
    failure: WorkerRequestFailure,
    signal: AbortSignal,
  ): Promise<void> {
    const {workerId, dispatcher, lostResponses} = this.options;
    const {onFenced, onPollFailed} = this.options;
    if (failure === WorkerRequestFailure.Fenced) {
      onFenced();
      return;
    }
    dispatcher.handlePollFailure(workerId, failure, readClock());
    onPollFailed(workerId, failure);
    this.options.onChange();
    const now = readClock();
    const isFirst = this.consecutiveFailures === 0;
    // Only the first failure counts: a worker that stays silent has failed.
    if (isFirst && failure === WorkerRequestFailure.Unanswered) {
      lostResponses.recordLoss(workerId, now);
    }
    if (isFirst && lostResponses.isWidespread(now, dispatcher.workers.size)) {
      this.consecutiveFailures += 1;
      return;
    }
    const backoffMs = MIN_BACKOFF_MS * 2 ** this.consecutiveFailures;
    this.consecutiveFailures += 1;
    const maxBackoffMs = this.chooseMaxBackoff(failure, now);
    await sleep(Math.min(backoffMs, maxBackoffMs), signal);
  }

  private chooseMaxBackoff(failure: WorkerRequestFailure, now: Millis): Millis {
    // Its next process may execute a command of a former holder.
    const mayCommandsArrive = this.options.watch.mayCommandsArrive(now);
    switch (failure) {
      case WorkerRequestFailure.NotListening:
      case WorkerRequestFailure.Unanswered:
        return mayCommandsArrive ? MIN_BACKOFF_MS : MAX_BACKOFF_MS;
      case WorkerRequestFailure.OtherIncarnation:
      case WorkerRequestFailure.Refused:
      case WorkerRequestFailure.Fenced:
        return MAX_BACKOFF_MS;
    }
  }
}

/** Whether the worker answers, and has nothing to be polled for. */
function isIdle(record: WorkerRecord): boolean {
  if (!record.hasAcceptedToken || record.isUnresponsive) return false;
  return record.runs.size === 0 && record.orphans.size === 0;
}

/**
 * Chooses the pause after a report, which lists all runs again whenever one of
 * them ends: with many runs, the ends of several are collected by one poll.
 */
function choosePause({running, ended}: WorkerReport): Millis {
  const others = Math.max(0, running.length + ended.length - FEW_LISTED_RUNS);
  return Math.min(others * PAUSE_PER_RUN_MS, MAX_PAUSE_MS);
}

/**
 * Reads a worker's clock; undefined for an unresponsive worker, so that its
 * leases expire.
 */
function readWorkerClock(
  record: WorkerRecord,
  now: Millis,
): Millis | undefined {
  if (record.isUnresponsive || !record.hasAcceptedToken) return undefined;
  return record.estimateClock(now);
}
