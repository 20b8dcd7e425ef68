/** tRPC's typed client over a link's present connection. */
import {createTRPCClient, TRPCClientError, type TRPCLink} from '@trpc/client';
import {observable} from '@trpc/server/observable';
import {callMethods, isCallOf} from '../calls.js';
import type {PeerRouter} from '../server/router.js';
import type {PeerConnection} from './connection.js';
import {createNotSent, NotSentReason, PeerCallError} from './failure.js';

/** Rides on each call, in tRPC's context of the operation. */
interface CallContext extends Record<string, unknown> {
  /** How long to wait for the answer, in ms. */
  readonly timeoutMs: number;
}

/** The options of one call. */
export interface CallOptions {
  readonly context: CallContext;
}

/** The typed client of the peers' router. */
export type PeerClient = ReturnType<typeof createPeerClient>;

/** Creates a client that sends on the connection there is at each call. */
export function createPeerClient(
  findConnection: () => PeerConnection | undefined,
) {
  return createTRPCClient<PeerRouter>({
    links: [createSocketLink(findConnection)],
  });
}

/** The options of a call that waits `timeoutMs` for its answer. */
export function within(timeoutMs: number): CallOptions {
  return {context: {timeoutMs}};
}

/**
 * The last of tRPC's links, on a connection of ours: tRPC's own waits for
 * connections and cannot say whether a failed call had left.
 */
function createSocketLink(
  findConnection: () => PeerConnection | undefined,
): TRPCLink<PeerRouter> {
  return () =>
    ({op}) =>
      observable(observer => {
        const fail = (error: PeerCallError) =>
          observer.error(TRPCClientError.from(error));
        const connection = findConnection();
        if (connection === undefined) {
          const failure = createNotSent(NotSentReason.Disconnected);
          fail(new PeerCallError(failure));
          return;
        }
        const {timeoutMs} = op.context as CallContext;
        const {path, input} = op;
        if (!isCallOf(callMethods, path)) throw new TypeError('no such call');
        connection.send({call: path, input, timeoutMs}, result => {
          if (result.isErr()) return fail(new PeerCallError(result.error));
          observer.next({result: {type: 'data', data: result.value}});
          observer.complete();
        });
      });
}
