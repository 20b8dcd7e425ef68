/** Clients for the holder, which runs in this process or at a peer. */
import {Ok} from 'ts-results-es';
import type {Holder} from '../holder/index.js';
import type {HolderClient} from '../owner/index.js';
import type {ZoneClient} from '../protocol/index.js';

/** Timeout of a cancellation, in ms. */
const CANCEL_TIMEOUT_MS = 1_000;

/** The holder that an instance knows. */
export interface KnownHolder {
  /** The holder in this process, while there is one. */
  readonly holder: Holder | undefined;
  readonly holderId: string | undefined;
}

/** Finds the holder; undefined if none is known or it isn't connected. */
export function findHolderClient(
  {holder, holderId}: KnownHolder,
  selfId: string,
  findClient: (id: string) => ZoneClient | undefined,
): HolderClient | undefined {
  if (holder !== undefined) return createLocalHolderClient(holder, selfId);
  if (holderId === undefined) return undefined;
  const client = findClient(holderId);
  if (client === undefined) return undefined;
  return createRemoteHolderClient(client, holderId, selfId);
}

/** Creates a client for the holder in this process. */
export function createLocalHolderClient(
  holder: Holder,
  selfId: string,
): HolderClient {
  return {
    id: selfId,
    submit: async message => Ok(await holder.submit(message)),
    cancel: cancellation => {
      holder.cancel({ownerId: selfId, ...cancellation});
      return Promise.resolve(true);
    },
  };
}

/** Creates a client for the holder at a peer. */
function createRemoteHolderClient(
  client: ZoneClient,
  holderId: string,
  selfId: string,
): HolderClient {
  return {
    id: holderId,
    submit: (message, timeoutMs) => client.submit(message, timeoutMs),
    cancel: async cancellation => {
      const message = {ownerId: selfId, ...cancellation};
      const result = await client.cancel(message, CANCEL_TIMEOUT_MS);
      return result.isOk() && result.value;
    },
  };
}
