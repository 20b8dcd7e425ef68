/**
 * Expected run times. Declared estimates are rough and workers differ in
 * speed, so both are corrected by what was seen: a factor for each queue and a
 * speed for each worker.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Weight of the newest run in a queue's factor. */
const QUEUE_WEIGHT = 0.05;
/** Weight of the newest run in a worker's speed, first and later. */
const FIRST_WORKER_WEIGHT = 0.5;
const LATER_WORKER_WEIGHT = 0.15;
/** Bounds of one observed ratio, so that one odd run spoils nothing. */
const SMALLEST_RATIO = 0.05;
const LARGEST_RATIO = 20;

interface WorkerSpeed {
  /** Natural logarithm of run time over expected run time. */
  slowness: number;
  runs: number;
}

/** Learns run times from finished runs. */
export class Durations {
  private readonly queues = new Map<string, number>();
  private readonly workers = new Map<string, WorkerSpeed>();

  /** Expected run time of a task on a worker of ordinary speed. */
  expect(queue: string, estimateMs: Millis): Millis {
    return estimateMs * Math.exp(this.queues.get(queue) ?? 0);
  }

  /** Expected run time on this worker. */
  expectOn(workerId: string, queue: string, estimateMs: Millis): Millis {
    return this.expect(queue, estimateMs) * this.slownessOf(workerId);
  }

  /** How many times as long as usual tasks take there; 1 while unknown. */
  slownessOf(workerId: string): number {
    return Math.exp(this.workers.get(workerId)?.slowness ?? 0);
  }

  /** Learns from a run that ended well. */
  learn(
    workerId: string,
    queue: string,
    estimateMs: Millis,
    tookMs: Millis,
  ): void {
    const ratio = tookMs / Math.max(estimateMs, 1);
    const bounded = Math.min(Math.max(ratio, SMALLEST_RATIO), LARGEST_RATIO);
    const seen = Math.log(bounded);
    const factor = this.queues.get(queue) ?? 0;
    const worker = this.workers.get(workerId) ?? {slowness: 0, runs: 0};
    const weight = Math.max(
      FIRST_WORKER_WEIGHT / (worker.runs + 1),
      LATER_WORKER_WEIGHT,
    );
    this.queues.set(
      queue,
      factor + QUEUE_WEIGHT * (seen - worker.slowness - factor),
    );
    worker.slowness += weight * (seen - factor - worker.slowness);
    worker.runs += 1;
    this.workers.set(workerId, worker);
  }

  /** Forgets a worker that is gone. */
  forget(workerId: string): void {
    this.workers.delete(workerId);
  }
}
