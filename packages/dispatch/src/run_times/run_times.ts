/**
 * Expected run times. Declared estimates are rough and workers differ in speed,
 * so both are corrected by observed run times: with a factor for each queue and
 * a slowness for each worker, which starts from that of its kind.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {Tail} from '../work_estimates/index.js';
import {QueueTail} from './queue_tail.js';

/** Weight of the latest run in a queue's factor. */
const QUEUE_WEIGHT = 0.05;
/** Initial and minimum weight of the latest run in a worker's slowness. */
const FIRST_WORKER_WEIGHT = 0.5;
const LATER_WORKER_WEIGHT = 0.15;
/** Bounds of one observed ratio, which limit the effect of an outlier. */
const MIN_RATIO = 0.05;
const MAX_RATIO = 20;

/** Weight of its kind's slowness in that of a new worker, in runs. */
const KIND_PRIOR_RUNS = 2;
/**
 * Largest deviation of the logarithm with which a single run counts, three
 * standard deviations of usual run times: one long task is not a slow worker.
 */
const MAX_DEVIATION = 1.05;
/** Minimum weight of the latest run in the slowness of a kind. */
const MIN_KIND_WEIGHT = 0.03;

/** Learned ratio of actual to expected run time. */
class Slowness {
  private constructor(
    /** Natural logarithm of the ratio. */
    readonly log: number,
    /** The ratio itself. */
    readonly factor: number,
    private readonly runs: number,
    /** Sign of the deviation if the last run was an outlier; else 0. */
    private readonly outlier: number,
  ) {}

  /** Creates a slowness whose prior `log` has the weight of `runs` runs. */
  static create(log = 0, runs = 0): Slowness {
    return new Slowness(log, Math.exp(log), runs, 0);
  }

  /**
   * Adds a run, whose weight falls from `firstWeight` to `minWeight`. The
   * deviation of an outlier is limited unless the run before was one as well.
   */
  learn(observedLog: number, firstWeight: number, minWeight: number): Slowness {
    const weight = Math.max(firstWeight / (this.runs + 1), minWeight);
    const deviation = observedLog - this.log;
    const limited = limitDeviation(deviation);
    const outlier = limited === deviation ? 0 : Math.sign(deviation);
    const isRepeated = outlier !== 0 && outlier === this.outlier;
    const log = this.log + weight * (isRepeated ? deviation : limited);
    return new Slowness(log, Math.exp(log), this.runs + 1, outlier);
  }
}

function limitDeviation(deviation: number): number {
  return Math.min(Math.max(deviation, -MAX_DEVIATION), MAX_DEVIATION);
}

/** Predicts run times and learns them from finished runs. */
export class RunTimes {
  /** Ratio of actual to declared run time of each queue. */
  private readonly queues = new Map<string, Slowness>();
  private readonly tails = new Map<string, QueueTail>();
  private readonly workers = new Map<string, Slowness>();
  /** Slowness of each kind, as a prior for workers with few runs. */
  private readonly kinds = new Map<string, Slowness>();
  private readonly kindsByWorker = new Map<string, string>();

  /** Sets the kind of a worker; undefined leaves it unchanged. */
  setKind(workerId: string, kind: string | undefined): void {
    if (kind !== undefined) this.kindsByWorker.set(workerId, kind);
  }

  /** Expected run time of a task on a worker of typical speed, in ms. */
  predict(queue: string, estimateMs: Millis): Millis {
    return estimateMs * (this.queues.get(queue)?.factor ?? 1);
  }

  /** Expected run time of a task on this worker, in ms. */
  predictOn(workerId: string, queue: string, estimateMs: Millis): Millis {
    return this.predict(queue, estimateMs) * this.getSlowness(workerId);
  }

  /** Run time on a worker relative to typical speed; 1 while unknown. */
  getSlowness(workerId: string): number {
    const own = this.workers.get(workerId) ?? this.getKindSlowness(workerId);
    return own?.factor ?? 1;
  }

  /** Learns from a successful run. */
  learn(
    workerId: string,
    queue: string,
    estimateMs: Millis,
    tookMs: Millis,
  ): void {
    const ratio = tookMs / Math.max(estimateMs, 1);
    const bounded = Math.min(Math.max(ratio, MIN_RATIO), MAX_RATIO);
    const observedLog = Math.log(bounded);
    const queueSlowness = this.queues.get(queue) ?? Slowness.create();
    const own = this.workers.get(workerId) ?? this.createSlowness(workerId);
    const ofQueue = observedLog - own.log;
    const ofWorker = observedLog - queueSlowness.log;
    this.getQueueTail(queue).learn(ofQueue - queueSlowness.log);
    this.queues.set(
      queue,
      queueSlowness.learn(ofQueue, QUEUE_WEIGHT, QUEUE_WEIGHT),
    );
    this.workers.set(
      workerId,
      own.learn(ofWorker, FIRST_WORKER_WEIGHT, LATER_WORKER_WEIGHT),
    );
    this.learnKind(workerId, ofWorker);
  }

  /**
   * Learns the present speed of a worker that is slow for a while after its start.
   * It says nothing about its queue, its kind, or the worker's speed later.
   */
  learnCold(
    workerId: string,
    queue: string,
    estimateMs: Millis,
    tookMs: Millis,
  ): void {
    const ratio = tookMs / Math.max(this.predict(queue, estimateMs), 1);
    const bounded = Math.min(Math.max(ratio, MIN_RATIO), MAX_RATIO);
    const own = this.workers.get(workerId) ?? this.createSlowness(workerId);
    this.workers.set(
      workerId,
      own.learn(Math.log(bounded), FIRST_WORKER_WEIGHT, LATER_WORKER_WEIGHT),
    );
  }

  /** Forgets the speed that was learned for a worker. */
  forgetSpeed(workerId: string): void {
    this.workers.delete(workerId);
  }

  /** The long tasks that the queue has shown. */
  getTail(queue: string): Tail {
    return this.getQueueTail(queue).tail;
  }

  /** Learns from a run that was stopped, `ratio` times as long as expected. */
  learnStopped(queue: string, ratio: number): void {
    this.getQueueTail(queue).learn(Math.log(Math.min(ratio, MAX_RATIO)));
  }

  private getQueueTail(queue: string): QueueTail {
    const known = this.tails.get(queue);
    if (known !== undefined) return known;
    const tail = new QueueTail();
    this.tails.set(queue, tail);
    return tail;
  }

  /** Forgets a worker that is gone. */
  forget(workerId: string): void {
    this.workers.delete(workerId);
    this.kindsByWorker.delete(workerId);
  }

  private learnKind(workerId: string, observedLog: number): void {
    const kind = this.kindsByWorker.get(workerId);
    if (kind === undefined) return;
    const known = this.kinds.get(kind) ?? Slowness.create();
    this.kinds.set(kind, known.learn(observedLog, 1, MIN_KIND_WEIGHT));
  }

  private createSlowness(workerId: string): Slowness {
    const kind = this.getKindSlowness(workerId);
    return kind === undefined
      ? Slowness.create()
      : Slowness.create(kind.log, KIND_PRIOR_RUNS);
  }

  private getKindSlowness(workerId: string): Slowness | undefined {
    const kind = this.kindsByWorker.get(workerId);
    return kind === undefined ? undefined : this.kinds.get(kind);
  }
}
