/**
 * The calls of the protocol, typed by tRPC's router. They are sent as tRPC's
 * messages without its client, which waits for connections, cannot say
 * whether a failed call had left, and takes as long as all the rest.
 */
import type {inferRouterInputs} from '@trpc/server';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import type {PeerCall} from '../calls.js';
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
import type {PeerRouter} from '../server/router.js';
import type {PeerConnection} from './connection.js';
import {
  createNotSent,
  createUnknown,
  NotSentReason,
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

/** What the router takes as the input of each call. */
type CallInputs = inferRouterInputs<PeerRouter>;

const nothingSchema = z.unknown().transform((): void => undefined);

/** Sends each call on the connection there is; fails at once without one. */
export class ClientCalls implements PeerCalls {
  constructor(
    private readonly findConnection: () => PeerConnection | undefined,
  ) {}

  /** Tells the peer of this instance; answered with the peer's own heartbeat. */
  heartbeat(message: Heartbeat, timeoutMs: number): PeerAnswer<Heartbeat> {
    return this.call(heartbeatSchema, 'heartbeat', message, timeoutMs);
  }

  /** Relays a submission to the owner of its session. */
  submit(message: Submission, timeoutMs: number): PeerAnswer<RelayAnswer> {
    return this.call(relayAnswerSchema, 'submit', message, timeoutMs);
  }

  /** Reads a job at the owner of its session. */
  read(message: JobQuery, timeoutMs: number): PeerAnswer<RelayAnswer> {
    return this.call(relayAnswerSchema, 'read', message, timeoutMs);
  }

  /** Cancels a job at the owner of its session. */
  cancel(message: JobQuery, timeoutMs: number): PeerAnswer<RelayAnswer> {
    return this.call(relayAnswerSchema, 'cancel', message, timeoutMs);
  }

  /** Ends a session at its owner. */
  endSession(
    message: SessionQuery,
    timeoutMs: number,
  ): PeerAnswer<RelayAnswer> {
    return this.call(relayAnswerSchema, 'endSession', message, timeoutMs);
  }

  /** Passes sessions to the peer before a planned stop. */
  handOver(message: HandOver, timeoutMs: number): PeerAnswer<void> {
    return this.call(nothingSchema, 'handOver', message, timeoutMs);
  }

  /** Asks for settings newer than those known here. */
  readSettings(
    message: SettingsQuery,
    timeoutMs: number,
  ): PeerAnswer<SettingsAnswer> {
    return this.call(settingsAnswerSchema, 'readSettings', message, timeoutMs);
  }

  /** Tells a holder what this owner wants; answered with grants. */
  demand(message: Demand, timeoutMs: number): PeerAnswer<Grants> {
    return this.call(grantsSchema, 'demand', message, timeoutMs);
  }

  /** Tells a holder how grants ended; answered with new grants. */
  settle(message: Settlement, timeoutMs: number): PeerAnswer<Grants> {
    return this.call(grantsSchema, 'settle', message, timeoutMs);
  }

  /** Pushes grants to the owner that wants them. */
  offer(message: Grants, timeoutMs: number): PeerAnswer<void> {
    return this.call(nothingSchema, 'offer', message, timeoutMs);
  }

  /** Asks the peer what it works on, for operators. */
  inspect(timeoutMs: number): PeerAnswer<Inspection> {
    return this.call(inspectionSchema, 'inspect', undefined, timeoutMs);
  }

  /** Sends one call and checks its answer. */
  private call<Call extends PeerCall, Answer>(
    schema: z.ZodType<Answer>,
    call: Call,
    input: CallInputs[Call],
    timeoutMs: number,
  ): PeerAnswer<Answer> {
    const connection = this.findConnection();
    if (connection === undefined) {
      return Promise.resolve(Err(createNotSent(NotSentReason.Disconnected)));
    }
    return new Promise(resolve => {
      connection.send({call, input, timeoutMs}, result => {
        resolve(result.isErr() ? result : checkAnswer(schema, result.value));
      });
    });
  }
}

function checkAnswer<Answer>(
  schema: z.ZodType<Answer>,
  answer: unknown,
): Result<Answer, PeerFailure> {
  const checked = schema.safeParse(answer);
  if (checked.success) return Ok(checked.data);
  return Err(createUnknown(UnknownReason.Malformed));
}
