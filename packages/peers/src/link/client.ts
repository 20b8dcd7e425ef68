/** Typed tRPC client that sends over the current connection of a link. */
import {createTRPCClient, TRPCClientError, type TRPCLink} from '@trpc/client';
import {observable} from '@trpc/server/observable';
import {callMethods, isCallName} from '../calls.js';
import type {PeerRouter} from '../server/router.js';
import type {ClientConnection} from './connection.js';
import {createNotSent, NotSentReason, PeerCallError} from './failure.js';

/** Passed with each call in tRPC's operation context. */
interface CallContext extends Record<string, unknown> {
  /** Maximum time to wait for the answer, in ms. */
  readonly timeoutMs: number;
}

/** Options of one call, as tRPC's client expects them. */
export interface CallOptions {
  readonly context: CallContext;
}

/** Typed client of the peer router. */
export type PeerClient = ReturnType<typeof createPeerClient>;

/** Creates a client that looks up the current connection for each call. */
export function createPeerClient(
  getConnection: () => ClientConnection | undefined,
) {
  return createTRPCClient<PeerRouter>({
    links: [createSocketLink(getConnection)],
  });
}

/** Returns the options of a call that waits `timeoutMs` for its answer. */
export function withTimeout(timeoutMs: number): CallOptions {
  return {context: {timeoutMs}};
}

/**
 * Terminating tRPC link that sends over a peer connection. tRPC's own WebSocket
 * link is not used because it waits for a connection and cannot tell whether a
 * failed call had been sent.
 */
function createSocketLink(
  getConnection: () => ClientConnection | undefined,
): TRPCLink<PeerRouter> {
  return () =>
    ({op}) =>
      observable(observer => {
        const fail = (error: PeerCallError) =>
          observer.error(TRPCClientError.from(error));
        const connection = getConnection();
        if (connection === undefined) {
          const failure = createNotSent(NotSentReason.Disconnected);
          fail(new PeerCallError(failure));
          return;
        }
        const {timeoutMs} = op.context as CallContext;
        const {path, input} = op;
        if (!isCallName(callMethods, path)) throw new TypeError('unknown call');
        connection.send({call: path, input, timeoutMs}, result => {
          if (result.isErr()) return fail(new PeerCallError(result.error));
          observer.next({result: {type: 'data', data: result.value}});
          observer.complete();
        });
      });
}
