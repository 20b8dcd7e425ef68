/**
 * Expected run times. Declared estimates are rough and workers differ in
 * speed, so both are corrected by what was seen: a factor for each queue and a
 * speed for each worker, which starts from that of its kind.
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

/** Runs that the speed of a worker's kind counts for. */
const KIND_RUNS = 2;
/** Least weight of the newest run in the speed of a kind. */
const KIND_WEIGHT = 0.03;

/** A slowness that is learned: run time over expected run time. */
class Slowness {
  private constructor(
    /** Its natural logarithm. */
    readonly log: number,
    /** The same as a factor. */
    readonly factor: number,
    private readonly runs: number,
  ) {}

  /** Before any run; `log` counts for `runs`. */
  static begin(log = 0, runs = 0): Slowness {
    return new Slowness(log, Math.exp(log), runs);
  }

  /** With one more run; `firstWeight` falls with their number. */
  learn(seen: number, firstWeight: number, leastWeight: number): Slowness {
    const weight = Math.max(firstWeight / (this.runs + 1), leastWeight);
    const log = this.log + weight * (seen - this.log);
    return new Slowness(log, Math.exp(log), this.runs + 1);
  }
}

/** Learns run times from finished runs. */
export class Durations {
  /** Run time over declared run time of each queue. */
  private readonly queues = new Map<string, Slowness>();
  private readonly workers = new Map<string, Slowness>();
  /** Of each kind of worker, for workers that have not run much. */
  private readonly kinds = new Map<string, Slowness>();
  private readonly kindOf = new Map<string, string>();

  /** Notes of which kind a worker is. */
  setKind(workerId: string, kind: string | undefined): void {
    if (kind !== undefined) this.kindOf.set(workerId, kind);
  }

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
    const own = this.workers.get(workerId) ?? this.kindSlowness(workerId);
    return own?.factor ?? 1;
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
    const queueSlowness = this.queues.get(queue) ?? Slowness.begin();
    const own = this.workers.get(workerId) ?? this.beginWorker(workerId);
    const ofQueue = seen - own.log;
    const ofWorker = seen - queueSlowness.log;
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

  /** Forgets a worker that is gone. */
  forget(workerId: string): void {
    this.workers.delete(workerId);
    this.kindOf.delete(workerId);
  }

  private learnKind(workerId: string, seen: number): void {
    const kind = this.kindOf.get(workerId);
    if (kind === undefined) return;
    const known = this.kinds.get(kind) ?? Slowness.begin();
    this.kinds.set(kind, known.learn(seen, 1, KIND_WEIGHT));
  }

  private beginWorker(workerId: string): Slowness {
    const kind = this.kindSlowness(workerId);
    return kind === undefined
      ? Slowness.begin()
      : Slowness.begin(kind.log, KIND_RUNS);
  }

  private kindSlowness(workerId: string): Slowness | undefined {
    const kind = this.kindOf.get(workerId);
    return kind === undefined ? undefined : this.kinds.get(kind);
  }
}
