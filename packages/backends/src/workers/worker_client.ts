/** Starts tasks on guarded workers, under leases that their owner renews. */
import type {Needs} from '@goldcrestpier/protocol';
import {readClock, type Millis} from '@goldcrestpier/runtime';
import {toRefusal} from '../answers.js';
import {
  ExchangeKind,
  ServerPools,
  type ConnectionBounds,
  type Exchange,
} from '../exchange/index.js';
import type {
  BackendAddress,
  StartOutcome,
  WorkerUsage,
} from '../start_outcome.js';
import {leaseSchema, usageSchema} from './messages.js';
import {
  WorkerLease,
  type LeaseTimes,
  type WorkerConnections,
} from './worker_lease.js';

const LEASES_PATH = '/v1/leases';
const USAGE_PATH = '/v1/usage';
const HTTP_OK = 200;
const HTTP_CREATED = 201;
/** Tasks of one instance on one worker that are followed at once. */
const DEFAULT_WAITING_CONNECTIONS = 64;

/** What a guarded worker is told of a task. */
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
   * end. Aborting `signal`, or the end of the time, asks the worker to stop.
   * Never rejects.
   */
  start(
    server: BackendAddress,
    task: WorkerTask,
    times: LeaseTimes,
    timeoutMs: Millis,
    signal: AbortSignal,
  ): Promise<StartOutcome>;
  /** What all tasks of a worker use; undefined when it does not answer. */
  readUsage(
    server: BackendAddress,
    timeoutMs: Millis,
  ): Promise<WorkerUsage | undefined>;
}

/** Creates the client of all guarded workers of one entry instance. */
export function createWorkerClient(bounds: ConnectionBounds): WorkerClient {
  const connections: WorkerConnections = {
    control: new ServerPools(bounds),
    waiting: new ServerPools({
      ...bounds,
      connections: DEFAULT_WAITING_CONNECTIONS,
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
      if (exchange.kind !== ExchangeKind.Answered) return undefined;
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
  const lease = readLease(exchange);
  if (lease === undefined) return toRefusal(exchange);
  const following = new WorkerLease(
    connections,
    server.address,
    lease,
    times,
    startedAt,
  );
  return following.follow(startedAt + timeoutMs, signal);
}

function readLease(exchange: Exchange): string | undefined {
  if (exchange.kind !== ExchangeKind.Answered) return undefined;
  if (exchange.status !== HTTP_CREATED) return undefined;
  return leaseSchema.safeParse(exchange.body).data?.lease;
}
