/** One peer's connection as the server sees it. */
import {createFailure, FailureCode, RunStatus} from '@goldcrestpier/protocol';
import type {WebSocket} from 'ws';
import {z} from 'zod';
import {
  Direction,
  isCallOf,
  type CallMethods,
  type MessageCounts,
} from '../calls.js';
import type {Coalescer} from '../coalesce.js';
import {RefusedCallError} from './failure.js';
import type {PeerServerLimits} from './limits.js';

/** tRPC's code of a message that is too large. */
const PAYLOAD_TOO_LARGE = -32013;

/** tRPC's message for one call. Batches and subscriptions are not spoken. */
const requestSchema = z.object({
  id: z.number(),
  method: z.enum(['query', 'mutation']),
  params: z.object({path: z.string(), input: z.unknown().optional()}),
});

/**
 * Reads and writes the text frames of one connection. It stands between
 * tRPC's adapter and the socket because only there the size of a message and
 * its call are both known.
 */
export class PeerConnection {
  /** Calls whose answers are still to come, by their ids. */
  private readonly waiting = new Map<number, string>();

  constructor(
    private readonly socket: WebSocket,
    private readonly limits: PeerServerLimits,
    private readonly counts: MessageCounts,
    private readonly coalescer: Coalescer,
    private readonly methods: CallMethods,
  ) {}

  /** Calls that wait for their answers. */
  get callsInFlight(): number {
    return this.waiting.size;
  }

  /** Whether one call too many waits for its answer. */
  get isFull(): boolean {
    return this.waiting.size > this.limits.maxCallsInFlight;
  }

  /** Reads one frame. Throws on anything but one call, which tRPC answers. */
  decode(frame: unknown): unknown {
    if (typeof frame !== 'string') throw new TypeError('expected a text frame');
    const request = requestSchema.parse(JSON.parse(frame));
    this.checkId(request.id);
    const {path} = request.params;
    if (isCallOf(this.methods, path)) {
      this.waiting.set(request.id, path);
      this.counts.count(Direction.Received, path, Buffer.byteLength(frame));
    }
    return request;
  }

  /** Writes one answer. */
  encode(answer: unknown): string {
    const {id} = answer as {readonly id?: unknown};
    const whole = JSON.stringify(answer);
    const isTooLarge = Buffer.byteLength(whole) > this.limits.maxMessageBytes;
    const frame = isTooLarge ? this.refuseAnswer(id) : whole;
    if (typeof id === 'number') this.noteAnswer(id, frame);
    if (this.socket.bufferedAmount > this.limits.maxUnreadBytes) {
      // A reader that takes nothing must not fill this process's memory.
      this.socket.terminate();
    }
    this.coalescer.hold();
    return frame;
  }

  private checkId(id: number): void {
    if (!this.waiting.has(id)) return;
    const expected = 'expected an id that is not in use';
    const problem = {path: 'id', found: String(id), expected};
    throw new RefusedCallError(
      createFailure(FailureCode.InvalidRequest, {problems: [problem]}),
    );
  }

  /** The peer would end its connection, and every call on it, over the whole. */
  private refuseAnswer(id: unknown): string {
    const {maxMessageBytes} = this.limits;
    const failure = createFailure(
      FailureCode.BodyTooLarge,
      {limitBytes: maxMessageBytes},
      {ran: RunStatus.MayHaveRun},
    );
    const error = {code: PAYLOAD_TOO_LARGE, message: failure.code};
    return JSON.stringify({id, error: {...error, data: {failure}}});
  }

  private noteAnswer(id: number, frame: string): void {
    const call = this.waiting.get(id);
    if (call === undefined) return;
    this.waiting.delete(id);
    this.counts.count(Direction.Sent, call, Buffer.byteLength(frame));
  }
}
