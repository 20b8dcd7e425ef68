/** Orders of one process to workers over the played network. */
import {StartAnswer, type Look} from '@goldcrestpier/dispatch';
import {startReadingTimeout, type Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {
  OrderFailure,
  type LookOrder,
  type StartOrder,
  type StartReply,
  type StopOrder,
  type WorkerPort,
} from '../../src/ports/index.js';
import type {Network} from './network.js';
import type {Random} from './random.js';
import type {Process, Scheduler} from './scheduler.js';
import type {PlayedWorker} from './worker.js';

/** How long an order to stop may go unanswered, in ms. */
const STOP_TIMEOUT_MS = 200;
/** The share of orders on a cut way that arrive once it is open again. */
const CARRIED_AFTER_CUT = 0.4;
/** An order that is carried out late is at most so late, in ms. */
const LATEST_MS = 4_000;

/** Workers of which a share of the orders is carried out late. */
export interface Lateness {
  shareOf(workerId: string): number;
}

/** What a port needs. */
export interface PlayedPortOptions {
  /** The machine of the process. */
  readonly machine: string;
  readonly process: Process;
  readonly scheduler: Scheduler;
  readonly network: Network;
  readonly random: Random;
  readonly workers: ReadonlyMap<string, PlayedWorker>;
  readonly lateness: Lateness;
}

type Reply<Answer> = (answer: Answer) => void;

/** Sends orders; each is sent once. */
export class PlayedPort implements WorkerPort {
  constructor(private readonly options: PlayedPortOptions) {}

  /** Starts a run. */
  async start(order: StartOrder): Promise<StartReply> {
    const {run, token, leaseUntil} = order;
    const {key: task, run: number} = run;
    const needMillis = run.need.cpuMillis;
    const message = {task, run: number, needMillis, token, leaseUntil};
    const result = await this.ask<StartReply>(
      order.worker.id,
      order.timeoutMs,
      (worker, reply) => reply(worker.start(message)),
    );
    if (result.isOk()) return result.value;
    const isRefused = result.error === OrderFailure.NotListening;
    const answer = isRefused
      ? StartAnswer.NotListening
      : StartAnswer.Unanswered;
    return {answer, clockMs: undefined};
  }

  /** Stops a run. */
  async stop(order: StopOrder): Promise<Result<void, OrderFailure>> {
    const {task, run, token} = order;
    const result = await this.ask<boolean>(
      order.worker.id,
      STOP_TIMEOUT_MS,
      (worker, reply) => reply(worker.stop({task, run, token})),
    );
    if (result.isErr()) return result;
    return result.value ? Ok(undefined) : Err(OrderFailure.Fenced);
  }

  /** Looks at what runs. */
  async look(
    order: LookOrder,
    signal: AbortSignal,
  ): Promise<Result<Look, OrderFailure>> {
    const {token, lastSeen, leaseUntil, waitMs, marginMs} = order;
    const message = {token, lastSeen, leaseUntil, waitMs};
    const result = await this.ask<Look | undefined>(
      order.worker.id,
      waitMs + marginMs,
      (worker, reply) => worker.hold(message, reply),
      signal,
    );
    if (result.isErr()) return result;
    const look = result.value;
    return look === undefined ? Err(OrderFailure.Fenced) : Ok(look);
  }

  private ask<Answer>(
    workerId: string,
    timeoutMs: Millis,
    apply: (worker: PlayedWorker, reply: Reply<Answer>) => void,
    signal?: AbortSignal,
  ): Promise<Result<Answer, OrderFailure>> {
    return new Promise(resolve => {
      const settle = (result: Result<Answer, OrderFailure>) => {
        cancelTimeout();
        resolve(result);
      };
      const giveUp = () => settle(Err(OrderFailure.Unanswered));
      const cancelTimeout = startReadingTimeout(giveUp, timeoutMs);
      signal?.addEventListener('abort', giveUp, {once: true});
      this.send(workerId, apply, settle);
    });
  }

  /** Takes the order to the worker, unless it is lost. */
  private send<Answer>(
    workerId: string,
    apply: (worker: PlayedWorker, reply: Reply<Answer>) => void,
    settle: (result: Result<Answer, OrderFailure>) => void,
  ): void {
    const {machine, scheduler, network, random, lateness, workers} =
      this.options;
    const arrivesAt = network.arrivesAt(machine, workerId);
    // What is on its way to one life never reaches the next.
    const bornAt = workers.get(workerId)?.bornAt;
    const isLate = random.chance(lateness.shareOf(workerId));
    if (isLate) {
      const lateMs = random.between(100, LATEST_MS);
      const ignore = () => undefined;
      this.carryOut(workerId, bornAt, arrivesAt + lateMs, apply, ignore);
      return;
    }
    const isCut = !network.isOpen(machine, workerId);
    if (isCut && !random.chance(CARRIED_AFTER_CUT)) return;
    this.carryOut(workerId, bornAt, arrivesAt, apply, result => {
      const {process} = this.options;
      // Of a connection that was cut the answer comes back no more.
      if (isCut || !network.isOpen(workerId, machine)) return;
      const backAt = network.arrivesAt(workerId, machine);
      scheduler.deliver(backAt, process, () => settle(result));
    });
  }

  private carryOut<Answer>(
    workerId: string,
    bornAt: number | undefined,
    at: Millis,
    apply: (worker: PlayedWorker, reply: Reply<Answer>) => void,
    reply: (result: Result<Answer, OrderFailure>) => void,
  ): void {
    const {scheduler, workers} = this.options;
    scheduler.deliver(at, undefined, () => {
      const worker = workers.get(workerId);
      if (worker?.bornAt === undefined) reply(Err(OrderFailure.NotListening));
      else if (worker.bornAt !== bornAt) reply(Err(OrderFailure.Unanswered));
      else apply(worker, answer => reply(Ok(answer)));
    });
  }
}
