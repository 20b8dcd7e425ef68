/** Cancels an owner's requests for a job, until a holder has stopped its runs. */
import type {Job} from '@goldcrestpier/dispatch';
import {readClock, sleep} from '@goldcrestpier/runtime';
import type {Callers} from './callers.js';
import type {OwnCancellation} from './holder_client.js';
import type {OwnerOptions} from './owner.js';

/** Pause before the holder is looked up again, in ms. */
export const HOLDER_RETRY_MS = 20;
/** How long past its deadline a job's cancellation is repeated, in ms. */
const CANCELLATION_MARGIN_MS = 2_000;
/** Time in which a holder normally stops the runs of a job, in ms. */
const USUAL_STOP_MS = 250;

/** Abort reason of a finished attempt; a string avoids an error per job. */
export const ATTEMPT_ENDED = 'attempt ended';

/** How the holder is found, and where what fails is logged. */
export type CancellationOptions = Pick<
  OwnerOptions,
  'findHolder' | 'waitForHolderChange' | 'logger'
>;

/**
 * Cancels requests for a job, retrying until it must be over. A holder that
 * follows while its runs are being stopped has to stop them, too.
 */
export async function cancelAtHolder(
  {id, deadlineAt}: Job,
  cancellation: OwnCancellation,
  callers: Callers,
  options: CancellationOptions,
): Promise<void> {
  while (readClock() < deadlineAt + CANCELLATION_MARGIN_MS) {
    // The job was sent again, so its runs are still needed.
    if (callers.deferCancellation(id)) return;
    const holder = options.findHolder();
    if (holder !== undefined && (await holder.cancel(cancellation))) {
      if (await isHolderKept(holder.id, options)) return;
      continue;
    }
    await sleep(HOLDER_RETRY_MS);
  }
  options.logger.warn('job could not be cancelled in time', {job: id});
}

/** Whether an instance is still the holder when it has stopped the runs. */
async function isHolderKept(
  id: string,
  {waitForHolderChange}: CancellationOptions,
): Promise<boolean> {
  const attempt = new AbortController();
  const change = waitForHolderChange(id, attempt.signal);
  const isKept = await Promise.race([
    change.then(() => false),
    sleep(USUAL_STOP_MS).then(() => true),
  ]);
  attempt.abort(ATTEMPT_ENDED);
  return isKept;
}
