/** Server side of one peer's connection. */
import {createFailure, FailureCode, RunStatus} from '@goldcrestpier/protocol';
import type {WebSocket} from 'ws';
import {z} from 'zod';
import {
  Direction,
  isCallName,
  type CallMethods,
  type MessageCounter,
} from '../calls.js';
import type {WriteCoalescer} from '../write_coalescer.js';
import {RefusedCallError} from './failure.js';
import type {PeerServerLimits} from './limits.js';

/** tRPC's error code for a payload that is too large. */
const PAYLOAD_TOO_LARGE = -32013;

/** tRPC's message for one call. Batches and subscriptions are not supported. */
const requestSchema = z.object({
  id: z.number(),
  method: z.enum(['query', 'mutation']),
  params: z.object({path: z.string(), input: z.unknown().optional()}),
});

/**
 * Decodes and encodes the text frames of one connection. It is tRPC's encoder
 * because only at this layer are both the size of a message and its call known.
 */
export class ServerConnection {
  /** Names of the calls that are not answered yet, by call id. */
  private readonly pendingCalls = new Map<number, string>();

  constructor(
    private readonly socket: WebSocket,
    private readonly limits: PeerServerLimits,
    private readonly messageCounter: MessageCounter,
    private readonly coalescer: WriteCoalescer,
    private readonly methods: CallMethods,
  ) {}

  /** Number of calls that are not answered yet. */
  get callsInFlight(): number {
    return this.pendingCalls.size;
  }

  /** Whether the pending calls, including the present one, exceed the limit. */
  get isFull(): boolean {
    return this.pendingCalls.size > this.limits.maxCallsInFlight;
  }

  /** Decodes one call. Throws on other frames; tRPC answers with the error. */
  decode(frame: unknown): unknown {
    if (typeof frame !== 'string') throw new TypeError('expected a text frame');
    const request = requestSchema.parse(JSON.parse(frame));
    this.rejectDuplicateId(request.id);
    const {path} = request.params;
    if (isCallName(this.methods, path)) {
      this.pendingCalls.set(request.id, path);
      this.messageCounter.count(
        Direction.Received,
        path,
        Buffer.byteLength(frame),
      );
    }
    return request;
  }

  /** Encodes one answer. */
  encode(answer: unknown): string {
    const {id} = answer as {readonly id?: unknown};
    const fullFrame = JSON.stringify(answer);
    const isTooLarge =
      Buffer.byteLength(fullFrame) > this.limits.maxMessageBytes;
    const frame = isTooLarge ? this.encodeTooLargeFailure(id) : fullFrame;
    if (typeof id === 'number') this.recordAnswer(id, frame);
    if (this.socket.bufferedAmount > this.limits.maxBufferedBytes) {
      // A peer that stops reading must not exhaust this process's memory.
      this.socket.terminate();
    }
    this.coalescer.corkThisTurn();
    return frame;
  }

  private rejectDuplicateId(id: number): void {
    if (!this.pendingCalls.has(id)) return;
    const expected = 'expected an id that is not in use';
    const problem = {path: 'id', found: String(id), expected};
    throw new RefusedCallError(
      createFailure(FailureCode.InvalidRequest, {problems: [problem]}),
    );
  }

  /**
   * Returns a failure in place of an answer over the size limit, for which the
   * peer would close the connection and fail every call on it.
   */
  private encodeTooLargeFailure(id: unknown): string {
    const {maxMessageBytes} = this.limits;
    const failure = createFailure(
      FailureCode.BodyTooLarge,
      {limitBytes: maxMessageBytes},
      {ran: RunStatus.MayHaveRun},
    );
    const error = {code: PAYLOAD_TOO_LARGE, message: failure.code};
    return JSON.stringify({id, error: {...error, data: {failure}}});
  }

  private recordAnswer(id: number, frame: string): void {
    const call = this.pendingCalls.get(id);
    if (call === undefined) return;
    this.pendingCalls.delete(id);
    this.messageCounter.count(Direction.Sent, call, Buffer.byteLength(frame));
  }
}
