/**
 * Posts JSON to the service's endpoints. A read that fails for a fault of the
 * endpoint is retried at the next one; a write only if none of it was sent.
 */
import {Readable} from 'node:stream';
import {
  readClock,
  startTimeoutAfterReads,
  type Logger,
  type Millis,
} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {Agent, request} from 'undici';
import type {PlatformFailure} from '../failure.js';
import {
  createConnectionFailure,
  createErrorResponseFailure,
  createUnreachableFailure,
  describeCause,
  readErrorText,
} from './call_failure.js';
import {CallEffect, type ServiceCall} from './service_call.js';

const MAX_CONNECTIONS = 8;
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
const TCP_KEEP_ALIVE_DELAY_MS = 5_000;

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
    const timeout = new AbortController();
    const cancelTimeout = startTimeoutAfterReads(
      () => timeout.abort(new DOMException('call timed out', 'TimeoutError')),
      timeoutMs,
    );
    try {
      const {statusCode, body} = await request(`${endpoint}/v3/${call.path}`, {
        method: 'POST',
        headers: {
          'content-type': 'application/json',
          'content-length': String(trackedBody.bytes),
        },
        body: trackedBody.body,
        dispatcher: this.agent,
        signal: timeout.signal,
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
    } finally {
      cancelTimeout();
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
