/** How old the list of workers is that a holder decides by. */
import type {Millis} from '@goldcrestpier/runtime';
import type {WorkerListing} from '../ports/index.js';

/** How long a new holder waits for the present list of workers, in ms. */
const LIST_WAIT_MS = 500;

/** Whether a list that was read since `heldSince` may still come. */
export function isListingAwaited(
  {asOf, isReachable}: WorkerListing,
  heldSince: Millis,
  now: Millis,
): boolean {
  if (asOf !== undefined && asOf >= heldSince) return false;
  return isReachable && now - heldSince < LIST_WAIT_MS;
}

/** How long ago the platform had just these workers. */
export function findListingAge(
  listing: WorkerListing | undefined,
  now: Millis,
): Millis | undefined {
  if (listing?.asOf === undefined) return undefined;
  return now - listing.asOf;
}
