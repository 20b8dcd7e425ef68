/** Client side of one open connection to a peer, with its pending calls. */
import {failureSchema} from '@goldcrestpier/protocol';
import {
  startTimeoutAfterReads,
  type CancelTimeout,
} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {WebSocket, type RawData} from 'ws';
import {z} from 'zod';
import {Direction, type CallMethods, type MessageCounter} from '../calls.js';
import type {WriteCoalescer} from '../write_coalescer.js';
import {
  createNotSent,
  createUnknown,
  NotSentReason,
  PeerFailureKind,
  UnknownReason,
  type PeerFailure,
} from './failure.js';
import type {PeerLinkLimits} from './limits.js';

/** One call to send to the peer. */
export interface OutgoingCall {
  readonly call: string;
  readonly input: unknown;
  /** Maximum time to wait for the answer, in ms. */
  readonly timeoutMs: number;
}

/** Called exactly once, with the answer to a call or its failure. */
export type ResultCallback = (result: Result<unknown, PeerFailure>) => void;

interface PendingCall {
  readonly call: string;
  readonly cancelTimeout: CancelTimeout;
  readonly onResult: ResultCallback;
}

const answerIdSchema = z.object({id: z.number()});
const answerSchema = z.union([
  z.object({result: z.object({data: z.unknown().optional()})}),
  z.object({error: z.object({data: z.object({failure: failureSchema})})}),
]);

/** Sends calls and matches answers to them by id; settles each call once. */
export class ClientConnection {
  private readonly pendingCalls = new Map<number, PendingCall>();
  private lastId = 0;

  constructor(
    private readonly socket: WebSocket,
    private readonly limits: PeerLinkLimits,
    private readonly messageCounter: MessageCounter,
    private readonly methods: CallMethods,
    private readonly coalescer?: WriteCoalescer,
  ) {
    socket.on('message', data => this.handleAnswer(data));
    socket.once('close', () => this.failAll());
  }

  /** Whether the socket is open, so that calls can be sent. */
  get isOpen(): boolean {
    return this.socket.readyState === WebSocket.OPEN;
  }

  /** Sends one call. `onResult` is called once, and never synchronously. */
  send(outgoing: OutgoingCall, onResult: ResultCallback): void {
    const {call, input, timeoutMs} = outgoing;
    const id = (this.lastId += 1);
    const method = this.methods[call];
    const frame = encode({id, method, params: {path: call, input}});
    const notSentReason = this.findNotSentReason(frame);
    if (frame === undefined || notSentReason !== undefined) {
      const reason = notSentReason ?? NotSentReason.NotSerializable;
      queueMicrotask(() => onResult(Err(createNotSent(reason))));
      return;
    }
    const cancelTimeout = startTimeoutAfterReads(() => {
      this.settleCall(id, Err(createUnknown(UnknownReason.TimedOut)));
    }, timeoutMs);
    this.pendingCalls.set(id, {call, cancelTimeout, onResult});
    this.messageCounter.count(Direction.Sent, call, Buffer.byteLength(frame));
    this.coalescer?.corkThisTurn();
    this.socket.send(frame);
  }

  private findNotSentReason(
    frame: string | undefined,
  ): NotSentReason | undefined {
    if (!this.isOpen) return NotSentReason.Disconnected;
    if (frame === undefined) return NotSentReason.NotSerializable;
    if (Buffer.byteLength(frame) > this.limits.maxMessageBytes) {
      return NotSentReason.TooLarge;
    }
    const isCongested =
      this.socket.bufferedAmount > this.limits.maxBufferedBytes ||
      this.pendingCalls.size >= this.limits.maxCallsInFlight;
    return isCongested ? NotSentReason.Congested : undefined;
  }

  private handleAnswer(data: RawData): void {
    // `ws` delivers each message as a single Buffer by default.
    const text = (data as Buffer).toString('utf8');
    const answer = decode(text);
    const parsedId = answerIdSchema.safeParse(answer);
    // An answer without an id matches no call; its call ends by timeout.
    if (!parsedId.success) return;
    const {id} = parsedId.data;
    const pendingCall = this.pendingCalls.get(id);
    if (pendingCall === undefined) return;
    const bytes = Buffer.byteLength(text);
    this.messageCounter.count(Direction.Received, pendingCall.call, bytes);
    this.settleCall(id, toCallResult(answer));
  }

  private settleCall(id: number, result: Result<unknown, PeerFailure>): void {
    const pendingCall = this.pendingCalls.get(id);
    if (pendingCall === undefined) return;
    this.pendingCalls.delete(id);
    pendingCall.cancelTimeout();
    pendingCall.onResult(result);
  }

  private failAll(): void {
    for (const id of [...this.pendingCalls.keys()]) {
      this.settleCall(id, Err(createUnknown(UnknownReason.Disconnected)));
    }
  }
}

function toCallResult(answer: unknown): Result<unknown, PeerFailure> {
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
    // The input cannot be serialised as JSON; the caller gets a typed failure.
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
