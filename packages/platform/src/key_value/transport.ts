/**
 * Posts JSON to the service's endpoints. A read that fails for a fault of the
 * endpoint is retried at the next one; a write only if none of it was sent.
 */
import {Readable} from 'node:stream';
import {readClock, type Logger, type Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {Agent, request, type Dispatcher} from 'undici';
import {PlatformFailureReason, type PlatformFailure} from '../failure.js';

const MAX_CONNECTIONS = 8;
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
const MAX_ERROR_CHARACTERS = 200;
const TCP_KEEP_ALIVE_DELAY_MS = 5_000;

/** The gRPC status code `NOT_FOUND`. */
const GRPC_NOT_FOUND = 5;
/** Client errors of a gateway that gave up on a request after forwarding it. */
const AMBIGUOUS_STATUSES: ReadonlySet<number> = new Set([408, 499]);

/** Whether a call is safe to repeat (`Read`) or not (`Write`). */
export enum CallEffect {
  Read = 'read',
  Write = 'write',
}

/** One call to the service. */
export interface ServiceCall {
  /** The path below `/v3/`. */
  readonly path: string;
  readonly effect: CallEffect;
  readonly body: object;
}

/** An open streaming response. */
export interface ResponseStream {
  readonly endpoint: string;
  readonly body: AsyncIterable<Buffer> & {destroy(): void};
}

/** Options of a `Transport`. */
export interface TransportOptions {
  /** `http://host:port` of each endpoint. */
  readonly endpoints: readonly string[];
  /** Maximum duration of one call, over all endpoints. */
  readonly timeoutMs: Millis;
  readonly logger: Logger;
}

interface Attempt {
  readonly responseBody?: unknown;
  readonly failure?: PlatformFailure;
  /** Whether the endpoint is at fault, so that later calls avoid it. */
  readonly isFailing: boolean;
  /** Whether it is safe to send the call to the next endpoint. */
  readonly canTryNext: boolean;
}

/** Sends calls to the preferred endpoint, which changes when it fails. */
export class Transport {
  private readonly agent = createAgent(MAX_RESPONSE_BYTES, MAX_CONNECTIONS);
  private readonly streamAgent = createAgent(-1, null);
  private preferredIndex = 0;

  constructor(private readonly options: TransportOptions) {}

  /** Posts one call and returns the parsed JSON of the response. */
  async post(call: ServiceCall): Promise<Result<unknown, PlatformFailure>> {
    const deadlineAt = readClock() + this.options.timeoutMs;
    const order = this.orderEndpoints();
    let failure = createUnreachableFailure(call, 'no endpoint is set');
    for (const [triedCount, index] of order.entries()) {
      const remainingMs = deadlineAt - readClock();
      if (remainingMs <= 0) break;
      // An equal share of the time, so that a frozen endpoint leaves some.
      const timeoutMs = remainingMs / (order.length - triedCount);
      const attempt = await this.tryEndpoint(call, index, timeoutMs);
      if (attempt.failure === undefined) return Ok(attempt.responseBody);
      failure = attempt.failure;
      // Later calls, including a retry of this write, use another endpoint.
      if (attempt.isFailing) this.preferredIndex = (index + 1) % order.length;
      if (!attempt.canTryNext) break;
    }
    return Err(failure);
  }

  /** Opens a streaming response at the preferred endpoint. */
  async openStream(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ResponseStream, PlatformFailure>> {
    const endpoint = this.options.endpoints[this.preferredIndex] ?? '';
    try {
      const {statusCode, body} = await request(`${endpoint}/v3/${call.path}`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(call.body),
        dispatcher: this.streamAgent,
        headersTimeout: this.options.timeoutMs,
        signal,
      });
      if (statusCode === 200) return Ok({endpoint, body});
      const text = await readErrorText(body);
      this.preferNextEndpoint();
      return Err(createErrorResponseFailure(call, statusCode, text));
    } catch (cause) {
      this.preferNextEndpoint();
      return Err(createUnreachableFailure(call, describeCause(cause)));
    }
  }

  /** Makes later calls start at the next endpoint. */
  preferNextEndpoint(): void {
    const count = Math.max(this.options.endpoints.length, 1);
    this.preferredIndex = (this.preferredIndex + 1) % count;
  }

  /** Closes all connections, aborting open requests and streams. */
  async close(): Promise<void> {
    await Promise.all([this.agent.destroy(), this.streamAgent.destroy()]);
  }

  private orderEndpoints(): number[] {
    const {length} = this.options.endpoints;
    const first = this.preferredIndex;
    return Array.from({length}, (_, offset) => (first + offset) % length);
  }

  private async tryEndpoint(
    call: ServiceCall,
    index: number,
    timeoutMs: Millis,
  ): Promise<Attempt> {
    const endpoint = this.options.endpoints[index] ?? '';
    const trackedBody = createTrackedBody(JSON.stringify(call.body));
    try {
      const {statusCode, body} = await request(`${endpoint}/v3/${call.path}`, {
        method: 'POST',
        headers: {
          'content-type': 'application/json',
          'content-length': String(trackedBody.bytes),
        },
        body: trackedBody.body,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
      });
      if (statusCode === 200) {
        return {
          responseBody: await body.json(),
          isFailing: false,
          canTryNext: false,
        };
      }
      const text = await readErrorText(body);
      const isFailing = statusCode >= 500;
      return {
        failure: createErrorResponseFailure(call, statusCode, text),
        isFailing,
        canTryNext: isFailing && call.effect === CallEffect.Read,
      };
    } catch (cause) {
      const wasSent = trackedBody.hasStarted();
      const failure = createConnectionFailure(call, wasSent, cause);
      const canTryNext = !wasSent || call.effect === CallEffect.Read;
      this.options.logger.debug('call to the platform failed', {
        call: call.path,
        endpoint,
        reason: failure.reason,
        detail: failure.detail,
      });
      return {
        failure,
        isFailing: true,
        canTryNext,
      };
    }
  }
}

/** A request body that records whether a connection has started to read it. */
interface TrackedBody {
  readonly bytes: number;
  readonly body: Readable;
  hasStarted(): boolean;
}

function createTrackedBody(text: string): TrackedBody {
  const bytes = Buffer.from(text, 'utf8');
  let isStarted = false;
  // The HTTP client does not read the body before it is connected and sends.
  const body = new Readable({
    read() {
      isStarted = true;
      this.push(bytes);
      this.push(null);
    },
  });
  return {bytes: bytes.length, body, hasStarted: () => isStarted};
}

function createAgent(maxResponseSize: number, connections: number | null) {
  return new Agent({
    connections,
    maxResponseSize,
    bodyTimeout: 0,
    connect: {keepAlive: true, keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS},
  });
}

function createConnectionFailure(
  call: ServiceCall,
  wasSent: boolean,
  cause: unknown,
): PlatformFailure {
  const detail = describeCause(cause);
  if (!wasSent) return createUnreachableFailure(call, detail);
  const isWrite = call.effect === CallEffect.Write;
  const isMalformed = cause instanceof SyntaxError;
  const lossReason = isWrite
    ? PlatformFailureReason.OutcomeUnknown
    : PlatformFailureReason.TimedOut;
  return {
    reason: isMalformed ? PlatformFailureReason.Malformed : lossReason,
    call: call.path,
    detail: isMalformed ? 'answer is not JSON' : detail,
    mayHaveTakenEffect: isWrite,
  };
}

function createUnreachableFailure(
  call: ServiceCall,
  detail: string,
): PlatformFailure {
  return {
    reason: PlatformFailureReason.Unreachable,
    call: call.path,
    detail,
    mayHaveTakenEffect: false,
  };
}

function createErrorResponseFailure(
  call: ServiceCall,
  status: number,
  text: string,
): PlatformFailure {
  const {message, code} = readError(text);
  const isLeaseGone = code === GRPC_NOT_FOUND && message.includes('lease');
  const isOutcomeKnown = status < 500 && !AMBIGUOUS_STATUSES.has(status);
  return {
    reason: isLeaseGone
      ? PlatformFailureReason.LeaseGone
      : PlatformFailureReason.Refused,
    call: call.path,
    detail: `status ${status}: ${message}`,
    mayHaveTakenEffect: call.effect === CallEffect.Write && !isOutcomeKnown,
  };
}

function readError(text: string): {message: string; code: number | undefined} {
  try {
    const {message, code} = JSON.parse(text) as Record<string, unknown>;
    return {
      message: typeof message === 'string' ? message : 'no message',
      code: typeof code === 'number' ? code : undefined,
    };
  } catch {
    return {message: 'no message', code: undefined};
  }
}

async function readErrorText(
  body: Dispatcher.ResponseData['body'],
): Promise<string> {
  const text = await body.text();
  return text.slice(0, MAX_ERROR_CHARACTERS);
}

function describeCause(cause: unknown): string {
  if (!(cause instanceof Error)) return 'unknown cause';
  const {code} = cause as NodeJS.ErrnoException;
  return typeof code === 'string' ? code : cause.name;
}
