/** Starts tasks on a service's runners: one request, one answer. */
import type {Millis} from '@goldcrestpier/runtime';
import {toRefusal} from '../answers.js';
import {
  ExchangeKind,
  ServerPools,
  type ConnectionBounds,
  type Exchange,
} from '../exchange/index.js';
import {
  StartKind,
  type BackendAddress,
  type StartOutcome,
} from '../start_outcome.js';

const START_PATH = '/v1/tasks';
const HTTP_OK = 200;

/** What a runner is told of a task. */
export interface RunnerTask {
  readonly job: string;
  readonly task: string;
  readonly payload: unknown;
}

/** Starts tasks on runners. */
export interface RunnerClient {
  /**
   * Starts `task` on `server` at most once and waits for its end. Aborting
   * `signal` closes the connection, which asks the runner to stop. Never
   * rejects.
   */
  start(
    server: BackendAddress,
    task: RunnerTask,
    timeoutMs: Millis,
    signal: AbortSignal,
  ): Promise<StartOutcome>;
}

/** Creates the client of all runners of one entry instance. */
export function createRunnerClient(bounds: ConnectionBounds): RunnerClient {
  const pools = new ServerPools(bounds);
  return {
    async start(server, task, timeoutMs, signal) {
      const exchange = await pools.send({
        address: server.address,
        method: 'POST',
        path: START_PATH,
        body: {job: task.job, task: task.task, payload: task.payload},
        timeoutMs,
        signal,
      });
      return toOutcome(exchange);
    },
  };
}

function toOutcome(exchange: Exchange): StartOutcome {
  if (exchange.kind !== ExchangeKind.Answered) return toRefusal(exchange);
  if (exchange.status !== HTTP_OK) return toRefusal(exchange);
  return readResult(exchange.body, exchange.elapsedMs);
}

function readResult(body: unknown, runMs: Millis): StartOutcome {
  // The result may be any JSON value, null with it, but it has to be there.
  if (typeof body !== 'object' || body === null || !('result' in body)) {
    return {
      kind: StartKind.Failed,
      reason: 'the answer carries no result',
      runMs,
    };
  }
  return {kind: StartKind.Done, result: body.result, runMs};
}
