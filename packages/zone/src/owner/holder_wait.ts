/**
 * Which jobs wait for their zone to have a holder, and for how long. A job that
 * can't end usefully any more is refused at once, so that its caller can go
 * elsewhere: after a power failure, all callers of a zone return before it has
 * a holder.
 */
import {
  computeDueTimes,
  findLongestChain,
  HeldWork,
  measureJob,
  type Job,
  type JobSize,
} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';

/**
 * Longest time that a job waits for a holder, in ms. An instance that starts
 * alone claims the zone after 1.5 s and places tasks 0.4 s later; a zone that
 * has no holder after 3 s is cut off or down, and other zones serve its callers.
 */
const MAX_HOLDER_WAIT_MS = 3_000;
/** Run time on a fast worker as a share of the declared one. */
const FASTEST_RUN_TIME_SHARE = 0.7;
/** Time from the claim of a new holder until it places tasks, in ms. */
const HOLDER_READY_MS = 400;
/** Delay after which a caller may retry if no holder is expected, in ms. */
const UNKNOWN_RETRY_AFTER_MS = 2_000;
/**
 * Limits of what waits at one owner: 400 jobs a second for two seconds, and a
 * quarter of the memory of a holder's jobs, as the instance may become the holder.
 */
const MAX_WAITING = {jobs: 800, tasks: 8_000, bytes: 8 * 1024 * 1024};

/** Returns the latest time at which a new holder can still end a job usefully. */
export function findHolderWaitEnd(job: Job): Millis {
  const idealMs = findLongestChain(job.steps, ({estimateMs}) => estimateMs);
  const {usefulUntil} = computeDueTimes(job, idealMs);
  const latestStart = usefulUntil - FASTEST_RUN_TIME_SHARE * idealMs;
  return Math.min(latestStart, job.arrivedAt + MAX_HOLDER_WAIT_MS);
}

/** Chooses when a caller that is refused for want of a holder may retry. */
export function chooseHolderRetry(
  expectedAt: Millis | undefined,
  now: Millis,
): Millis {
  if (expectedAt === undefined) return UNKNOWN_RETRY_AFTER_MS;
  return Math.max(0, expectedAt - now) + HOLDER_READY_MS;
}

/** The requests of one owner that wait for a holder, limited in memory. */
export class HolderWaits {
  private readonly sizes = new Map<object, JobSize>();
  private readonly held = new HeldWork(MAX_WAITING);

  /** Number of requests that wait. */
  get count(): number {
    return this.sizes.size;
  }

  /** Lets a request wait; false if too many others do. */
  add(request: {readonly job: Job}): boolean {
    if (this.sizes.has(request)) return true;
    const size = measureJob(request.job);
    if (!this.held.hasRoom(size)) return false;
    this.sizes.set(request, size);
    this.held.add(size);
    return true;
  }

  /** Removes a request that has found a holder or ended. */
  remove(request: {readonly job: Job}): void {
    const size = this.sizes.get(request);
    if (size === undefined) return;
    this.sizes.delete(request);
    this.held.remove(size);
  }
}
