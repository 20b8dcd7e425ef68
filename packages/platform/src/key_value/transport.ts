/**
 * Posts JSON to the service's endpoints. A read that fails goes to the next
 * endpoint; a write does so only when nothing of it was sent.
 */
import {Readable} from 'node:stream';
import {readClock, type Logger, type Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {Agent, request, type Dispatcher} from 'undici';
import {PlatformReason, type PlatformFailure} from '../failure.js';

const MOST_CONNECTIONS = 8;
const LARGEST_ANSWER_BYTES = 16 * 1024 * 1024;
const LARGEST_ERROR_CHARACTERS = 200;
const KEEP_ALIVE_PROBE_MS = 5_000;

/** gRPC's code for something that does not exist. */
const GRPC_NOT_FOUND = 5;
/** Answers of a gateway that gave up on a request it had passed on. */
const GAVE_UP_STATUSES: ReadonlySet<number> = new Set([408, 499]);

/** Whether a call can be repeated without a second effect. */
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

/** An open streamed answer. */
export interface ServiceStream {
  readonly endpoint: string;
  readonly body: AsyncIterable<Buffer> & {destroy(): void};
}

/** What the transport is made with. */
export interface TransportOptions {
  /** `http://host:port` of each endpoint. */
  readonly endpoints: readonly string[];
  /** How long one call may take in all. */
  readonly timeoutMs: Millis;
  readonly logger: Logger;
}

interface Attempt {
  readonly answer?: unknown;
  readonly failure?: PlatformFailure;
  /** Whether the endpoint is of no use at present. */
  readonly isBroken: boolean;
  /** Whether the next endpoint may be tried. */
  readonly goOn: boolean;
}

/** Speaks HTTP with the endpoints and remembers which one answered last. */
export class Transport {
  private readonly agent = createAgent(LARGEST_ANSWER_BYTES, MOST_CONNECTIONS);
  private readonly streams = createAgent(-1, null);
  private preferred = 0;

  constructor(private readonly options: TransportOptions) {}

  /** Posts one call and answers the JSON that came back. */
  async post(call: ServiceCall): Promise<Result<unknown, PlatformFailure>> {
    const deadline = readClock() + this.options.timeoutMs;
    const order = this.orderEndpoints();
    let failure = createUnreachable(call, 'no endpoint is set');
    for (const [tried, index] of order.entries()) {
      const left = deadline - readClock();
      if (left <= 0) break;
      // Each endpoint gets its share, so that a frozen one leaves time.
      const timeoutMs = left / (order.length - tried);
      const attempt = await this.tryEndpoint(call, index, timeoutMs);
      if (attempt.failure === undefined) return Ok(attempt.answer);
      failure = attempt.failure;
      // Whoever asks next, perhaps for this same write, does so elsewhere.
      if (attempt.isBroken) this.preferred = (index + 1) % order.length;
      if (!attempt.goOn) break;
    }
    return Err(failure);
  }

  /** Opens a streamed answer at the preferred endpoint. */
  async open(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceStream, PlatformFailure>> {
    const endpoint = this.options.endpoints[this.preferred] ?? '';
    try {
      const {statusCode, body} = await request(`${endpoint}/v3/${call.path}`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(call.body),
        dispatcher: this.streams,
        headersTimeout: this.options.timeoutMs,
        signal,
      });
      if (statusCode === 200) return Ok({endpoint, body});
      const text = await readBounded(body);
      this.preferNext();
      return Err(createRefusal(call, statusCode, text));
    } catch (cause) {
      this.preferNext();
      return Err(createUnreachable(call, describeCause(cause)));
    }
  }

  /** Prefers the next endpoint from now on. */
  preferNext(): void {
    const count = Math.max(this.options.endpoints.length, 1);
    this.preferred = (this.preferred + 1) % count;
  }

  /** Breaks what is open. */
  async close(): Promise<void> {
    await Promise.all([this.agent.destroy(), this.streams.destroy()]);
  }

  private orderEndpoints(): number[] {
    const {length} = this.options.endpoints;
    const first = this.preferred;
    return Array.from({length}, (_, step) => (first + step) % length);
  }

  private async tryEndpoint(
    call: ServiceCall,
    index: number,
    timeoutMs: Millis,
  ): Promise<Attempt> {
    const endpoint = this.options.endpoints[index] ?? '';
    const sending = trackSending(JSON.stringify(call.body));
    try {
      const {statusCode, body} = await request(`${endpoint}/v3/${call.path}`, {
        method: 'POST',
        headers: {
          'content-type': 'application/json',
          'content-length': String(sending.bytes),
        },
        body: sending.body,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
      });
      if (statusCode === 200) {
        return {answer: await body.json(), isBroken: false, goOn: false};
      }
      const text = await readBounded(body);
      const isBroken = statusCode >= 500;
      return {
        failure: createRefusal(call, statusCode, text),
        isBroken,
        goOn: isBroken && call.effect === CallEffect.Read,
      };
    } catch (cause) {
      const wasSent = sending.hasBegun();
      const failure = createBroken(call, wasSent, cause);
      const goOn = !wasSent || call.effect === CallEffect.Read;
      this.options.logger.debug('call to the platform broke', {
        call: call.path,
        endpoint,
        reason: failure.reason,
        detail: failure.detail,
      });
      return {failure, isBroken: true, goOn};
    }
  }
}

/** A body that shows whether any of it was handed to a connection. */
interface TrackedBody {
  readonly bytes: number;
  readonly body: Readable;
  hasBegun(): boolean;
}

function trackSending(text: string): TrackedBody {
  const bytes = Buffer.from(text, 'utf8');
  let begun = false;
  // The client reads the body only once it is connected and writes.
  const body = new Readable({
    read() {
      begun = true;
      this.push(bytes);
      this.push(null);
    },
  });
  return {bytes: bytes.length, body, hasBegun: () => begun};
}

function createAgent(maxResponseSize: number, connections: number | null) {
  return new Agent({
    connections,
    maxResponseSize,
    bodyTimeout: 0,
    connect: {keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS},
  });
}

function createBroken(
  call: ServiceCall,
  wasSent: boolean,
  cause: unknown,
): PlatformFailure {
  const detail = describeCause(cause);
  if (!wasSent) return createUnreachable(call, detail);
  const isWrite = call.effect === CallEffect.Write;
  const isMalformed = cause instanceof SyntaxError;
  const lost = isWrite
    ? PlatformReason.OutcomeUnknown
    : PlatformReason.TimedOut;
  return {
    reason: isMalformed ? PlatformReason.Malformed : lost,
    call: call.path,
    detail: isMalformed ? 'answer is not JSON' : detail,
    mayHaveTakenEffect: isWrite,
  };
}

function createUnreachable(call: ServiceCall, detail: string): PlatformFailure {
  return {
    reason: PlatformReason.Unreachable,
    call: call.path,
    detail,
    mayHaveTakenEffect: false,
  };
}

function createRefusal(
  call: ServiceCall,
  status: number,
  text: string,
): PlatformFailure {
  const {message, code} = readError(text);
  const isLeaseGone = code === GRPC_NOT_FOUND && message.includes('lease');
  const isDefinite = status < 500 && !GAVE_UP_STATUSES.has(status);
  return {
    reason: isLeaseGone ? PlatformReason.LeaseGone : PlatformReason.Refused,
    call: call.path,
    detail: `status ${status}: ${message}`,
    mayHaveTakenEffect: call.effect === CallEffect.Write && !isDefinite,
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

async function readBounded(
  body: Dispatcher.ResponseData['body'],
): Promise<string> {
  const text = await body.text();
  return text.slice(0, LARGEST_ERROR_CHARACTERS);
}

function describeCause(cause: unknown): string {
  if (!(cause instanceof Error)) return 'unknown cause';
  const {code} = cause as NodeJS.ErrnoException;
  return typeof code === 'string' ? code : cause.name;
}
