import assert from 'node:assert/strict';
import {StartAnswer, TaskHistory, type Job} from '@goldcrestpier/dispatch';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Ok} from 'ts-results-es';
import {createLocalHolderClient} from '../src/instance/holder_client.js';
import {Owner, type HolderClient} from '../src/owner/index.js';
import {ControlledHolder} from './fixtures/controlled_holder.js';
import {createJob, noopLogger, worker} from './fixtures/dispatcher.js';
import {testInSimulatedTime as test} from './simulation/simulated_time.js';

const LABEL = 'labelled';
/** Time in which messages and the holder's work go on, in ms. */
const SETTLE_MS = 5;
const openGate = Promise.resolve();

/** A message that waits on its way until the test delivers it. */
class Gate {
  deliver: () => void = () => undefined;
  readonly opened = new Promise<void>(resolve => {
    this.deliver = resolve;
  });
}

/** A holder that two owners reach over connections that the test delays. */
class ZoneFixture extends ControlledHolder {
  startCount = 0;
  /** Until when answers and cancellations are on their way. */
  answersArrive: Promise<void> = openGate;
  cancellationsArrive: Promise<void> = openGate;
  private readonly owners = new Map<string, Owner>();

  constructor() {
    super({
      start: () => {
        this.startCount += 1;
        return Promise.resolve({answer: StartAnswer.Started, clockMs: 5});
      },
      stop: () => Promise.resolve(Ok(undefined)),
    });
  }

  /** Sends a job from a caller of an instance. */
  async send(
    job: Job,
    ownerId: string,
    caller = new AbortController(),
  ): Promise<string> {
    const answer = await this.findOwner(ownerId).run(job, caller.signal);
    return answer.kind;
  }

  /** Lets the messages and the holder's work go on. */
  async settle(): Promise<void> {
    await sleep(SETTLE_MS);
  }

  /** Changes the labels of the only worker. */
  setLabels(labels: readonly string[]): void {
    const workers = [{...worker, labels}];
    this.holder.setWorkers({workers, asOf: readClock(), isReachable: true});
  }

  private findOwner(id: string): Owner {
    const known = this.owners.get(id);
    if (known !== undefined) return known;
    const client = this.createClient(id);
    const owner = new Owner({
      selfId: id,
      history: new TaskHistory(),
      findHolder: () => client,
      waitForHolderChange: () => new Promise(() => undefined),
      isAlive: () => true,
      holderExpectedAt: () => undefined,
      onHolderUnavailable: () => undefined,
      logger: noopLogger,
      metrics: this.metrics,
    });
    this.owners.set(id, owner);
    return owner;
  }

  private createClient(ownerId: string): HolderClient {
    const local = createLocalHolderClient(this.holder, ownerId);
    return {
      id: local.id,
      submit: async (...submission) => {
        const answer = await local.submit(...submission);
        await this.answersArrive;
        return answer;
      },
      cancel: async (...cancellation) => {
        await this.cancellationsArrive;
        return local.cancel(...cancellation);
      },
    };
  }
}

async function withZone(
  body: (fixture: ZoneFixture, job: Job) => Promise<void>,
): Promise<void> {
  const fixture = new ZoneFixture();
  try {
    await fixture.settle();
    await body(fixture, createJob('a', 1, readClock()));
  } finally {
    await fixture.lifecycle.close();
  }
}

for (const [place, ownerId] of [
  ['the same instance', 'owner-1'],
  ['another instance', 'owner-2'],
] as const) {
  test(`a job that is sent again to ${place} as its caller leaves is not answered for that caller`, () =>
    withZone(async (fixture, job) => {
      const caller = new AbortController();
      void fixture.send(job, 'owner-1', caller);
      caller.abort();
      await Promise.resolve();
      const answer = fixture.send(job, ownerId);
      await fixture.settle();
      fixture.endTask('a');
      assert.equal(await answer, 'completed');
    }));
}

test('a job that is sent again as it is refused is not refused while its tasks start', () =>
  withZone(async (fixture, job) => {
    const steps = job.steps.map(step => ({...step, requiredLabel: LABEL}));
    const labelled = {...job, steps};
    const first = fixture.send(labelled, 'owner-1');
    fixture.setLabels([LABEL]);
    const answer = fixture.send(labelled, 'owner-2');
    assert.equal(await first, 'refused');
    await fixture.settle();
    assert.equal(fixture.startCount, 1);
    fixture.endTask('a');
    assert.equal(await answer, 'completed');
  }));

test('a caller that leaves as its job ends does not cancel the job that it sends next', () =>
  withZone(async (fixture, job) => {
    const answers = new Gate();
    fixture.answersArrive = answers.opened;
    const caller = new AbortController();
    void fixture.send(job, 'owner-1', caller);
    await fixture.settle();
    fixture.endTask('a');
    await fixture.settle();
    caller.abort();
    await fixture.settle();
    answers.deliver();
    const startsBefore = fixture.startCount;
    void fixture.send(job, 'owner-1');
    await fixture.settle();
    assert.ok(fixture.startCount > startsBefore);
  }));

test('a cancellation that arrives late does not cancel the job that was sent again', () =>
  withZone(async (fixture, job) => {
    const cancellations = new Gate();
    fixture.cancellationsArrive = cancellations.opened;
    const caller = new AbortController();
    void fixture.send(job, 'owner-1', caller);
    await fixture.settle();
    caller.abort();
    const answer = fixture.send(job, 'owner-1');
    await fixture.settle();
    cancellations.deliver();
    await fixture.settle();
    fixture.endTask('a');
    assert.equal(await answer, 'completed');
  }));
