import assert from 'node:assert/strict';
import {
  TaskHistory,
  WorkerRequestFailure,
  type Dispatcher,
} from '@goldcrestpier/dispatch';
import {Lifecycle, readClock, sleep, type Millis} from '@goldcrestpier/runtime';
import {Err, Ok} from 'ts-results-es';
import {Holder} from '../src/holder/index.js';
import {LostResponses} from '../src/holder/lost_responses.js';
import {WorkerPollers} from '../src/holder/worker_pollers.js';
import {ZoneMetrics} from '../src/metrics/index.js';
import type {PollRequest, WorkerPort} from '../src/ports/index.js';
import {
  createDispatcher,
  dispatchOptions,
  failOnCall,
  noopLogger,
  notEvacuated,
  worker,
} from './fixtures/dispatcher.js';
import {testInSimulatedTime as test} from './simulation/simulated_time.js';

/** Counts the polls of an idle worker after this change of the list of workers. */
async function countPolls(
  changeList: (dispatcher: Dispatcher, updatePollers: () => void) => void,
): Promise<number> {
  const dispatcher = createDispatcher(readClock());
  const lifecycle = new Lifecycle('test');
  let pollCount = 0;
  const poll = () => {
    pollCount += 1;
    return Promise.resolve(Ok({clockMs: 5, bornAt: 2, running: [], ended: []}));
  };
  const pollers = new WorkerPollers({
    token: 7,
    dispatcher,
    workerPort: {
      poll,
      start: failOnCall,
      stop: failOnCall,
      lastDisconnectAt: failOnCall,
    },
    lostResponses: new LostResponses(),
    logger: noopLogger,
    metrics: new ZoneMetrics(),
    lifecycle,
    onChange: () => undefined,
    onFenced: failOnCall,
  });
  pollers.updatePollers();
  await sleep(1);
  assert.equal(pollCount, 0);
  changeList(dispatcher, () => pollers.updatePollers());
  await sleep(1);
  await lifecycle.close();
  return pollCount;
}

test('an idle worker is polled when the list shows that it restarted', async () => {
  const pollCount = await countPolls((dispatcher, updatePollers) => {
    dispatcher.setWorkers([{...worker, bornAt: 2}], readClock());
    updatePollers();
  });
  assert.equal(pollCount, 1);
});

test('an idle worker that left the list is polled when it is listed again', async () => {
  const pollCount = await countPolls((dispatcher, updatePollers) => {
    dispatcher.setWorkers([], readClock());
    updatePollers();
    dispatcher.setWorkers([worker], readClock());
    updatePollers();
  });
  assert.equal(pollCount, 1);
});

/** A worker that is idle, and whose process exits and starts again. */
class RestartingWorker {
  readonly polls: PollRequest[] = [];
  /** Why it doesn't answer; undefined if it does. */
  failure: WorkerRequestFailure | undefined;
  bornAt = 1;
  private exitedAt: Millis = -Infinity;

  /** The port to it, which can only poll. */
  readonly port: WorkerPort = {
    poll: request => {
      this.polls.push(request);
      const report = {clockMs: 5, running: [], ended: []};
      const {failure, bornAt} = this;
      return Promise.resolve(
        failure === undefined ? Ok({...report, bornAt}) : Err(failure),
      );
    },
    start: failOnCall,
    stop: failOnCall,
    lastDisconnectAt: () => this.exitedAt,
  };

  /** Its process exits. */
  exit(): void {
    this.failure = WorkerRequestFailure.NotListening;
    this.exitedAt = readClock();
  }

  /** Its next process starts, and fails to answer for this reason. */
  restart(failure?: WorkerRequestFailure): void {
    this.failure = failure;
    this.bornAt += 1;
  }
}

async function withRestartingWorker(
  run: (worker: RestartingWorker) => Promise<void>,
): Promise<void> {
  const restarting = new RestartingWorker();
  const lifecycle = new Lifecycle('test');
  const holder = new Holder({
    zone: 'z',
    history: new TaskHistory(),
    findZoneClient: () => undefined,
    token: 7,
    dispatchOptions,
    evacuation: notEvacuated,
    workerPort: restarting.port,
    logger: noopLogger,
    metrics: new ZoneMetrics(),
    lifecycle,
    onFenced: failOnCall,
  });
  holder.setWorkers({workers: [worker], asOf: readClock(), isReachable: true});
  try {
    await sleep(60);
    assert.equal(restarting.polls.length, 1);
    await run(restarting);
  } finally {
    await lifecycle.close();
  }
}

// Guards against a late start by a process that knows no fencing token.
test('a new holder polls an idle worker that restarts before its entry shows it', async () => {
  await withRestartingWorker(async restarting => {
    restarting.exit();
    restarting.restart();
    await sleep(100);
    assert.equal(restarting.polls.length, 2);
    const [, second] = restarting.polls;
    assert.equal(second?.token, 7);
    assert.equal(second.leaseUntil, undefined);
    assert.equal(second.waitMs, 0);
  });
});

// Guards against a late start by a process that knows no fencing token.
test('a new holder polls the next process of an idle worker soon after its start', async () => {
  await withRestartingWorker(async restarting => {
    restarting.exit();
    await sleep(600);
    assert.ok(restarting.polls.length > 1);
    const pollCount = restarting.polls.length;
    restarting.restart();
    await sleep(120);
    assert.ok(restarting.polls.length > pollCount);
  });
});

test('a new holder soon polls a next process again that did not answer at first', async () => {
  await withRestartingWorker(async restarting => {
    restarting.exit();
    await sleep(600);
    restarting.restart(WorkerRequestFailure.Unanswered);
    await sleep(150);
    restarting.failure = undefined;
    const pollCount = restarting.polls.length;
    await sleep(150);
    assert.ok(restarting.polls.length > pollCount);
  });
});
