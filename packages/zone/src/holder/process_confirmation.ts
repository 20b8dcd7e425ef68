/**
 * Confirms that the process at a worker's address is the one that a task was
 * placed on. The next process of a worker may have other labels and less
 * capacity, and an idle worker isn't polled. A process that exits closes its
 * connections, so that a worker is polled before a start after one closed. A
 * proxy in between may keep them open: before a task that needs a label, a
 * worker that was idle is polled in any case.
 */
import {isDeepStrictEqual} from 'node:util';
import {
  WorkerRequestFailure,
  type Dispatcher,
  type Run,
  type Worker,
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

/** Tells whether a worker is still of the kind that a run was placed on. */
export interface WorkerProcesses {
  /** Whether the run may be started without a poll. */
  isConfirmed(run: Run, placedOn: Worker): boolean;
  /** Polls the worker; whether a run may be started there after that. */
  confirm(placedOn: Worker): Promise<boolean>;
}

/** Polls workers before starts; starts at a time share one poll. */
export class ProcessConfirmation implements WorkerProcesses {
  private readonly pending = new Map<string, Promise<boolean>>();

  constructor(private readonly options: ProcessConfirmationOptions) {}

  /** Whether the run may be started without a poll. */
  isConfirmed(run: Run, placedOn: Worker): boolean {
    const record = this.findRecord(placedOn);
    if (record === undefined || !isExpected(record, placedOn)) return false;
    if (run.isBoundToKind && !record.isProcessKnown(readClock())) return false;
    const {workerPort} = this.options;
    return record.answeredPollSentAt > workerPort.lastDisconnectAt(record.info);
  }

  /** Polls the worker; whether a run may be started there after that. */
  async confirm(placedOn: Worker): Promise<boolean> {
    const record = this.findRecord(placedOn);
    // Only the list of workers shows of what kind another process is.
    if (record === undefined || !isSameKind(record, placedOn)) return false;
    const isAnswered = await this.pollOnce(record);
    const answered = isAnswered ? this.findRecord(placedOn) : undefined;
    const result = describe(answered, placedOn);
    this.options.metrics.confirmations.inc({result});
    return result === 'confirmed';
  }

  private findRecord({id}: Worker): WorkerRecord | undefined {
    return this.options.dispatcher.workers.get(id);
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
    const {info: worker} = record;
    const {signal} = lifecycle;
    const times = {waitMs: 0, marginMs: CONFIRMATION_TIMEOUT_MS};
    // The next process numbers its ends anew; it forgets those it is told of.
    const known = {lastSeen: 0, leaseUntil: undefined};
    const request = {worker, token, ...known, ...times};
    const sentAt = readClock();
    const result = await workerPort.poll(request, signal);
    if (signal.aborted) return false;
    if (result.isErr()) {
      this.handleFailure(record, result.error);
      return false;
    }
    dispatcher.handleReport(worker.id, result.value, sentAt, readClock());
    return true;
  }

  private handleFailure(
    {info: {id: workerId}, pendingPollSentAt}: WorkerRecord,
    failure: WorkerRequestFailure,
  ): void {
    const {dispatcher, onFenced, onPollFailed} = this.options;
    const isPolled = pendingPollSentAt !== undefined;
    // The poll that waits has more time, and renews the leases of the runs.
    if (isPolled && failure === WorkerRequestFailure.Unanswered) return;
    if (failure === WorkerRequestFailure.Fenced) {
      onFenced(workerId);
      return;
    }
    dispatcher.handlePollFailure(workerId, failure, readClock());
    onPollFailed(workerId, failure);
  }
}

/** Describes what a poll showed of the worker that a run was placed on. */
function describe(
  record: WorkerRecord | undefined,
  placedOn: Worker,
): 'confirmed' | 'replaced' | 'unanswered' {
  if (record === undefined) return 'unanswered';
  return isExpected(record, placedOn) ? 'confirmed' : 'replaced';
}

/** Whether the worker answers, and is known to be of the expected kind. */
function isExpected(record: WorkerRecord, placedOn: Worker): boolean {
  const {hasAcceptedToken, isUnresponsive} = record;
  return hasAcceptedToken && !isUnresponsive && isSameKind(record, placedOn);
}

/** Whether the entry of the worker's process was read and names this kind. */
function isSameKind(
  {info, listedBornAt}: WorkerRecord,
  placedOn: Worker,
): boolean {
  if (listedBornAt !== info.bornAt) return false;
  if (placedOn === info) return true;
  const {service, address, capacity, labels} = placedOn;
  if (service !== info.service) return false;
  return (
    address === info.address &&
    isDeepStrictEqual(capacity, info.capacity) &&
    isDeepStrictEqual(labels, info.labels)
  );
}
