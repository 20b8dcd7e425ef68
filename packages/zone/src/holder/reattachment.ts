/**
 * Reattaching to the run of a delegated task, and what has become of the request
 * that delegated it. That decides whether the task may start again once the
 * other zone answers that the run does not go on.
 */
import type {JobProgress} from '@goldcrestpier/dispatch';

/**
 * The request that delegated a run, as seen by a reattachment to that run. It
 * is sent once and only to one holder.
 */
export enum OriginalRequest {
  /**
   * It starts nothing any more. Either the holder that got it answered that it
   * holds no more, and a closed holder starts nothing. Or an earlier holder of
   * this zone sent it: the reattachment shows the other zone this holder's
   * higher token, and a request with a lower one is refused from then on.
   */
  Settled = 'settled',
  /**
   * It was sent under the same token as the reattachment and not answered, so
   * that it may arrive, and start the run, after the reattachment.
   */
  MayArrive = 'may_arrive',
}

/** Why and how to reattach to a delegated run. */
export interface Reattachment {
  readonly original: OriginalRequest;
  /** What the run's holder reported when it stepped down. */
  readonly progress?: JobProgress | undefined;
  readonly reason: string;
}
