/** Sends requests of one process to workers over the simulated network. */
import {
  StartAnswer,
  WorkerRequestFailure,
  type Worker,
  type WorkerReport,
} from '@goldcrestpier/dispatch';
import {
  readClock,
  startTimeoutAfterReads,
  type Millis,
} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {
  type PollRequest,
  type StartRequest,
  type StartResponse,
  type StopRequest,
  type WorkerPort,
} from '../../src/ports/index.js';
import {CUT_NOTICE_MS, CutKind} from './connection_cuts.js';
import type {Network} from './network.js';
import type {Random} from './random.js';
import type {SimulatedProcess, Scheduler} from './scheduler.js';
import type {Timeline} from './timeline.js';
import type {SimulatedWorker} from './worker.js';

/** Timeout of a stop request, in ms. */
const STOP_TIMEOUT_MS = 200;
/** Share of requests sent during a partition that arrive after it. */
const DELIVERED_AFTER_PARTITION_SHARE = 0.4;
/** Maximum delay of a request that is executed late, in ms. */
const MAX_REQUEST_DELAY_MS = 4_000;

/** Bounds of the delay of a request that any process may execute, in ms. */
const MIN_LATE_MS = 100;
const MAX_LATE_MS = 12_000;

/** What each worker executes or answers late. */
export interface RequestDelays {
  /** The share that is executed late by the process they were sent to. */
  findDelayedShare(workerId: string): number;
  /** The share that is executed late by whichever process runs then. */
  findLateShare(workerId: string): number;
  /** The longest delay of an answer to a request that is executed in time. */
  findMaxAnswerDelay(workerId: string): Millis;
}

/** Parameters of a port. */
export interface SimulatedWorkerPortOptions {
  /** Name of the machine that the process runs on. */
  readonly machine: string;
  readonly process: SimulatedProcess;
  readonly scheduler: Scheduler;
  readonly network: Network;
  readonly random: Random;
  readonly workers: ReadonlyMap<string, SimulatedWorker>;
  readonly requestDelays: RequestDelays;
  readonly timeline: Timeline;
}

type Respond<Answer> = (answer: Answer) => void;

interface WorkerRequest<Answer> {
  readonly workerId: string;
  /** Describes the request in the timeline. */
  readonly label: string;
  readonly timeoutMs: Millis;
  readonly apply: (worker: SimulatedWorker, respond: Respond<Answer>) => void;
}

/** Sends requests to workers, each once. */
export class SimulatedWorkerPort implements WorkerPort {
  /** When a cut last closed a connection with a request, by worker. */
  private readonly cutAt = new Map<string, Millis>();

  constructor(private readonly options: SimulatedWorkerPortOptions) {}

  /** Sends a start request. */
  async start(request: StartRequest): Promise<StartResponse> {
    const {run, token, leaseUntil, payload, worker: known} = request;
    const {key: task, number: number} = run;
    const needMillis = run.need.cpuMillis;
    const knownBornAt = known.bornAt;
    const details = {needMillis, token, leaseUntil, payload, knownBornAt};
    const message = {task, run: number, ...details};
    const result = await this.call<StartResponse>({
      workerId: known.id,
      label: `start ${task}/${number}`,
      timeoutMs: request.timeoutMs,
      apply: (worker, respond) => respond(worker.start(message)),
    });
    if (result.isOk()) return result.value;
    const isRefused = result.error === WorkerRequestFailure.NotListening;
    const answer = isRefused
      ? StartAnswer.NotListening
      : StartAnswer.Unanswered;
    return {answer, clockMs: undefined};
  }

  /** Sends a stop request. */
  async stop(
    request: StopRequest,
  ): Promise<Result<void, WorkerRequestFailure>> {
    const {task, run, token} = request;
    const result = await this.call<boolean>({
      workerId: request.worker.id,
      label: `stop ${task}/${run}`,
      timeoutMs: STOP_TIMEOUT_MS,
      apply: (worker, respond) => respond(worker.stop({task, run, token})),
    });
    if (result.isErr()) return result;
    return result.value ? Ok(undefined) : Err(WorkerRequestFailure.Fenced);
  }

  /** Polls a worker for its runs. */
  async poll(
    request: PollRequest,
    signal: AbortSignal,
  ): Promise<Result<WorkerReport, WorkerRequestFailure>> {
    const {token, lastSeen, leaseUntil, waitMs, marginMs} = request;
    const message = {token, lastSeen, leaseUntil, waitMs};
    const pollRequest: WorkerRequest<WorkerReport | undefined> = {
      workerId: request.worker.id,
      label: 'poll',
      timeoutMs: waitMs + marginMs,
      apply: (worker, respond) => worker.poll(message, respond),
    };
    const result = await this.call(pollRequest, signal);
    if (result.isErr()) return result;
    const report = result.value;
    return report === undefined ? Err(WorkerRequestFailure.Fenced) : Ok(report);
  }

  /** Returns when the worker last closed its connections by exiting. */
  lastDisconnectAt({id}: Worker): Millis {
    const exitedAt = this.options.workers.get(id)?.exitedAt ?? -Infinity;
    return Math.max(exitedAt, this.cutAt.get(id) ?? -Infinity);
  }

