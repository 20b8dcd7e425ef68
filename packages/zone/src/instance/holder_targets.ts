/** The holder as an owner asks it: in this process or at a peer. */
import {AbandonReason} from '@goldcrestpier/dispatch';
import {Ok} from 'ts-results-es';
import type {Holder} from '../holder/index.js';
import type {HolderTarget} from '../owner/index.js';
import type {ZoneCalls} from '../protocol/index.js';

/** How long a cancellation waits for its answer, in ms. */
const CANCEL_TIMEOUT_MS = 1_000;

/** Who holds, as far as an instance knows. */
export interface KnownHolder {
  /** The holder in this process, while it is its turn. */
  readonly holder: Holder | undefined;
  readonly holderId: string | undefined;
}

/** The holder to ask; undefined when none is known, or it isn't connected. */
export function findTarget(
  {holder, holderId}: KnownHolder,
  selfId: string,
  findCalls: (id: string) => ZoneCalls | undefined,
): HolderTarget | undefined {
  if (holder !== undefined) return createLocalTarget(holder, selfId);
  if (holderId === undefined) return undefined;
  const calls = findCalls(holderId);
  if (calls === undefined) return undefined;
  return createPeerTarget(calls, holderId, selfId);
}

/** The holder in this process. */
export function createLocalTarget(
  holder: Holder,
  selfId: string,
): HolderTarget {
  return {
    id: selfId,
    submit: async message => Ok(await holder.submit(message)),
    cancel: jobId => {
      holder.cancel(selfId, jobId, AbandonReason.Cancelled);
      return Promise.resolve(true);
    },
  };
}

/** The holder at the other end of a link. */
function createPeerTarget(
  calls: ZoneCalls,
  holderId: string,
  selfId: string,
): HolderTarget {
  return {
    id: holderId,
    submit: (message, timeoutMs) => calls.submit(message, timeoutMs),
    cancel: async jobId => {
      const message = {ownerId: selfId, jobId};
      const result = await calls.cancel(message, CANCEL_TIMEOUT_MS);
      return result.isOk() && result.value;
    },
  };
}
