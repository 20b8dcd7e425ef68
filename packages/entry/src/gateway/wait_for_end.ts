/** Waits for the end of a job, for no longer than the caller requested. */
import type {JobAnswer} from '@goldcrestpier/protocol';
import type {JobRecord} from '@goldcrestpier/jobs';
import type {Wait} from './gateway.js';

/** Returns the job's answer when the job or the wait has ended. */
export async function waitForAnswer(
  job: JobRecord,
  {ms, signal}: Wait,
): Promise<JobAnswer> {
  if (ms > 0 && job.endedAt === undefined) {
    const controller = new AbortController();
    const abort = () => controller.abort();
    const timer = setTimeout(abort, ms);
    signal.addEventListener('abort', abort, {once: true});
    await job.waitForEnd(controller.signal);
    clearTimeout(timer);
    signal.removeEventListener('abort', abort);
  }
  return job.toAnswer();
}
