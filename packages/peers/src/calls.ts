/** The names of the protocol's calls, and counts of their messages. */
import type {PeerHandlers} from './handlers.js';

/** The name of one call of the peers' protocol. */
export type PeerCall = keyof PeerHandlers;

/** The two kinds of tRPC's calls that the protocol uses. */
export type CallMethod = 'query' | 'mutation';

/** How tRPC's router takes each call of a protocol, by the call's name. */
export type CallMethods = Readonly<Record<string, CallMethod>>;

/** How tRPC's router takes each call of the peers' protocol. */
export const callMethods: Readonly<Record<PeerCall, CallMethod>> = {
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

/** Whether `path` names a call of the protocol. */
export function isCallOf(methods: CallMethods, path: unknown): path is string {
  return typeof path === 'string' && Object.hasOwn(methods, path);
}

/** Which way a message went. */
export enum Direction {
  Sent = 'sent',
  Received = 'received',
}

/** Told of each message with its size. Pings of the transport are left out. */
export interface MessageCounts {
  /** `bytes` is the size of the message's text, without framing. */
  count(direction: Direction, call: string, bytes: number): void;
}

/** Counts nothing. */
export const noCounts: MessageCounts = {count: () => undefined};
