/** One open connection to a peer, with the calls that wait on it. */
import {failureSchema} from '@goldcrestpier/protocol';
import {startReadingTimeout, type CancelTimeout} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {WebSocket, type RawData} from 'ws';
import {z} from 'zod';
import {Direction, type CallMethods, type MessageCounts} from '../calls.js';
import type {Coalescer} from '../coalesce.js';
import {
  createNotSent,
  createUnknown,
  NotSentReason,
  PeerFailureKind,
  UnknownReason,
  type PeerFailure,
} from './failure.js';
import type {PeerLinkLimits} from './limits.js';

/** One call on its way to the peer. */
export interface OutgoingCall {
  readonly call: string;
  readonly input: unknown;
  /** How long to wait for the answer, in ms. */
  readonly timeoutMs: number;
}

/** Is told once how a call ended. */
export type Settle = (result: Result<unknown, PeerFailure>) => void;

interface WaitingCall {
  readonly call: string;
  readonly cancelTimeout: CancelTimeout;
  readonly settle: Settle;
}

const addressedSchema = z.object({id: z.number()});
const answerSchema = z.union([
  z.object({result: z.object({data: z.unknown().optional()})}),
  z.object({error: z.object({data: z.object({failure: failureSchema})})}),
]);

/** Sends calls and hands their answers back, each once. */
export class PeerConnection {
  private readonly waiting = new Map<number, WaitingCall>();
  private lastId = 0;

  constructor(
    private readonly socket: WebSocket,
    private readonly limits: PeerLinkLimits,
    private readonly counts: MessageCounts,
    private readonly methods: CallMethods,
    private readonly coalescer?: Coalescer,
  ) {
    socket.on('message', data => this.takeAnswer(data));
    socket.once('close', () => this.failAll());
  }

  /** Whether calls can be sent. */
  get isOpen(): boolean {
    return this.socket.readyState === WebSocket.OPEN;
  }

  /** Sends one call; `settle` is called once, never within this call. */
  send(outgoing: OutgoingCall, settle: Settle): void {
    const {call, input, timeoutMs} = outgoing;
    const id = (this.lastId += 1);
    const method = this.methods[call];
    const frame = encode({id, method, params: {path: call, input}});
    const refusal = this.findRefusal(frame);
    if (frame === undefined || refusal !== undefined) {
      const reason = refusal ?? NotSentReason.NoJson;
      queueMicrotask(() => settle(Err(createNotSent(reason))));
      return;
    }
    const cancelTimeout = startReadingTimeout(() => {
      this.settle(id, Err(createUnknown(UnknownReason.TimedOut)));
    }, timeoutMs);
    this.waiting.set(id, {call, cancelTimeout, settle});
    this.counts.count(Direction.Sent, call, Buffer.byteLength(frame));
    this.coalescer?.hold();
    this.socket.send(frame);
  }

  private findRefusal(frame: string | undefined): NotSentReason | undefined {
    if (!this.isOpen) return NotSentReason.Disconnected;
    if (frame === undefined) return NotSentReason.NoJson;
    if (Buffer.byteLength(frame) > this.limits.maxMessageBytes) {
      return NotSentReason.TooLarge;
    }
    const isCongested =
      this.socket.bufferedAmount > this.limits.maxUnsentBytes ||
      this.waiting.size >= this.limits.maxCallsInFlight;
    return isCongested ? NotSentReason.Congested : undefined;
  }

  private takeAnswer(data: RawData): void {
    // The socket hands over one Buffer for each message.
    const text = (data as Buffer).toString('utf8');
    const answer = decode(text);
    const addressed = addressedSchema.safeParse(answer);
    // An answer to no call settles nothing; its call ends by its timeout.
    if (!addressed.success) return;
    const {id} = addressed.data;
    const waiting = this.waiting.get(id);
    if (waiting === undefined) return;
    const bytes = Buffer.byteLength(text);
    this.counts.count(Direction.Received, waiting.call, bytes);
    this.settle(id, readAnswer(answer));
  }

  private settle(id: number, result: Result<unknown, PeerFailure>): void {
    const waiting = this.waiting.get(id);
    if (waiting === undefined) return;
    this.waiting.delete(id);
    waiting.cancelTimeout();
    waiting.settle(result);
  }

  private failAll(): void {
    for (const id of [...this.waiting.keys()]) {
      this.settle(id, Err(createUnknown(UnknownReason.Disconnected)));
    }
  }
}

function readAnswer(answer: unknown): Result<unknown, PeerFailure> {
  const parsed = answerSchema.safeParse(answer);
  if (!parsed.success) return Err(createUnknown(UnknownReason.Malformed));
  if ('result' in parsed.data) return Ok(parsed.data.result.data);
  const {failure} = parsed.data.error.data;
  return Err({kind: PeerFailureKind.Refused, failure});
}

function encode(message: unknown): string | undefined {
  try {
    return JSON.stringify(message);
  } catch {
    // A value with no JSON form is a fault of the caller, who is told so.
    return undefined;
  }
}

function decode(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
