/** Starts tasks on the runners of a service, with one HTTP request per task. */
import type {Millis} from '@goldcrestpier/runtime';
import {toErrorOutcome} from '../answers.js';
import {
  ExchangeKind,
  ServerPools,
  type ConnectionLimits,
  type Exchange,
} from '../exchange/index.js';
import {
  StartKind,
  type BackendAddress,
  type StartOutcome,
} from '../start_outcome.js';

const START_PATH = '/v1/tasks';
const HTTP_OK = 200;

/** A task as it is sent to a runner. */
export interface RunnerTask {
  readonly job: string;
  readonly task: string;
  readonly payload: unknown;
}

/** Starts tasks on runners. */
export interface RunnerClient {
  /**
   * Starts `task` on `server` at most once and waits for its outcome. Aborting
   * `signal` closes the connection, which tells the runner to stop the task.
   * Never rejects.
   */
  start(
    server: BackendAddress,
    task: RunnerTask,
    timeoutMs: Millis,
    signal: AbortSignal,
  ): Promise<StartOutcome>;
}

/** Creates the client that an entry instance uses for all runners. */
export function createRunnerClient(limits: ConnectionLimits): RunnerClient {
  const pools = new ServerPools(limits);
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
  if (exchange.kind !== ExchangeKind.Completed) return toErrorOutcome(exchange);
  if (exchange.status !== HTTP_OK) return toErrorOutcome(exchange);
  return readResult(exchange.body, exchange.elapsedMs);
}

function readResult(body: unknown, runMs: Millis): StartOutcome {
  // `result` is required; any JSON value is valid, including null.
  if (typeof body !== 'object' || body === null || !('result' in body)) {
    return {
      kind: StartKind.Failed,
      reason: 'the answer carries no result',
      runMs,
    };
  }
  return {kind: StartKind.Done, result: body.result, runMs};
}
