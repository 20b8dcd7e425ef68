/** Sends a dispatcher's commands to workers and reports the responses. */
import {
  RunPhase,
  StartAnswer,
  type Dispatcher,
  type DispatcherOptions,
  type Run,
  type StartCommand,
  type StopCommand,
} from '@goldcrestpier/dispatch';
import {readClock, type Logger} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import type {StartRequest, StartResponse, WorkerPort} from '../ports/index.js';
import type {LostResponses} from './lost_responses.js';
import type {WorkerProcesses} from './process_confirmation.js';

/** Timeout of the first request to start a run, in ms. */
const START_TIMEOUT_MS = 100;
/** Timeout when the request is retried, in ms. */
const START_RETRY_TIMEOUT_MS = 200;

/**
 * Answers to a retried request that settle the first request as well. After any
 * other answer the first request may still take effect.
 */
const conclusiveAnswers: ReadonlySet<StartAnswer> = new Set([
  StartAnswer.Started,
  StartAnswer.Fenced,
  StartAnswer.OtherIncarnation,
]);

/** Dependencies of a command sender. */
export interface CommandSenderOptions {
  readonly token: number;
  readonly dispatchOptions: DispatcherOptions;
  readonly workerPort: WorkerPort;
  readonly dispatcher: Dispatcher;
  readonly logger: Logger;
  readonly metrics: ZoneMetrics;
  readonly lostResponses: LostResponses;
  readonly processes: WorkerProcesses;
  /** Whether this instance is still the holder. */
  readonly isActive: () => boolean;
  /** Called before a command is sent to a worker. */
  readonly onCommand: (workerId: string) => void;
  /** Called when state that scheduling depends on has changed. */
  readonly onChange: () => void;
  readonly onFenced: (workerId: string) => void;
}

/** Sends commands; an unanswered request to start a run is retried once. */
export class CommandSender {
  constructor(private readonly options: CommandSenderOptions) {}

  /** Starts a run and reports the answer to the dispatcher. */
  async start(command: StartCommand): Promise<void> {
    const {run} = command;
    const {dispatcher, processes, onChange} = this.options;
    if (processes.isConfirmed(run) || (await this.confirm(run)))
      return this.startConfirmed(command);
    this.recordStartAnswer(run.workerId, run.key, StartAnswer.NotSent);
    dispatcher.handleStartAnswer(run, StartAnswer.NotSent, readClock());
    onChange();
  }

  /** Polls the run's worker; whether the run is to be started there still. */
  private async confirm(run: Run): Promise<boolean> {
    const {processes, isActive} = this.options;
    const isConfirmed = await processes.confirm(run);
    return isConfirmed && isActive() && run.phase === RunPhase.Starting;
  }

  private async startConfirmed({run, payload}: StartCommand): Promise<void> {
    const {dispatchOptions, token, dispatcher, onCommand, onChange} =
      this.options;
    const record = dispatcher.workers.get(run.workerId);
    const sentAt = readClock();
    const workerTime = record?.estimateClock(sentAt);
    if (record === undefined || workerTime === undefined) {
      dispatcher.handleStartAnswer(run, StartAnswer.Rejected, sentAt);
      return;
    }
    dispatcher.recordLease(run.workerId, sentAt);
    const leaseUntil = Math.floor(workerTime + dispatchOptions.leaseMs);
    const worker = record.info;
    onCommand(run.workerId);
    const timeoutMs = START_TIMEOUT_MS;
    const response = await this.sendStart({
      worker,
      run,
      payload,
      token,
      leaseUntil,
      timeoutMs,
    });
    const now = readClock();
    if (response.clockMs !== undefined)
      record.recordClock(response.clockMs, now);
    this.recordStartAnswer(run.workerId, run.key, response.answer);
    dispatcher.handleStartAnswer(run, response.answer, now);
    onChange();
  }

  /** Sends a start request; a retry is safe, as workers start a run once. */
  private async sendStart(request: StartRequest): Promise<StartResponse> {
    const {workerPort, processes, lostResponses, metrics} = this.options;
    const {run, worker} = request;
    const firstResponse = await workerPort.start(request);
    if (firstResponse.answer !== StartAnswer.Unanswered) return firstResponse;
    lostResponses.recordLoss(worker.id, readClock());
    // A poll may have reported the run meanwhile, or its job was cancelled.
    if (run.phase !== RunPhase.Starting) return firstResponse;
    if (!processes.isConfirmed(run) && !(await this.confirm(run)))
      return firstResponse;
    metrics.retries.inc({order: 'start', reason: firstResponse.answer});
    const retryResponse = await workerPort.start({
      ...request,
      timeoutMs: START_RETRY_TIMEOUT_MS,
    });
    if (conclusiveAnswers.has(retryResponse.answer)) return retryResponse;
    // `StaleRun` means that the first request started the run and it has ended.
    const hasEnded = retryResponse.answer === StartAnswer.StaleRun;
    const answer = hasEnded ? StartAnswer.Started : firstResponse.answer;
    return {...retryResponse, answer};
  }

  private recordStartAnswer(
    worker: string,
    task: string,
    answer: StartAnswer,
  ): void {
    const {logger, metrics, onFenced} = this.options;
    metrics.starts.inc({answer});
    if (answer === StartAnswer.Started) return;
    logger.warn('start request failed', {worker, task, answer});
    if (answer === StartAnswer.Fenced) onFenced(worker);
  }

  /** Stops a run and reports success to the dispatcher. */
  async stop(command: StopCommand): Promise<void> {
    const {workerPort, token, logger, dispatcher, onChange} = this.options;
    const {workerId, key: task, runNumber, run} = command;
    const record = dispatcher.workers.get(workerId);
    if (record === undefined) return;
    const worker = record.info;
    const result = await workerPort.stop({worker, task, run: runNumber, token});
    const outcome = result.isOk() ? 'taken' : result.error;
    logger.info('stop request finished', {
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
