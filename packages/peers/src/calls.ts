/** The calls of the peer protocol, and the counter for their messages. */
import type {PeerHandlers} from './handlers.js';

/** Name of a call of the peer protocol. */
export type PeerCallName = keyof PeerHandlers;

/** The tRPC procedure types that the protocols use. */
export type CallMethod = 'query' | 'mutation';

/** tRPC procedure type of each call of a protocol, by call name. */
export type CallMethods = Readonly<Record<string, CallMethod>>;

/** tRPC procedure type of each call of the peer protocol. */
export const callMethods: Readonly<Record<PeerCallName, CallMethod>> = {
  heartbeat: 'mutation',
  submit: 'mutation',
  read: 'query',
  cancel: 'mutation',
  endSession: 'mutation',
  handOver: 'mutation',
  readSettings: 'query',
  demand: 'mutation',
  settle: 'mutation',
  offer: 'mutation',
  inspect: 'query',
};

/** Whether `path` is the name of a call in `methods`. */
export function isCallName(
  methods: CallMethods,
  path: unknown,
): path is string {
  return typeof path === 'string' && Object.hasOwn(methods, path);
}

/** Direction of a message, from the point of view of this process. */
export enum Direction {
  Sent = 'sent',
  Received = 'received',
}

/** Counts messages and their sizes, without WebSocket pings and pongs. */
export interface MessageCounter {
  /** Records one message; `bytes` is its payload size without framing. */
  count(direction: Direction, call: string, bytes: number): void;
}

/** Counter that does nothing. */
export const noopMessageCounter: MessageCounter = {count: () => undefined};
