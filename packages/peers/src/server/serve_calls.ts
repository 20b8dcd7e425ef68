/**
 * Runs the calls that arrive on one connection through tRPC's router. tRPC's own
 * adapter also serves subscriptions and batches, which the protocol has not, and
 * makes abort signals and disposable resources for each call.
 */
import {
  callTRPCProcedure,
  getTRPCErrorFromUnknown,
  getTRPCErrorShape,
  TRPCError,
  type AnyTRPCRouter,
} from '@trpc/server';
import {WebSocket, type RawData} from 'ws';
import type {PeerConnection, PeerRequest} from './connection.js';
import type {PeerContext} from './router.js';

/** What serving one connection needs. */
export interface ServedCalls {
  readonly socket: WebSocket;
  /** A router whose context is a `PeerContext`. */
  readonly router: AnyTRPCRouter;
  /** Reads and writes the frames. */
  readonly connection: PeerConnection;
  /** Told of each call that failed. */
  readonly onError: (path: string | undefined, error: TRPCError) => void;
}

/** Answers each call of a connection, until it closes. */
export function serveCalls(served: ServedCalls): void {
  const {socket, onError} = served;
  const closing = new AbortController();
  const fail = (cause: unknown) =>
    onError(undefined, getTRPCErrorFromUnknown(cause));
  socket.once('close', () => closing.abort());
  // Each error ends in a close; this keeps it from ending the process.
  socket.on('error', fail);
  socket.on('message', (data, isBinary) => {
    takeFrame(served, data, isBinary, closing.signal).catch(fail);
  });
}

async function takeFrame(
  served: ServedCalls,
  data: RawData,
  isBinary: boolean,
  signal: AbortSignal,
): Promise<void> {
  const {connection} = served;
  let request: PeerRequest;
  try {
    // The socket hands over one Buffer for each message.
    const frame = data as Buffer;
    request = connection.decode(isBinary ? frame : frame.toString('utf8'));
  } catch (cause) {
    const error = new TRPCError({code: 'PARSE_ERROR', cause});
    respond(served, {id: null, error: describe(served, error)});
    return;
  }
  const {id} = request;
  try {
    const result = await runCall(served, request, signal);
    respond(served, {id, result: {type: 'data', data: result}});
  } catch (cause) {
    const error = getTRPCErrorFromUnknown(cause);
    served.onError(request.params.path, error);
    respond(served, {id, error: describe(served, error, request)});
  }
}

function runCall(
  {router, connection}: ServedCalls,
  {method, params: {path, input}}: PeerRequest,
  signal: AbortSignal,
): Promise<unknown> {
  const ctx: PeerContext = {connection};
  return callTRPCProcedure({
    router,
    path,
    getRawInput: () => Promise.resolve(input),
    ctx,
    type: method,
    signal,
    batchIndex: 0,
  });
}

/** The error as the router formats it. */
function describe(
  {router, connection}: ServedCalls,
  error: TRPCError,
  request?: PeerRequest,
): unknown {
  const ctx: PeerContext = {connection};
  return getTRPCErrorShape({
    config: router._def._config,
    error,
    type: request?.method ?? 'unknown',
    path: request?.params.path,
    input: request?.params.input,
    ctx,
  });
}

function respond({socket, connection}: ServedCalls, answer: object): void {
  if (socket.readyState !== WebSocket.OPEN) return;
  socket.send(connection.encode(answer));
}
