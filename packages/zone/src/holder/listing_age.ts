/** The age of the list of workers that a holder uses. */
import type {Millis} from '@goldcrestpier/runtime';
import type {WorkerListing} from '../ports/index.js';

/** How long a new holder waits for an up-to-date list of workers, in ms. */
const FRESH_LISTING_WAIT_MS = 500;

/** Whether a list that was read after `holderSince` may still arrive. */
export function isListingAwaited(
  {asOf, isReachable}: WorkerListing,
  holderSince: Millis,
  now: Millis,
): boolean {
  if (asOf !== undefined && asOf >= holderSince) return false;
  return isReachable && now - holderSince < FRESH_LISTING_WAIT_MS;
}

/** How long ago the platform reported exactly these workers, in ms. */
export function findListingAge(
  listing: WorkerListing | undefined,
  now: Millis,
): Millis | undefined {
  if (listing?.asOf === undefined) return undefined;
  return now - listing.asOf;
}
