/** The peers' protocol as a tRPC router over the handlers of one instance. */
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
import type {PeerConnection} from './connection.js';
import {RefusedCallError, toFailure} from './failure.js';

/** What every call of one connection shares. */
export interface PeerContext {
  readonly connection: Pick<PeerConnection, 'callsInFlight' | 'isFull'>;
}

/** How long a peer that sent too many calls at once stays away, in ms. */
const FULL_RETRY_AFTER_MS = 100;

const trpc = initTRPC.context<PeerContext>().create({
  isServer: true,
  errorFormatter: ({shape, error, input}) => ({
    ...shape,
    // Neither a stack nor an inner message leaves this process.
    message: error.code,
    data: {
      code: shape.data.code,
      httpStatus: shape.data.httpStatus,
      failure: toFailure(error, input),
    },
  }),
});

/** Builds routers of this project: their errors carry typed failures. */
export const createRouter = trpc.router;

/** One call of a router; its input is still to be checked. */
export const call = trpc.procedure;

/**
 * Refuses a call when too many of its connection wait. A plain function, as
 * each middleware of tRPC costs as much as the check of a message.
 */
function admit({connection}: PeerContext): void {
  if (!connection.isFull) return;
  const waiting = connection.callsInFlight;
  const failure = createFailure(
    FailureCode.QueueFull,
    {waiting, limit: waiting - 1},
    {retryAfterMs: FULL_RETRY_AFTER_MS},
  );
  throw new TRPCError({
    code: 'TOO_MANY_REQUESTS',
    cause: new RefusedCallError(failure),
  });
}

/** A resolver that refuses a call when too many wait. */
export function take<Input, Answer>(handle: (input: Input) => Promise<Answer>) {
  return ({ctx, input}: {ctx: PeerContext; input: Input}): Promise<Answer> => {
    admit(ctx);
    return handle(input);
  };
}

/** Builds the router. Every input is checked before its handler sees it. */
export function createPeerRouter(handlers: PeerHandlers) {
  return trpc.router({
    heartbeat: call
      .input(heartbeatSchema)
      .mutation(take(input => handlers.heartbeat(input))),
    submit: call
      .input(submissionSchema)
      .mutation(take(input => handlers.submit(input))),
    read: call.input(jobQuerySchema).query(take(input => handlers.read(input))),
    cancel: call
      .input(jobQuerySchema)
      .mutation(take(input => handlers.cancel(input))),
    endSession: call
      .input(sessionQuerySchema)
      .mutation(take(input => handlers.endSession(input))),
    handOver: call
      .input(handOverSchema)
      .mutation(take(input => handlers.handOver(input))),
    readSettings: call
      .input(settingsQuerySchema)
      .query(take(input => handlers.readSettings(input))),
    demand: call
      .input(demandSchema)
      .mutation(take(input => handlers.demand(input))),
    settle: call
      .input(settlementSchema)
      .mutation(take(input => handlers.settle(input))),
    offer: call
      .input(grantsSchema)
      .mutation(take(input => handlers.offer(input))),
    inspect: call.query(take(() => handlers.inspect())),
  });
}

/** The router's type, for typed calls. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
