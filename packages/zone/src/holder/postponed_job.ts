/** A resubmitted job that waits until the runs of its earlier record end. */
import type {Dispatcher, Job, JobProgress} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';

/** What one request tells of a job from before it arrived. */
interface RequestHistory {
  /** Whether another holder may have started the job. */
  readonly isResumed: boolean;
  /** What that holder reported when it stepped down. */
  readonly progress: JobProgress | undefined;
}

/** The postponed job of all requests that wait for it. */
export interface PostponedJob {
  /** That of the request with the latest deadline. */
  readonly job: Job;
  /** The histories of the requests that an earlier holder had. */
  readonly resumed: readonly RequestHistory[];
}

/** Adds a request to those that were postponed earlier, if there are any. */
export function postpone(
  earlier: PostponedJob | undefined,
  job: Job,
  history: RequestHistory,
): PostponedJob {
  const resumed = [...(earlier?.resumed ?? [])];
  if (history.isResumed) resumed.push(history);
  const isEarlierLonger =
    earlier !== undefined && earlier.job.deadlineAt > job.deadlineAt;
  return {job: isEarlierLonger ? earlier.job : job, resumed};
}

/** Submits a postponed job with all that its requests tell of it. */
export function submitPostponed(
  dispatcher: Dispatcher,
  {job, resumed}: PostponedJob,
  now: Millis,
): void {
  const [first, ...others] = resumed;
  dispatcher.submit(job, first !== undefined, now, first?.progress);
  for (const {progress} of others) {
    // It ends at once if the progress before says that all its tasks are done.
    if (!dispatcher.jobs.has(job.id)) return;
    dispatcher.submit(job, true, now, progress);
  }
}