  private call<Answer>(
    request: WorkerRequest<Answer>,
    signal?: AbortSignal,
  ): Promise<Result<Answer, WorkerRequestFailure>> {
    return new Promise(resolve => {
      const settle = (result: Result<Answer, WorkerRequestFailure>) => {
        cancelTimeout();
        stopWatching();
        resolve(result);
      };
      const endUnanswered = () => settle(Err(WorkerRequestFailure.Unanswered));
      const stopWatching = this.watchCuts(request.workerId, endUnanswered);
      const cancelTimeout = startTimeoutAfterReads(
        endUnanswered,
        request.timeoutMs,
      );
      signal?.addEventListener('abort', endUnanswered, {once: true});
      this.send(request, settle);
    });
  }

  /** Delivers the request to the worker, unless it is lost. */
  private send<Answer>(
    request: WorkerRequest<Answer>,
    settle: (result: Result<Answer, WorkerRequestFailure>) => void,
  ): void {
    const {machine, scheduler, network, random, requestDelays, workers} =
      this.options;
    const {workerId, apply} = request;
    const cut = network.cuts.find(machine, workerId);
    if (cut !== undefined) return this.failAtCut(cut, settle);
    if (this.drawLateness(workerId)) return this.sendLate(request);
    const arrivesAt = network.drawArrival(machine, workerId);
    // Only late requests reach the next process of a worker.
    const bornAt = workers.get(workerId)?.bornAt;
    const isDelayed = random.chance(requestDelays.findDelayedShare(workerId));
    if (isDelayed) {
      const requestDelayMs = random.between(100, MAX_REQUEST_DELAY_MS);
      const ignore = () => undefined;
      this.deliverRequest(
        workerId,
        bornAt,
        arrivesAt + requestDelayMs,
        apply,
        ignore,
      );
      return;
    }
    const isPartitioned = !network.isOpen(machine, workerId);
    if (isPartitioned && !random.chance(DELIVERED_AFTER_PARTITION_SHARE))
      return;
    this.deliverRequest(workerId, bornAt, arrivesAt, apply, result => {
      const {process} = this.options;
      // The answer is lost when its connection was cut by a partition.
      if (isPartitioned || !network.isOpen(workerId, machine)) return;
      const backAt = network.drawArrival(workerId, machine);
      const delayMs = this.drawAnswerDelay(workerId);
      scheduler.deliver(backAt + delayMs, process, () => settle(result));
    });
  }

  /** Ends a request when a cut closes its connection. */
  private watchCuts(workerId: string, endUnanswered: () => void): () => void {
    const {machine, process, scheduler, network} = this.options;
    return network.cuts.watch(machine, workerId, () =>
      scheduler.deliver(scheduler.now + CUT_NOTICE_MS, process, () => {
        this.cutAt.set(workerId, readClock());
        endUnanswered();
      }),
    );
  }

  /** Ends a request whose connection can't be opened; it is not sent. */
  private failAtCut<Answer>(
    cut: CutKind,
    settle: (result: Result<Answer, WorkerRequestFailure>) => void,
  ): void {
    const {process, scheduler} = this.options;
    const {NotListening, Unanswered} = WorkerRequestFailure;
    const failure = cut === CutKind.Refuse ? NotListening : Unanswered;
    scheduler.deliver(scheduler.now + CUT_NOTICE_MS, process, () =>
      settle(Err(failure)),
    );
  }

  /** Simulations without late answers keep their random numbers. */
  private drawAnswerDelay(workerId: string): Millis {
    const {random, requestDelays} = this.options;
    const maxMs = requestDelays.findMaxAnswerDelay(workerId);
    return maxMs === 0 ? 0 : random.between(0, maxMs);
  }

  /** Draws whether a request is executed by whichever process runs later. */
  private drawLateness(workerId: string): boolean {
    const {machine, network, random, requestDelays} = this.options;
    const share = requestDelays.findLateShare(workerId);
    // Simulations without such requests keep their sequence of random numbers.
    if (share === 0 || !network.isOpen(machine, workerId)) return false;
    return random.chance(share);
  }

  /** Delivers a request late, and to any process; it gets no answer. */
  private sendLate<Answer>(request: WorkerRequest<Answer>): void {
    const {machine, scheduler, random, workers, timeline} = this.options;
    const {workerId, label, apply} = request;
    const lateMs = random.between(MIN_LATE_MS, MAX_LATE_MS);
    const text = `late by ${Math.round(lateMs)} ms: ${label}`;
    timeline.add(machine, `sends, ${text}`);
    scheduler.deliver(scheduler.now + lateMs, undefined, () => {
      const worker = workers.get(workerId);
      timeline.add(workerId, `receives, ${text} of ${machine}`);
      if (worker?.bornAt !== undefined) apply(worker, () => undefined);
    });
  }

  private deliverRequest<Answer>(
    workerId: string,
    bornAt: number | undefined,
    at: Millis,
    apply: (worker: SimulatedWorker, respond: Respond<Answer>) => void,
    respond: (result: Result<Answer, WorkerRequestFailure>) => void,
  ): void {
    const {scheduler, workers} = this.options;
    scheduler.deliver(at, undefined, () => {
      const worker = workers.get(workerId);
      if (worker?.bornAt === undefined)
        respond(Err(WorkerRequestFailure.NotListening));
      else if (worker.bornAt !== bornAt)
        respond(Err(WorkerRequestFailure.Unanswered));
      else apply(worker, answer => respond(Ok(answer)));
    });
  }
}
