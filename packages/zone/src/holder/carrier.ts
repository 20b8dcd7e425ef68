/** Carries out a dispatcher's orders to workers and brings the answers back. */
import {
  RunPhase,
  StartAnswer,
  type Dispatcher,
  type DispatcherOptions,
  type StartCommand,
  type StopCommand,
} from '@goldcrestpier/dispatch';
import {readClock, type Logger} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import type {StartOrder, StartReply, WorkerPort} from '../ports/index.js';
import type {AnswerLosses} from './answer_losses.js';

/** How long an order to start may go unanswered at first, in ms. */
const FIRST_START_MS = 100;
/** The same when it is sent again, in ms. */
const NEXT_START_MS = 200;

/**
 * Answers to an order that was sent again which hold for the first one too.
 * Any other says nothing of the first, which may still be carried out.
 */
const tellOfBoth: ReadonlySet<StartAnswer> = new Set([
  StartAnswer.Started,
  StartAnswer.Fenced,
  StartAnswer.OtherIncarnation,
]);

/** What a carrier needs. */
export interface CarrierOptions {
  readonly token: number;
  readonly bounds: DispatcherOptions;
  readonly port: WorkerPort;
  readonly dispatcher: Dispatcher;
  readonly logger: Logger;
  readonly metrics: ZoneMetrics;
  readonly losses: AnswerLosses;
  /** Called when a worker is about to be given something. */
  readonly onOrder: (workerId: string) => void;
  /** Called when something is known that decisions depend on. */
  readonly onChange: () => void;
  readonly onFenced: (workerId: string) => void;
}

/** Sends orders; one to start is sent again when it is not answered. */
export class Carrier {
  constructor(private readonly options: CarrierOptions) {}

  /** Starts a run. */
  async start({run, payload}: StartCommand): Promise<void> {
    const {bounds, token, dispatcher, onOrder, onChange} = this.options;
    const record = dispatcher.workers.get(run.workerId);
    const sentAt = readClock();
    const clock = record?.clockAt(sentAt);
    if (record === undefined || clock === undefined) {
      dispatcher.handleStartAnswer(run, StartAnswer.Rejected, sentAt);
      return;
    }
    dispatcher.recordLease(run.workerId, sentAt);
    const leaseUntil = Math.floor(clock + bounds.leaseMs);
    const worker = record.info;
    onOrder(run.workerId);
    const timeoutMs = FIRST_START_MS;
    const reply = await this.sendStart({
      worker,
      run,
      payload,
      token,
      leaseUntil,
      timeoutMs,
    });
    const now = readClock();
    if (reply.clockMs !== undefined) record.recordClock(reply.clockMs, now);
    this.noteStart(run.workerId, run.key, reply.answer);
    dispatcher.handleStartAnswer(run, reply.answer, now);
    onChange();
  }

  /** A worker starts a run once, however often it is told to. */
  private async sendStart(order: StartOrder): Promise<StartReply> {
    const {port, losses, metrics} = this.options;
    const {run, worker} = order;
    const first = await port.start(order);
    if (first.answer !== StartAnswer.Unanswered) return first;
    losses.note(worker.id, readClock());
    // A look may have shown it meanwhile, or its job may have been given up.
    if (run.phase !== RunPhase.Starting) return first;
    metrics.retries.inc({order: 'start', reason: first.answer});
    const again = await port.start({...order, timeoutMs: NEXT_START_MS});
    if (tellOfBoth.has(again.answer)) return again;
    // Where it is old, the first was carried out, and the run has ended.
    const isOld = again.answer === StartAnswer.StaleRun;
    const answer = isOld ? StartAnswer.Started : first.answer;
    return {...again, answer};
  }

  private noteStart(worker: string, task: string, answer: StartAnswer): void {
    const {logger, metrics, onFenced} = this.options;
    metrics.starts.inc({answer});
    if (answer === StartAnswer.Started) return;
    logger.warn('start not taken', {worker, task, answer});
    if (answer === StartAnswer.Fenced) onFenced(worker);
  }

  /** Stops a run. */
  async stop(order: StopCommand): Promise<void> {
    const {port, token, logger, dispatcher, onChange} = this.options;
    const {workerId, key: task, runNumber, run} = order;
    const record = dispatcher.workers.get(workerId);
    if (record === undefined) return;
    const worker = record.info;
    const result = await port.stop({worker, task, run: runNumber, token});
    const outcome = result.isOk() ? 'taken' : result.error;
    logger.info('run stopped', {
      worker: workerId,
      task,
      run: runNumber,
      outcome,
    });
    if (run === undefined) return;
    if (result.isOk()) dispatcher.handleStopAccepted(run, readClock());
    onChange();
  }
}
