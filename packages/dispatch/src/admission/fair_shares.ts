/**
 * Keeps refusals fair over queues and job sizes under overload. The plan of a
 * wide or long job is worth less, as its last task decides, so that by worth
 * alone the largest jobs of a queue would be refused far more often than the
 * others, though a larger job is worth more to its caller. The counts are those
 * of one holder and decay: a new holder starts with no queue or size ahead.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {
  AbandonReason,
  RefusalReason,
  type Job,
  type Outcome,
} from '../work/index.js';

/** Size of a job among the jobs of its queue, by declared work. */
export enum SizeClass {
  /** The smaller seven tenths. */
  Usual = 'usual',
  /** The fifth below the largest tenth. */
  Large = 'large',
  /** The largest tenth. */
  Largest = 'largest',
}

/** Time constant of the decay of counts, in ms: an overload lasts seconds. */
const DECAY_MS = 5_000;
/** Number of recent jobs of a queue that sizes are compared with. */
const MAX_SAMPLES = 64;
/** Number of recent jobs without which each job is of the usual size. */
const MIN_SAMPLES = 10;
const LARGE_QUANTILE = 0.7;
const LARGEST_QUANTILE = 0.9;
/** Weight of the prior rate in the rate of a queue or class, in jobs. */
const PRIOR_JOBS = 2;
/**
 * Share of its queue's rate below which a class is behind. It is well above the
 * required half, so that a class gets help before it falls that far.
 */
const CLASS_SHARE = 0.9;
/** Share of the rate of all queues below which a queue is behind. */
const QUEUE_SHARE = 0.6;
/** The lowest fairness factor, so that jobs of little worth are still refused. */
const MIN_FAIRNESS = 0.3;
/** Number of queues whose counts are kept; the oldest is removed. */
const MAX_QUEUES = 256;

/** Exponentially decaying numbers of served jobs and of all jobs. */
class DecayingCounts {
  private served = 0;
  private all = 0;
  private updatedAt: Millis = -Infinity;

  record(isServed: boolean, now: Millis): void {
    const kept = Math.exp(-Math.max(0, now - this.updatedAt) / DECAY_MS);
    this.served = this.served * kept + (isServed ? 1 : 0);
    this.all = this.all * kept + 1;
    this.updatedAt = now;
  }

  /** Share of served jobs, 0 to 1; close to `usualRate` while few are known. */
  getRate(usualRate: number, now: Millis): number {
    const kept = Math.exp(-Math.max(0, now - this.updatedAt) / DECAY_MS);
    const served = this.served * kept + PRIOR_JOBS * usualRate;
    return served / (this.all * kept + PRIOR_JOBS);
  }
}

class QueueCounts {
  /** Factors computed last, by size class; each is valid at its time only. */
  readonly cachedFairness = new Map<
    SizeClass,
    {readonly fairness: number; readonly at: Millis}
  >();
  readonly counts = new DecayingCounts();
  readonly byClass = {
    [SizeClass.Usual]: new DecayingCounts(),
    [SizeClass.Large]: new DecayingCounts(),
    [SizeClass.Largest]: new DecayingCounts(),
  };
  private readonly samples: number[] = [];
  private next = 0;

  /** Classifies a job among the recent ones, and adds it to them. */
  classify(work: number): SizeClass {
    const {samples} = this;
    const smaller = samples.filter(sample => sample < work).length;
    const isKnown = samples.length >= MIN_SAMPLES;
    const share = isKnown ? smaller / samples.length : 0;
    samples[this.next] = work;
    this.next = (this.next + 1) % MAX_SAMPLES;
    if (share < LARGE_QUANTILE) return SizeClass.Usual;
    return share < LARGEST_QUANTILE ? SizeClass.Large : SizeClass.Largest;
  }
}

/** Counts the served and the unserved jobs of one holder. */
export class FairShares {
  private readonly all = new DecayingCounts();
  private readonly queues = new Map<string, QueueCounts>();
  private readonly classes = new WeakMap<Job, SizeClass>();

  /** Adds a job that has arrived. */
  add(job: Job): void {
    const sizeClass = this.findQueue(job.queue).classify(measureWork(job));
    this.classes.set(job, sizeClass);
  }

  /** The size class of a job that was added. */
  classOf(job: Job): SizeClass {
    return this.classes.get(job) ?? SizeClass.Usual;
  }

  /** Records that a job was served, or refused or given up for want of capacity. */
  record(job: Job, isServed: boolean, now: Millis): void {
    const queue = this.findQueue(job.queue);
    this.all.record(isServed, now);
    queue.counts.record(isServed, now);
    queue.byClass[this.classOf(job)].record(isServed, now);
  }

  /**
   * Factor, 0.3 to 1, on the minimum worth of a job under overload: the lower, the
   * more often its queue and its size class went unserved compared with others.
   */
  getFairness(job: Job, now: Millis): number {
    const queue = this.queues.get(job.queue);
    if (queue === undefined) return 1;
    const sizeClass = this.classOf(job);
    const cached = queue.cachedFairness.get(sizeClass);
    if (cached?.at === now) return cached.fairness;
    const rate = this.all.getRate(1, now);
    const queueRate = queue.counts.getRate(rate, now);
    const classRate = queue.byClass[sizeClass].getRate(queueRate, now);
    const ofQueue = Math.min(1, queueRate / (QUEUE_SHARE * rate));
    const ofClass = Math.min(1, classRate / (CLASS_SHARE * queueRate));
    const fairness = Math.max(MIN_FAIRNESS, ofQueue * ofClass);
    queue.cachedFairness.set(sizeClass, {fairness, at: now});
    return fairness;
  }

  private findQueue(name: string): QueueCounts {
    const known = this.queues.get(name);
    if (known !== undefined) return known;
    const [oldest] = this.queues.keys();
    if (this.queues.size >= MAX_QUEUES && oldest !== undefined)
      this.queues.delete(oldest);
    const counts = new QueueCounts();
    this.queues.set(name, counts);
    return counts;
  }
}

/** The declared work of a job, in thousandths of a processor times ms. */
export function measureWork({steps}: Job): number {
  return steps.reduce(
    (sum, {tasks, need, estimateMs}) =>
      sum + tasks * need.cpuMillis * estimateMs,
    0,
  );
}

/** Whether a job was served; undefined if its end says nothing of the load. */
export function wasServed(outcome: Outcome): boolean | undefined {
  switch (outcome.kind) {
    case 'completed':
      return true;
    case 'failed':
      return undefined;
    case 'refused': {
      const {reason} = outcome;
      const isByLoad =
        reason === RefusalReason.Overloaded || reason === RefusalReason.TooLate;
      return isByLoad ? false : undefined;
    }
    case 'abandoned':
      return outcome.reason === AbandonReason.Deadline ? false : undefined;
  }
}
