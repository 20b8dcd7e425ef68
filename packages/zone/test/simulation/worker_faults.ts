/** Injects faults of workers: crashes, drains, restarts and late requests. */
import type {Millis} from '@goldcrestpier/runtime';
import type {World} from './machine.js';
import type {Random} from './random.js';
import type {DelayedRequests} from './request_delays.js';
import type {SimulatedWorker} from './worker.js';
import {createOtherKind} from './worker_kinds.js';

/** A worker's entry is in the store at most this long after its start. */
const MAX_REGISTRATION_DELAY_MS = 800;
/** Bounds of the time that a quick restart of a worker takes, in ms. */
const MIN_QUICK_RESTART_MS = 50;
const MAX_QUICK_RESTART_MS = 700;
/** Quick restarts are spread over this time, in ms. */
const QUICK_RESTARTS_SPREAD_MS = 6_000;
/** Share of quick restarts after which the worker is of another kind. */
const OTHER_KIND_SHARE = 0.3;
/** Share of quick restarts that the store shows at once. */
const SHOWN_AT_ONCE_SHARE = 0.4;

/** Largest share of the workers that slow down or answer late at a time. */
const DISTURBED_SHARE = 0.5;
/** Bounds of the factor by which runs take longer. */
const MIN_SLOW_FACTOR = 1.5;
const MAX_SLOW_FACTOR = 8;
/** Bounds of the longest delay of an answer, in ms. */
const MIN_ANSWER_DELAY_MS = 50;
const MAX_ANSWER_DELAY_MS = 900;

/** Injects faults of workers. */
export class WorkerFaults {
  constructor(
    private readonly world: World,
    private readonly delayedRequests: DelayedRequests,
    private readonly random: Random,
  ) {}

  /** Crashes some workers. */
  crashWorkers(): void {
    for (const worker of this.chooseWorkers(0.4)) this.crash(worker);
  }

  /** Drains workers, which exit some time later. */
  drainWorkers(): void {
    const {random, world} = this;
    for (const worker of this.chooseWorkers(0.3)) {
      this.log(`${worker.id} drains`);
      worker.drain();
      world.store.putWorker(worker);
      const exitDelayMs = random.between(300, 3_000);
      world.scheduler.runAfter(exitDelayMs, () => this.crash(worker));
    }
  }

  /** Crashes a worker and starts it again some time later. */
  crash(worker: SimulatedWorker): void {
    const {random, world} = this;
    this.log(`${worker.id} crashes`);
    worker.crash();
    world.scheduler.runAfter(random.between(50, 2_500), () => {
      worker.startProcess();
      const delayMs = random.between(0, MAX_REGISTRATION_DELAY_MS);
      world.scheduler.runAfter(delayMs, () => world.store.putWorker(worker));
      this.log(`${worker.id} is running again`);
    });
  }

  /** Some requests to some workers are executed late by the same process. */
  delayRequests(ms: Millis): void {
    const {random, world} = this;
    const share = random.between(0.1, 0.6);
    for (const {id} of this.chooseWorkers(0.6)) {
      this.log(`${id} delays some requests`);
      this.delayedRequests.setDelayedShare(id, share);
      world.scheduler.runAfter(ms, () =>
        this.delayedRequests.setDelayedShare(id, 0),
      );
    }
  }

  /** Some requests are executed late by whichever process runs then. */
  makeRequestsLate(ms: Millis): void {
    const {random, world, delayedRequests} = this;
    const share = random.between(0.1, 0.6);
    for (const {id} of this.chooseWorkers(0.8)) {
      this.log(`${id} executes some requests seconds later`);
      delayedRequests.setLateShare(id, share);
      world.scheduler.runAfter(ms, () => delayedRequests.setLateShare(id, 0));
    }
  }

  /** Runs on some workers take several times as long for a while. */
  slowDown(ms: Millis): void {
    const factor = this.random.between(MIN_SLOW_FACTOR, MAX_SLOW_FACTOR);
    this.setSpeeds(1 / factor, `is ${factor.toFixed(1)} times as slow`, ms);
  }

  /** Runs on some workers make no progress for a while. */
  standStill(ms: Millis): void {
    this.setSpeeds(0, 'makes no progress', ms);
  }

  /** Some workers execute requests in time and answer them late. */
  answerLate(ms: Millis): void {
    const {random, world, delayedRequests} = this;
    const maxMs = random.between(MIN_ANSWER_DELAY_MS, MAX_ANSWER_DELAY_MS);
    for (const {id} of this.chooseWorkers(DISTURBED_SHARE)) {
      this.log(`${id} answers up to ${Math.round(maxMs)} ms late`);
      delayedRequests.setMaxAnswerDelay(id, maxMs);
      world.scheduler.runAfter(ms, () =>
        delayedRequests.setMaxAnswerDelay(id, 0),
      );
    }
  }

  /** Tasks that start on some workers take far longer than declared. */
  lengthenTasks(ms: Millis): void {
    const {random, world} = this;
    const factor = random.between(MIN_SLOW_FACTOR, MAX_SLOW_FACTOR);
    for (const worker of this.chooseWorkers(DISTURBED_SHARE)) {
      this.log(`tasks on ${worker.id} are ${factor.toFixed(1)} times as long`);
      worker.taskFactor = factor;
      world.scheduler.runAfter(ms, () => {
        worker.taskFactor = 1;
      });
    }
  }

  private setSpeeds(speed: number, label: string, ms: Millis): void {
    for (const worker of this.chooseWorkers(DISTURBED_SHARE)) {
      this.log(`${worker.id} ${label} for ${Math.round(ms)} ms`);
      worker.setSpeed(speed);
      this.world.scheduler.runAfter(ms, () => worker.setSpeed(1));
    }
  }

  /** Restarts some workers within less than a second. */
  restartQuickly(): void {
    const {random, world} = this;
    for (const worker of this.chooseWorkers(0.8)) {
      const atMs = random.between(0, QUICK_RESTARTS_SPREAD_MS);
      world.scheduler.runAfter(atMs, () => this.restart(worker));
    }
  }

  /** Chooses at most this share of the workers, but at least one. */
  chooseWorkers(maxShare: number): SimulatedWorker[] {
    const {random, world} = this;
    const share = random.between(0, maxShare);
    const all = [...world.workers.values()];
    const chosen = all.filter(() => random.chance(share));
    return chosen.length > 0 ? chosen : [random.pick(all)];
  }

  /** Without an early entry the store shows it with its next heartbeat. */
  private restart(worker: SimulatedWorker): void {
    const {random, world} = this;
    const downMs = random.between(MIN_QUICK_RESTART_MS, MAX_QUICK_RESTART_MS);
    const isShownAtOnce = random.chance(SHOWN_AT_ONCE_SHARE);
    const changesKind = random.chance(OTHER_KIND_SHARE);
    this.log(`${worker.id} crashes for ${Math.round(downMs)} ms`);
    worker.crash();
    world.scheduler.runAfter(downMs, () => {
      if (changesKind) worker.nextKind = createOtherKind(worker.nextKind);
      worker.startProcess();
      if (isShownAtOnce) world.store.putWorker(worker);
      const kind = changesKind ? ' as another kind' : '';
      this.log(`${worker.id} is running again${kind}`);
    });
  }

  private log(text: string): void {
    this.world.timeline.add('fault', text);
  }
}
