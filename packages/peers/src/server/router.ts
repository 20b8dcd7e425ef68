/** tRPC router of the peer protocol, on top of an instance's handlers. */
import {createFailure, FailureCode} from '@goldcrestpier/protocol';
import {initTRPC, TRPCError} from '@trpc/server';
import type {PeerHandlers} from '../handlers.js';
import {
  demandSchema,
  grantsSchema,
  handOverSchema,
  heartbeatSchema,
  jobQuerySchema,
  sessionQuerySchema,
  settingsQuerySchema,
  settlementSchema,
  submissionSchema,
} from '../messages/index.js';
import type {ServerConnection} from './connection.js';
import {RefusedCallError, toFailure} from './failure.js';

/** tRPC context shared by all calls of one connection. */
export interface PeerContext {
  readonly connection: Pick<ServerConnection, 'callsInFlight' | 'isFull'>;
}

/** Retry delay sent to a peer with too many concurrent calls, in ms. */
const CALL_LIMIT_RETRY_AFTER_MS = 100;

const trpc = initTRPC.context<PeerContext>().create({
  isServer: true,
  errorFormatter: ({shape, error, input}) => ({
    ...shape,
    // Stack traces and internal error messages are not sent to the peer.
    message: error.code,
    data: {
      code: shape.data.code,
      httpStatus: shape.data.httpStatus,
      failure: toFailure(error, input),
    },
  }),
});

/** Creates a tRPC router whose errors carry typed failures. */
export const createRouter = trpc.router;

/** Base procedure of a router. Add an input schema to validate its input. */
export const procedure = trpc.procedure;

/**
 * Throws if the connection has too many calls in flight. It is not a tRPC
 * middleware because each middleware costs as much as validating a message.
 */
function checkCallLimit({connection}: PeerContext): void {
  if (!connection.isFull) return;
  const waiting = connection.callsInFlight;
  const failure = createFailure(
    FailureCode.QueueFull,
    {waiting, limit: waiting - 1},
    {retryAfterMs: CALL_LIMIT_RETRY_AFTER_MS},
  );
  throw new TRPCError({
    code: 'TOO_MANY_REQUESTS',
    cause: new RefusedCallError(failure),
  });
}

/** Wraps a handler in a resolver that enforces the limit on calls in flight. */
export function withCallLimit<Input, Answer>(
  handle: (input: Input) => Promise<Answer>,
) {
  return ({ctx, input}: {ctx: PeerContext; input: Input}): Promise<Answer> => {
    checkCallLimit(ctx);
    return handle(input);
  };
}

/** Creates the router. Inputs are validated before they reach a handler. */
export function createPeerRouter(handlers: PeerHandlers) {
  return trpc.router({
    heartbeat: procedure
      .input(heartbeatSchema)
      .mutation(withCallLimit(input => handlers.heartbeat(input))),
    submit: procedure
      .input(submissionSchema)
      .mutation(withCallLimit(input => handlers.submit(input))),
    read: procedure
      .input(jobQuerySchema)
      .query(withCallLimit(input => handlers.read(input))),
    cancel: procedure
      .input(jobQuerySchema)
      .mutation(withCallLimit(input => handlers.cancel(input))),
    endSession: procedure
      .input(sessionQuerySchema)
      .mutation(withCallLimit(input => handlers.endSession(input))),
    handOver: procedure
      .input(handOverSchema)
      .mutation(withCallLimit(input => handlers.handOver(input))),
    readSettings: procedure
      .input(settingsQuerySchema)
      .query(withCallLimit(input => handlers.readSettings(input))),
    demand: procedure
      .input(demandSchema)
      .mutation(withCallLimit(input => handlers.demand(input))),
    settle: procedure
      .input(settlementSchema)
      .mutation(withCallLimit(input => handlers.settle(input))),
    offer: procedure
      .input(grantsSchema)
      .mutation(withCallLimit(input => handlers.offer(input))),
    inspect: procedure.query(withCallLimit(() => handlers.inspect())),
  });
}

/** Type of the router, from which tRPC derives the typed client. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
