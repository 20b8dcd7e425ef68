/** The calls of the peer protocol, sent with the typed tRPC client. */
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
import {createPeerClient, withTimeout, type PeerClient} from './client.js';
import type {ClientConnection} from './connection.js';
import {
  createNotSent,
  createUnknown,
  NotSentReason,
  PeerCallError,
  UnknownReason,
  type PeerFailure,
} from './failure.js';

/** The checked answer to one call, or how the call failed. */
export type PeerAnswer<Answer> = Promise<Result<Answer, PeerFailure>>;

/** The calls of the peer protocol. Each takes its answer's timeout in ms. */
export type PeerCalls = {
  [Call in keyof PeerHandlers]: (
    ...args: [...message: Parameters<PeerHandlers[Call]>, timeoutMs: number]
  ) => PeerAnswer<Awaited<ReturnType<PeerHandlers[Call]>>>;
};

const voidSchema = z.unknown().transform((): void => undefined);

/** Sends each call on the current connection; without one, it fails at once. */
export class ClientCalls implements PeerCalls {
  private readonly client: PeerClient;

  constructor(
    private readonly getConnection: () => ClientConnection | undefined,
  ) {
    this.client = createPeerClient(getConnection);
  }

  /** Sends this instance's heartbeat; the answer is the peer's own heartbeat. */
  heartbeat(message: Heartbeat, timeoutMs: number): PeerAnswer<Heartbeat> {
    return this.call(heartbeatSchema, () =>
      this.client.heartbeat.mutate(message, withTimeout(timeoutMs)),
    );
  }

  /** Relays a submission to the owner of its session. */
  submit(message: Submission, timeoutMs: number): PeerAnswer<RelayAnswer> {
    return this.call(relayAnswerSchema, () =>
      this.client.submit.mutate(message, withTimeout(timeoutMs)),
    );
  }

  /** Reads a job at the owner of its session. */
  read(message: JobQuery, timeoutMs: number): PeerAnswer<RelayAnswer> {
    return this.call(relayAnswerSchema, () =>
      this.client.read.query(message, withTimeout(timeoutMs)),
    );
  }

  /** Cancels a job at the owner of its session. */
  cancel(message: JobQuery, timeoutMs: number): PeerAnswer<RelayAnswer> {
    return this.call(relayAnswerSchema, () =>
      this.client.cancel.mutate(message, withTimeout(timeoutMs)),
    );
  }

  /** Ends a session at its owner. */
  endSession(
    message: SessionQuery,
    timeoutMs: number,
  ): PeerAnswer<RelayAnswer> {
    return this.call(relayAnswerSchema, () =>
      this.client.endSession.mutate(message, withTimeout(timeoutMs)),
    );
  }

  /** Hands sessions over to the peer before a planned stop. */
  handOver(message: HandOver, timeoutMs: number): PeerAnswer<void> {
    return this.call(voidSchema, () =>
      this.client.handOver.mutate(message, withTimeout(timeoutMs)),
    );
  }

  /** Reads the settings if the peer has a newer revision than this instance. */
  readSettings(
    message: SettingsQuery,
    timeoutMs: number,
  ): PeerAnswer<SettingsAnswer> {
    return this.call(settingsAnswerSchema, () =>
      this.client.readSettings.query(message, withTimeout(timeoutMs)),
    );
  }

  /** Sends this owner's demand for slots to a holder; the answer has grants. */
  demand(message: Demand, timeoutMs: number): PeerAnswer<Grants> {
    return this.call(grantsSchema, () =>
      this.client.demand.mutate(message, withTimeout(timeoutMs)),
    );
  }

  /** Reports to a holder how grants ended; the answer has new grants. */
  settle(message: Settlement, timeoutMs: number): PeerAnswer<Grants> {
    return this.call(grantsSchema, () =>
      this.client.settle.mutate(message, withTimeout(timeoutMs)),
    );
  }

  /** Pushes grants to an owner with unmet demand. */
  offer(message: Grants, timeoutMs: number): PeerAnswer<void> {
    return this.call(voidSchema, () =>
      this.client.offer.mutate(message, withTimeout(timeoutMs)),
    );
  }

  /** Reads the peer's jobs and backend servers, for operators. */
  inspect(timeoutMs: number): PeerAnswer<Inspection> {
    return this.call(inspectionSchema, () =>
      this.client.inspect.query(undefined, withTimeout(timeoutMs)),
    );
  }

  /** Sends one call and validates its answer against `schema`. */
  private async call<Answer>(
    schema: z.ZodType<Answer>,
    send: () => Promise<unknown>,
  ): PeerAnswer<Answer> {
    if (this.getConnection()?.isOpen !== true) {
      return Err(createNotSent(NotSentReason.Disconnected));
    }
    try {
      const answer = schema.safeParse(await send());
      if (answer.success) return Ok(answer.data);
      return Err(createUnknown(UnknownReason.Malformed));
    } catch (cause) {
      return Err(toPeerFailure(cause));
    }
  }
}

function toPeerFailure(cause: unknown): PeerFailure {
  if (
    cause instanceof TRPCClientError &&
    cause.cause instanceof PeerCallError
  ) {
    return cause.cause.failure;
  }
  // Any other error on this side may have occurred after the call was sent.
  return createUnknown(UnknownReason.Malformed);
}
