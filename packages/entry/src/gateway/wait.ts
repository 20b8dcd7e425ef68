/** Waits for a job's end, no longer than the caller asked. */
import type {JobAnswer} from '@goldcrestpier/protocol';
import type {JobRecord} from '@goldcrestpier/jobs';
import type {Wait} from './types.js';

/** The job's answer once it ended, or as it stands when the wait is over. */
export async function awaitAnswer(
  job: JobRecord,
  {ms, signal}: Wait,
): Promise<JobAnswer> {
  if (ms > 0 && job.endedAt === undefined) {
    const limit = new AbortController();
    const end = () => limit.abort();
    const timer = setTimeout(end, ms);
    signal.addEventListener('abort', end, {once: true});
    await job.waitForEnd(limit.signal);
    clearTimeout(timer);
    signal.removeEventListener('abort', end);
  }
  return job.toAnswer();
}
