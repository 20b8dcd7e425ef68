/** Sends requests of one process to workers over the simulated network. */
import {
  StartAnswer,
  WorkerRequestFailure,
  type Worker,
  type WorkerReport,
} from '@goldcrestpier/dispatch';
import {startTimeoutAfterReads, type Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {
  type PollRequest,
  type StartRequest,
  type StartResponse,
  type StopRequest,
  type WorkerPort,
} from '../../src/ports/index.js';
import type {Network} from './network.js';
import type {Random} from './random.js';
import type {SimulatedProcess, Scheduler} from './scheduler.js';
import type {SimulatedWorker} from './worker.js';

/** Timeout of a stop request, in ms. */
const STOP_TIMEOUT_MS = 200;
/** Share of requests sent during a partition that arrive after it. */
const DELIVERED_AFTER_PARTITION_SHARE = 0.4;
/** Maximum delay of a request that is executed late, in ms. */
const MAX_REQUEST_DELAY_MS = 4_000;

/** The share of each worker's requests that is executed late. */
export interface RequestDelays {
  findDelayedShare(workerId: string): number;
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
}

type Respond<Answer> = (answer: Answer) => void;

/** Sends requests to workers, each once. */
export class SimulatedWorkerPort implements WorkerPort {
  constructor(private readonly options: SimulatedWorkerPortOptions) {}

  /** Sends a start request. */
  async start(request: StartRequest): Promise<StartResponse> {
    const {run, token, leaseUntil, payload} = request;
    const {key: task, number: number} = run;
    const needMillis = run.need.cpuMillis;
    const details = {needMillis, token, leaseUntil, payload};
    const message = {task, run: number, ...details};
    const result = await this.call<StartResponse>(
      request.worker.id,
      request.timeoutMs,
      (worker, respond) => respond(worker.start(message)),
    );
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
    const result = await this.call<boolean>(
      request.worker.id,
      STOP_TIMEOUT_MS,
      (worker, respond) => respond(worker.stop({task, run, token})),
    );
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
    const result = await this.call<WorkerReport | undefined>(
      request.worker.id,
      waitMs + marginMs,
      (worker, respond) => worker.poll(message, respond),
      signal,
    );
    if (result.isErr()) return result;
    const report = result.value;
    return report === undefined ? Err(WorkerRequestFailure.Fenced) : Ok(report);
  }

  /** Returns when the worker last closed its connections by exiting. */
  lastDisconnectAt({id}: Worker): Millis {
    return this.options.workers.get(id)?.exitedAt ?? -Infinity;
  }

  private call<Answer>(
    workerId: string,
    timeoutMs: Millis,
    apply: (worker: SimulatedWorker, respond: Respond<Answer>) => void,
    signal?: AbortSignal,
  ): Promise<Result<Answer, WorkerRequestFailure>> {
    return new Promise(resolve => {
      const settle = (result: Result<Answer, WorkerRequestFailure>) => {
        cancelTimeout();
        resolve(result);
      };
      const endUnanswered = () => settle(Err(WorkerRequestFailure.Unanswered));
      const cancelTimeout = startTimeoutAfterReads(endUnanswered, timeoutMs);
      signal?.addEventListener('abort', endUnanswered, {once: true});
      this.send(workerId, apply, settle);
    });
  }

  /** Delivers the request to the worker, unless it is lost. */
  private send<Answer>(
    workerId: string,
    apply: (worker: SimulatedWorker, respond: Respond<Answer>) => void,
    settle: (result: Result<Answer, WorkerRequestFailure>) => void,
  ): void {
    const {machine, scheduler, network, random, requestDelays, workers} =
      this.options;
    const arrivesAt = network.drawArrival(machine, workerId);
    // A request to one worker process never reaches the next one.
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
      scheduler.deliver(backAt, process, () => settle(result));
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
