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
  logSlowness: number;
  /** The same as a factor. */
  slowness: number;
  runs: number;
}

interface QueueFactor {
  /** Natural logarithm of run time over declared run time. */
  logFactor: number;
  /** The same as a factor. */
  factor: number;
}

/** Learns run times from finished runs. */
export class Durations {
  private readonly queues = new Map<string, QueueFactor>();
  private readonly workers = new Map<string, WorkerSpeed>();

  /** Expected run time of a task on a worker of ordinary speed. */
  expect(queue: string, estimateMs: Millis): Millis {
    return estimateMs * (this.queues.get(queue)?.factor ?? 1);
  }

  /** Expected run time on this worker. */
  expectOn(workerId: string, queue: string, estimateMs: Millis): Millis {
    return this.expect(queue, estimateMs) * this.slownessOf(workerId);
  }

  /** How many times as long as usual tasks take there; 1 while unknown. */
  slownessOf(workerId: string): number {
    return this.workers.get(workerId)?.slowness ?? 1;
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
    const queueLog = this.queues.get(queue)?.logFactor ?? 0;
    const worker = this.workers.get(workerId);
    const workerLog = worker?.logSlowness ?? 0;
    const runs = worker?.runs ?? 0;
    const weight = Math.max(
      FIRST_WORKER_WEIGHT / (runs + 1),
      LATER_WORKER_WEIGHT,
    );
    const logFactor = queueLog + QUEUE_WEIGHT * (seen - workerLog - queueLog);
    const logSlowness = workerLog + weight * (seen - queueLog - workerLog);
    this.queues.set(queue, {logFactor, factor: Math.exp(logFactor)});
    const slowness = Math.exp(logSlowness);
    this.workers.set(workerId, {logSlowness, slowness, runs: runs + 1});
  }

  /** Forgets a worker that is gone. */
  forget(workerId: string): void {
    this.workers.delete(workerId);
  }
}
