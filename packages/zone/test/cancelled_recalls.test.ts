import assert from 'node:assert/strict';
import {
  AbandonReason,
  TaskHistory,
  RunEnd,
  type DelegateCommand,
  type RecallCommand,
} from '@goldcrestpier/dispatch';
import {PeerFailureKind, UnknownReason} from '@goldcrestpier/peers';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Err, Ok} from 'ts-results-es';
import type {TaskDelegator} from '../src/holder/task_delegator.js';
import type {ZoneClient} from '../src/protocol/index.js';
import {createDelegator} from './fixtures/delegator.js';
import {createBusyDispatcher} from './fixtures/dispatcher.js';
import {testInSimulatedTime as test} from './simulation/simulated_time.js';

/** A delegated task whose job is cancelled, and what its zone is asked. */
class CancelledDelegation {
  readonly recalled: string[] = [];
  readonly joined: boolean[] = [];
  readonly dispatcher = createBusyDispatcher(readClock(), new TaskHistory());
  readonly lend: DelegateCommand;
  readonly delegator: TaskDelegator;
  /** Ends the pending delegation call. */
  loseConnection: () => void = () => undefined;

  /** Its zone accepts the recall at the attempt `acceptedAttempt`. */
  constructor(acceptedAttempt: number) {
    const [lend] = this.dispatcher.tick(readClock());
    assert.ok(lend?.kind === 'lend');
    this.lend = lend;
    const kind = PeerFailureKind.Unknown as const;
    const timedOut = Err({kind, reason: UnknownReason.TimedOut});
    const disconnected = Err({kind, reason: UnknownReason.Disconnected});
    const client: Pick<ZoneClient, 'delegateTask' | 'recall'> = {
      delegateTask: ({isJoin}) => {
        this.joined.push(isJoin);
        return new Promise(resolve => {
          this.loseConnection = () => resolve(disconnected);
        });
      },
      recall: ({task}) => {
        this.recalled.push(task);
        const isAccepted = this.recalled.length >= acceptedAttempt;
        return Promise.resolve(isAccepted ? Ok(true) : timedOut);
      },
    };
    this.delegator = createDelegator(this.dispatcher, client);
  }

  /** Cancels the job; returns the recall that is due. */
  cancel(): RecallCommand {
    const now = readClock();
    this.dispatcher.cancel('b', AbandonReason.OwnerLost, now);
    const [recall] = this.dispatcher.tick(now);
    assert.ok(recall?.kind === 'recall');
    return recall;
  }
}

/** Longer than two pauses between recalls, in ms. */
const RECALLS_MS = 500;

test('the recall of a cancelled task is sent again until its zone accepts it', async () => {
  const delegation = new CancelledDelegation(3);
  await delegation.delegator.recall(delegation.cancel());
  await sleep(RECALLS_MS);
  assert.equal(delegation.recalled.length, 3);
  await sleep(RECALLS_MS);
  assert.equal(delegation.recalled.length, 3);
});

test('recalls of a cancelled task that fail together are repeated as one, and its end is not put off', async () => {
  const delegation = new CancelledDelegation(Infinity);
  const recall = delegation.cancel();
  await delegation.delegator.recall(recall);
  const {run} = delegation.lend;
  const {latestEndAt} = run;
  await sleep(20);
  await delegation.delegator.recall(recall);
  assert.equal(run.latestEndAt, latestEndAt);
  await sleep(300);
  delegation.dispatcher.handleDelegatedEnd(run, RunEnd.Stopped, readClock());
  // Two by the dispatcher, one with the first failure, one repeated.
  assert.equal(delegation.recalled.length, 4);
});

test('a cancelled task is not recalled again when its run has ended', async () => {
  const delegation = new CancelledDelegation(Infinity);
  const recall = delegation.cancel();
  const failed = delegation.delegator.recall(recall);
  const {run} = delegation.lend;
  delegation.dispatcher.handleDelegatedEnd(run, RunEnd.Stopped, readClock());
  await failed;
  await sleep(RECALLS_MS);
  assert.equal(delegation.recalled.length, 1);
});

test('the result of a cancelled task is not requested again when the connection is lost, as that could start it', async () => {
  const delegation = new CancelledDelegation(1);
  const delegated = delegation.delegator.delegate(delegation.lend);
  await delegation.delegator.recall(delegation.cancel());
  delegation.loseConnection();
  await Promise.race([delegated, sleep(RECALLS_MS)]);
  assert.deepEqual(delegation.joined, [false]);
  assert.equal(delegation.recalled.length, 2);
});
