/** Sends the orders of one process to workers over the simulated network. */
import {StartAnswer, type WorkerReport} from '@goldcrestpier/dispatch';
import {startTimeoutAfterReads, type Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {
  WorkerRequestFailure,
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

/** How long a stop order may go unanswered, in ms. */
const STOP_TIMEOUT_MS = 200;
/** Share of orders sent during a partition that arrive after it. */
const DELIVERED_AFTER_PARTITION_SHARE = 0.4;
/** Maximum delay of an order that is carried out late, in ms. */
const MAX_ORDER_DELAY_MS = 4_000;

/** The share of each worker's orders that is carried out late. */
export interface OrderDelays {
  delayedShareOf(workerId: string): number;
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
  readonly orderDelays: OrderDelays;
}

type Reply<Answer> = (answer: Answer) => void;

/** Sends orders to workers, each of them once. */
export class SimulatedWorkerPort implements WorkerPort {
  constructor(private readonly options: SimulatedWorkerPortOptions) {}

  /** Sends a start order. */
  async start(order: StartRequest): Promise<StartResponse> {
    const {run, token, leaseUntil} = order;
    const {key: task, number: number} = run;
    const needMillis = run.need.cpuMillis;
    const message = {task, run: number, needMillis, token, leaseUntil};
    const result = await this.call<StartResponse>(
      order.worker.id,
      order.timeoutMs,
      (worker, reply) => reply(worker.start(message)),
    );
    if (result.isOk()) return result.value;
    const isRefused = result.error === WorkerRequestFailure.NotListening;
    const answer = isRefused
      ? StartAnswer.NotListening
      : StartAnswer.Unanswered;
    return {answer, clockMs: undefined};
  }

  /** Sends a stop order. */
  async stop(order: StopRequest): Promise<Result<void, WorkerRequestFailure>> {
    const {task, run, token} = order;
    const result = await this.call<boolean>(
      order.worker.id,
      STOP_TIMEOUT_MS,
      (worker, reply) => reply(worker.stop({task, run, token})),
    );
    if (result.isErr()) return result;
    return result.value ? Ok(undefined) : Err(WorkerRequestFailure.Fenced);
  }

  /** Polls a worker for its runs. */
  async poll(
    order: PollRequest,
    signal: AbortSignal,
  ): Promise<Result<WorkerReport, WorkerRequestFailure>> {
    const {token, lastSeen, leaseUntil, waitMs, marginMs} = order;
    const message = {token, lastSeen, leaseUntil, waitMs};
    const result = await this.call<WorkerReport | undefined>(
      order.worker.id,
      waitMs + marginMs,
      (worker, reply) => worker.poll(message, reply),
      signal,
    );
    if (result.isErr()) return result;
    const look = result.value;
    return look === undefined ? Err(WorkerRequestFailure.Fenced) : Ok(look);
  }

  private call<Answer>(
    workerId: string,
    timeoutMs: Millis,
    apply: (worker: SimulatedWorker, reply: Reply<Answer>) => void,
    signal?: AbortSignal,
  ): Promise<Result<Answer, WorkerRequestFailure>> {
    return new Promise(resolve => {
      const settle = (result: Result<Answer, WorkerRequestFailure>) => {
        cancelTimeout();
        resolve(result);
      };
      const giveUp = () => settle(Err(WorkerRequestFailure.Unanswered));
      const cancelTimeout = startTimeoutAfterReads(giveUp, timeoutMs);
      signal?.addEventListener('abort', giveUp, {once: true});
      this.send(workerId, apply, settle);
    });
  }

  /** Delivers the order to the worker, unless it is lost. */
  private send<Answer>(
    workerId: string,
    apply: (worker: SimulatedWorker, reply: Reply<Answer>) => void,
    settle: (result: Result<Answer, WorkerRequestFailure>) => void,
  ): void {
    const {machine, scheduler, network, random, orderDelays, workers} =
      this.options;
    const arrivesAt = network.drawArrival(machine, workerId);
    // An order to one worker process never reaches the next one.
    const bornAt = workers.get(workerId)?.bornAt;
    const isDelayed = random.chance(orderDelays.delayedShareOf(workerId));
    if (isDelayed) {
      const orderDelayMs = random.between(100, MAX_ORDER_DELAY_MS);
      const ignore = () => undefined;
      this.deliverOrder(
        workerId,
        bornAt,
        arrivesAt + orderDelayMs,
        apply,
        ignore,
      );
      return;
    }
    const isPartitioned = !network.isOpen(machine, workerId);
    if (isPartitioned && !random.chance(DELIVERED_AFTER_PARTITION_SHARE))
      return;
    this.deliverOrder(workerId, bornAt, arrivesAt, apply, result => {
      const {process} = this.options;
      // The answer is lost when its connection was cut by a partition.
      if (isPartitioned || !network.isOpen(workerId, machine)) return;
      const backAt = network.drawArrival(workerId, machine);
      scheduler.deliver(backAt, process, () => settle(result));
    });
  }

  private deliverOrder<Answer>(
    workerId: string,
    bornAt: number | undefined,
    at: Millis,
    apply: (worker: SimulatedWorker, reply: Reply<Answer>) => void,
    reply: (result: Result<Answer, WorkerRequestFailure>) => void,
  ): void {
    const {scheduler, workers} = this.options;
    scheduler.deliver(at, undefined, () => {
      const worker = workers.get(workerId);
      if (worker?.bornAt === undefined)
        reply(Err(WorkerRequestFailure.NotListening));
      else if (worker.bornAt !== bornAt)
        reply(Err(WorkerRequestFailure.Unanswered));
      else apply(worker, answer => reply(Ok(answer)));
    });
  }
}
