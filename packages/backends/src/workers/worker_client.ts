/** Starts tasks on guarded workers under leases that the task owner renews. */
import type {Needs} from '@goldcrestpier/protocol';
import {readClock, type Millis} from '@goldcrestpier/runtime';
import {toErrorOutcome} from '../answers.js';
import {
  ExchangeKind,
  ServerPools,
  type ConnectionLimits,
  type Exchange,
} from '../exchange/index.js';
import type {
  BackendAddress,
  StartOutcome,
  WorkerUsage,
} from '../start_outcome.js';
import {leaseResponseSchema, usageSchema} from './messages.js';
import {
  WorkerLease,
  type LeaseTimes,
  type WorkerConnections,
} from './worker_lease.js';

const LEASES_PATH = '/v1/leases';
const USAGE_PATH = '/v1/usage';
const HTTP_OK = 200;
const HTTP_CREATED = 201;
/** Maximum number of tasks on one worker that an instance polls at once. */
const LONG_POLL_CONNECTIONS = 64;

/** A task as it is sent to a guarded worker. */
export interface WorkerTask {
  readonly job: string;
  readonly task: string;
  readonly needs: Needs;
  readonly payload: unknown;
}

/** Starts tasks on guarded workers. */
export interface WorkerClient {
  /**
   * Starts `task` on `server` at most once, renews its lease and waits for its
   * outcome. When `signal` is aborted or the timeout expires, the worker is
   * asked to stop the task. Never rejects.
   */
  start(
    server: BackendAddress,
    task: WorkerTask,
    times: LeaseTimes,
    timeoutMs: Millis,
    signal: AbortSignal,
  ): Promise<StartOutcome>;
  /** Reads the usage of all tasks of a worker; undefined on any error. */
  readUsage(
    server: BackendAddress,
    timeoutMs: Millis,
  ): Promise<WorkerUsage | undefined>;
}

/** Creates the client that an entry instance uses for all guarded workers. */
export function createWorkerClient(limits: ConnectionLimits): WorkerClient {
  const connections: WorkerConnections = {
    control: new ServerPools(limits),
    longPoll: new ServerPools({
      ...limits,
      connections: LONG_POLL_CONNECTIONS,
    }),
  };
  return {
    start: (server, task, times, timeoutMs, signal) =>
      startUnderLease(connections, server, task, times, timeoutMs, signal),
    async readUsage(server, timeoutMs) {
      const exchange = await connections.control.send({
        address: server.address,
        method: 'GET',
        path: USAGE_PATH,
        timeoutMs,
      });
      if (exchange.kind !== ExchangeKind.Completed) return undefined;
      if (exchange.status !== HTTP_OK) return undefined;
      return usageSchema.safeParse(exchange.body).data;
    },
  };
}

async function startUnderLease(
  connections: WorkerConnections,
  server: BackendAddress,
  task: WorkerTask,
  times: LeaseTimes,
  timeoutMs: Millis,
  signal: AbortSignal,
): Promise<StartOutcome> {
  const startedAt = readClock();
  const exchange = await connections.control.send({
    address: server.address,
    method: 'POST',
    path: LEASES_PATH,
    body: {
      job: task.job,
      task: task.task,
      ...task.needs,
      leaseMs: times.leaseMs,
      payload: task.payload,
    },
    timeoutMs,
    signal,
  });
  const leaseId = readLeaseId(exchange);
  if (leaseId === undefined) return toErrorOutcome(exchange);
  const workerLease = new WorkerLease(
    connections,
    server.address,
    leaseId,
    times,
    startedAt,
  );
  return workerLease.waitForOutcome(startedAt + timeoutMs, signal);
}

function readLeaseId(exchange: Exchange): string | undefined {
  if (exchange.kind !== ExchangeKind.Completed) return undefined;
  if (exchange.status !== HTTP_CREATED) return undefined;
  return leaseResponseSchema.safeParse(exchange.body).data?.lease;
}
