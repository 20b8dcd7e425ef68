/**
 * Confirms that the process at a worker's address is the one that a task was
 * placed on. The next process of a worker may have other labels and less
 * capacity, and an idle worker isn't polled. A process that exits closes its
 * connections, so that a worker is polled before a start only after one closed.
 */
import {
  WorkerRequestFailure,
  type Dispatcher,
  type Run,
  type WorkerRecord,
} from '@goldcrestpier/dispatch';
import {readClock, type Lifecycle} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import type {WorkerPort} from '../ports/index.js';

/** Timeout of the poll before a start, in ms. */
const CONFIRMATION_TIMEOUT_MS = 100;

/** Dependencies of a confirmation. */
export interface ProcessConfirmationOptions {
  readonly token: number;
  readonly dispatcher: Dispatcher;
  readonly workerPort: WorkerPort;
  readonly metrics: ZoneMetrics;
  readonly lifecycle: Lifecycle;
  readonly onFenced: (workerId: string) => void;
  readonly onPollFailed: (
    workerId: string,
    failure: WorkerRequestFailure,
  ) => void;
}

/** Tells whether a run's worker is still the process that it was placed on. */
export interface WorkerProcesses {
  /** Whether the run may be started without a poll. */
  isConfirmed(run: Run): boolean;
  /** Polls the run's worker; whether the run may be started after that. */
  confirm(run: Run): Promise<boolean>;
}

/** Polls workers before starts; starts at a time share one poll. */
export class ProcessConfirmation implements WorkerProcesses {
  private readonly pending = new Map<string, Promise<boolean>>();

  constructor(private readonly options: ProcessConfirmationOptions) {}

  /** Whether the run may be started without a poll. */
  isConfirmed(run: Run): boolean {
    const record = this.findRecord(run);
    if (record === undefined || !isExpected(record, run)) return false;
    const {workerPort} = this.options;
    return record.answeredPollSentAt > workerPort.lastDisconnectAt(record.info);
  }

  /** Polls the run's worker; whether the run may be started after that. */
  async confirm(run: Run): Promise<boolean> {
    const record = this.findRecord(run);
    // A poll shows nothing new of a process that is known to have been replaced.
    if (record === undefined || !isSameProcess(record, run)) return false;
    const isAnswered = await this.pollOnce(record);
    const answered = isAnswered ? this.findRecord(run) : undefined;
    const result = describe(answered, run);
    this.options.metrics.confirmations.inc({result});
    return result === 'confirmed';
  }

  private findRecord({workerId}: Run): WorkerRecord | undefined {
    return this.options.dispatcher.workers.get(workerId);
  }

  private pollOnce(record: WorkerRecord): Promise<boolean> {
    const {id} = record.info;
    const pending = this.pending.get(id);
    if (pending !== undefined) return pending;
    const poll = this.poll(record).finally(() => this.pending.delete(id));
    this.pending.set(id, poll);
    return poll;
  }

  /** Sends one poll that renews no lease; false if it wasn't answered. */
  private async poll(record: WorkerRecord): Promise<boolean> {
    const {token, dispatcher, workerPort, lifecycle} = this.options;
    const {info: worker, lastAckedEnd: lastSeen} = record;
    const {signal} = lifecycle;
    const times = {waitMs: 0, marginMs: CONFIRMATION_TIMEOUT_MS};
    const request = {worker, token, lastSeen, leaseUntil: undefined, ...times};
    const sentAt = readClock();
    const result = await workerPort.poll(request, signal);
    if (signal.aborted) return false;
    if (result.isErr()) {
      this.handleFailure(worker.id, result.error);
      return false;
    }
    dispatcher.handleReport(worker.id, result.value, sentAt, readClock());
    return true;
  }

  private handleFailure(workerId: string, failure: WorkerRequestFailure): void {
    const {dispatcher, onFenced, onPollFailed} = this.options;
    if (failure === WorkerRequestFailure.Fenced) {
      onFenced(workerId);
      return;
    }
    dispatcher.handlePollFailure(workerId, failure, readClock());
    onPollFailed(workerId, failure);
  }
}

/** Describes what a poll showed of the process that a run was placed on. */
function describe(
  record: WorkerRecord | undefined,
  run: Run,
): 'confirmed' | 'replaced' | 'unanswered' {
  if (record === undefined) return 'unanswered';
  return isExpected(record, run) ? 'confirmed' : 'replaced';
}

/** Whether the run's process answers, and its entry in the list is known. */
function isExpected(record: WorkerRecord, run: Run): boolean {
  const {hasAcceptedToken, isUnresponsive} = record;
  return hasAcceptedToken && !isUnresponsive && isSameProcess(record, run);
}

function isSameProcess(
  {info, listedBornAt}: WorkerRecord,
  {workerBornAt}: Run,
): boolean {
  return workerBornAt === info.bornAt && listedBornAt === info.bornAt;
}
