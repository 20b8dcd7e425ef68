/** Sends a dispatcher's commands to workers and reports the responses. */
import {
  RunPhase,
  StartAnswer,
  type Dispatcher,
  type DispatcherOptions,
  type Run,
  type StartCommand,
  type StopCommand,
  type Worker,
} from '@goldcrestpier/dispatch';
import {
  readClock,
  sleep,
  type Logger,
  type Millis,
} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import type {WorkerPort} from '../ports/index.js';
import {WithheldStart, type EvacuationState} from './evacuation_state.js';
import type {LostResponses} from './lost_responses.js';
import type {WorkerProcesses} from './process_confirmation.js';

/** Timeout of the first request to start a run, in ms. */
const START_TIMEOUT_MS = 100;
/** Timeout when the request is repeated, in ms. */
const START_RETRY_TIMEOUT_MS = 200;
/** First pause before it is repeated again, which doubles, and the longest. */
const MIN_START_PAUSE_MS = 20;
const MAX_START_PAUSE_MS = 200;

/** Answers to a request after which it is sent again. */
const repeatedAnswers: ReadonlySet<StartAnswer> = new Set([
  StartAnswer.Unanswered,
  StartAnswer.NotSent,
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
  readonly evacuation: Pick<EvacuationState, 'withholds'>;
  /** Whether this instance is still the holder. */
  readonly isActive: () => boolean;
  /** Called before a command is sent to a worker. */
  readonly onCommand: (workerId: string) => void;
  /** Called when state that scheduling depends on has changed. */
  readonly onChange: () => void;
  readonly onFenced: (workerId: string) => void;
}

/** Sends commands; an unanswered request to start a run is repeated. */
export class CommandSender {
  constructor(private readonly options: CommandSenderOptions) {}

  /** Starts a run and reports the answer to the dispatcher. */
  async start(command: StartCommand): Promise<void> {
    const {dispatcher, onChange} = this.options;
    const {run} = command;
    const answer = await this.sendStart(command);
    this.recordStartAnswer(run.workerId, run.key, answer);
    dispatcher.handleStartAnswer(run, answer, readClock());
    onChange();
  }

  /**
   * Sends a start request until it is answered; repeating it is safe, as a
   * worker starts a run once. Another run of the task is not: the worker may
   * execute any of the unanswered requests late.
   */
  private async sendStart(command: StartCommand): Promise<StartAnswer> {
    const {run} = command;
    const {dispatcher, metrics, isActive} = this.options;
    const placedOn = dispatcher.workers.get(run.workerId)?.info;
    if (placedOn === undefined) return StartAnswer.Rejected;
    if (placedOn.bornAt !== run.workerBornAt) return StartAnswer.NotSent;
    let answer = await this.sendIfSame(command, placedOn, START_TIMEOUT_MS);
    if (answer !== StartAnswer.Unanswered) return answer;
    let pauseMs = MIN_START_PAUSE_MS;
    // A poll may report the run meanwhile, or its job may be cancelled.
    while (isActive() && dispatcher.isStartWanted(run, readClock())) {
      metrics.retries.inc({order: 'start', reason: answer});
      const timeoutMs = START_RETRY_TIMEOUT_MS;
      answer = await this.sendIfSame(command, placedOn, timeoutMs);
      if (!repeatedAnswers.has(answer)) return toConclusiveAnswer(answer);
      await sleep(pauseMs);
      pauseMs = Math.min(2 * pauseMs, MAX_START_PAUSE_MS);
    }
    return StartAnswer.Unanswered;
  }

  /** Sends a start request if the worker is still what it was placed on. */
  private async sendIfSame(
    command: StartCommand,
    placedOn: Worker,
    timeoutMs: Millis,
  ): Promise<StartAnswer> {
    const {processes, isActive} = this.options;
    const {run} = command;
    if (!processes.isConfirmed(run, placedOn)) {
      const isConfirmed = await processes.confirm(placedOn);
      // The poll has listed it: an earlier command has started it.
      if (run.phase === RunPhase.Running) return StartAnswer.Started;
      const isWanted = isActive() && run.phase === RunPhase.Starting;
      if (!isConfirmed || !isWanted) return StartAnswer.NotSent;
    }
    return this.sendStartOnce(command, timeoutMs);
  }

  /** Sends a start request once, with a lease from now on. */
  private async sendStartOnce(
    {run, payload}: StartCommand,
    timeoutMs: Millis,
  ): Promise<StartAnswer> {
    const {dispatchOptions, token, dispatcher, workerPort, onCommand} =
      this.options;
    const {evacuation} = this.options;
    if (evacuation.withholds(WithheldStart.Command)) return StartAnswer.NotSent;
    const record = dispatcher.workers.get(run.workerId);
    const sentAt = readClock();
    const workerTime = record?.estimateClock(sentAt);
    if (record === undefined || workerTime === undefined)
      return StartAnswer.Rejected;
    dispatcher.recordLease(run.workerId, sentAt);
    const leaseUntil = Math.floor(workerTime + dispatchOptions.leaseMs);
    onCommand(run.workerId);
    const {answer, clockMs} = await workerPort.start({
      worker: record.info,
      run,
      payload,
      token,
      leaseUntil,
      timeoutMs,
      isWanted: () => !evacuation.withholds(WithheldStart.Command),
    });
    const now = readClock();
    if (clockMs !== undefined) record.recordClock(clockMs, now);
    if (answer === StartAnswer.Unanswered) this.recordUnanswered(run, now);
    return answer;
  }

  private recordUnanswered(run: Run, now: Millis): void {
    const {dispatcher, lostResponses, logger} = this.options;
    const {workerId: worker, key: task, number} = run;
    logger.warn('start request got no answer', {worker, task, run: number});
    lostResponses.recordLoss(worker, now);
    dispatcher.handleUnansweredStart(run, now);
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
    const sentAt = readClock();
    const result = await workerPort.stop({worker, task, run: runNumber, token});
    const outcome = result.isOk() ? 'taken' : result.error;
    logger.info('stop request finished', {
      worker: workerId,
      task,
      run: runNumber,
      outcome,
    });
    if (run === undefined) return;
    if (result.isOk()) dispatcher.handleStopAccepted(run, sentAt, readClock());
    onChange();
  }
}

/**
 * What the answer to a repeated request says of the run. After a refusal the
 * earlier requests may still take effect.
 */
function toConclusiveAnswer(answer: StartAnswer): StartAnswer {
  switch (answer) {
    case StartAnswer.Started:
    case StartAnswer.Fenced:
    case StartAnswer.OtherIncarnation:
      return answer;
    // An earlier request started the run, and it has ended.
    case StartAnswer.StaleRun:
      return StartAnswer.Started;
    case StartAnswer.Late:
    case StartAnswer.NoRoom:
    case StartAnswer.Unavailable:
    case StartAnswer.NotListening:
    case StartAnswer.NotSent:
    case StartAnswer.Rejected:
    case StartAnswer.Unanswered:
      return StartAnswer.Unanswered;
  }
}
