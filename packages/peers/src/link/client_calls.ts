/** The calls of the protocol over tRPC's typed client. */
import {TRPCClientError} from '@trpc/client';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import type {PeerHandlers} from '../handlers.js';
import type {
  Demand,
  Grants,
  HandOver,
  Heartbeat,
  Inspection,
  JobQuery,
  RelayAnswer,
  SessionQuery,
  SettingsAnswer,
  SettingsQuery,
  Settlement,
  Submission,
} from '../messages/index.js';
import {
  grantsSchema,
  heartbeatSchema,
  inspectionSchema,
  relayAnswerSchema,
  settingsAnswerSchema,
} from '../messages/index.js';
import {createPeerClient, within, type PeerClient} from './client.js';
import type {PeerConnection} from './connection.js';
import {
  createNotSent,
  createUnknown,
  NotSentReason,
  PeerCallError,
  UnknownReason,
  type PeerFailure,
} from './failure.js';

/** The answer to one call. */
export type PeerAnswer<Answer> = Promise<Result<Answer, PeerFailure>>;

/** The calls of the protocol, each with how long to wait for its answer. */
export type PeerCalls = {
  [Call in keyof PeerHandlers]: (
    ...args: [...message: Parameters<PeerHandlers[Call]>, timeoutMs: number]
  ) => PeerAnswer<Awaited<ReturnType<PeerHandlers[Call]>>>;
};

const nothingSchema = z.unknown().transform((): void => undefined);

/** Sends each call on the connection there is; fails at once without one. */
export class ClientCalls implements PeerCalls {
  private readonly client: PeerClient;

  constructor(
    private readonly findConnection: () => PeerConnection | undefined,
  ) {
    this.client = createPeerClient(findConnection);
  }

  /** Tells the peer of this instance; answered with the peer's own heartbeat. */
  heartbeat(message: Heartbeat, timeoutMs: number): PeerAnswer<Heartbeat> {
    return this.call(heartbeatSchema, () =>
      this.client.heartbeat.mutate(message, within(timeoutMs)),
    );
  }

  /** Relays a submission to the owner of its session. */
  submit(message: Submission, timeoutMs: number): PeerAnswer<RelayAnswer> {
    return this.call(relayAnswerSchema, () =>
      this.client.submit.mutate(message, within(timeoutMs)),
    );
  }

  /** Reads a job at the owner of its session. */
  read(message: JobQuery, timeoutMs: number): PeerAnswer<RelayAnswer> {
    return this.call(relayAnswerSchema, () =>
      this.client.read.query(message, within(timeoutMs)),
    );
  }

  /** Cancels a job at the owner of its session. */
  cancel(message: JobQuery, timeoutMs: number): PeerAnswer<RelayAnswer> {
    return this.call(relayAnswerSchema, () =>
      this.client.cancel.mutate(message, within(timeoutMs)),
    );
  }

  /** Ends a session at its owner. */
  endSession(
    message: SessionQuery,
    timeoutMs: number,
  ): PeerAnswer<RelayAnswer> {
    return this.call(relayAnswerSchema, () =>
      this.client.endSession.mutate(message, within(timeoutMs)),
    );
  }

  /** Passes sessions to the peer before a planned stop. */
  handOver(message: HandOver, timeoutMs: number): PeerAnswer<void> {
    return this.call(nothingSchema, () =>
      this.client.handOver.mutate(message, within(timeoutMs)),
    );
  }

  /** Asks for settings newer than those known here. */
  readSettings(
    message: SettingsQuery,
    timeoutMs: number,
  ): PeerAnswer<SettingsAnswer> {
    return this.call(settingsAnswerSchema, () =>
      this.client.readSettings.query(message, within(timeoutMs)),
    );
  }

  /** Tells a holder what this owner wants; answered with grants. */
  demand(message: Demand, timeoutMs: number): PeerAnswer<Grants> {
    return this.call(grantsSchema, () =>
      this.client.demand.mutate(message, within(timeoutMs)),
    );
  }

  /** Tells a holder how grants ended; answered with new grants. */
  settle(message: Settlement, timeoutMs: number): PeerAnswer<Grants> {
    return this.call(grantsSchema, () =>
      this.client.settle.mutate(message, within(timeoutMs)),
    );
  }

  /** Pushes grants to the owner that wants them. */
  offer(message: Grants, timeoutMs: number): PeerAnswer<void> {
    return this.call(nothingSchema, () =>
      this.client.offer.mutate(message, within(timeoutMs)),
    );
  }

  /** Asks the peer what it works on, for operators. */
  inspect(timeoutMs: number): PeerAnswer<Inspection> {
    return this.call(inspectionSchema, () =>
      this.client.inspect.query(undefined, within(timeoutMs)),
    );
  }

  /** Sends one call and checks its answer. */
  private async call<Answer>(
    schema: z.ZodType<Answer>,
    send: () => Promise<unknown>,
  ): PeerAnswer<Answer> {
    if (this.findConnection()?.isOpen !== true) {
      return Err(createNotSent(NotSentReason.Disconnected));
    }
    try {
      const answer = schema.safeParse(await send());
      if (answer.success) return Ok(answer.data);
      return Err(createUnknown(UnknownReason.Malformed));
    } catch (cause) {
      return Err(readFailure(cause));
    }
  }
}

function readFailure(cause: unknown): PeerFailure {
  if (
    cause instanceof TRPCClientError &&
    cause.cause instanceof PeerCallError
  ) {
    return cause.cause.failure;
  }
  // Whatever else went wrong on this side, the call may have left.
  return createUnknown(UnknownReason.Malformed);
}
