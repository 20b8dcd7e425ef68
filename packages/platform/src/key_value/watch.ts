/**
 * Watches one or more keys. A watch that disconnects is reopened after the
 * last revision it received. If the service no longer has the changes since
 * then, the watch reports a gap and the caller has to read the keys again.
 */
import {sleep, type Logger, type Millis} from '@goldcrestpier/runtime';
import {z} from 'zod';
import {PlatformFailureReason, type PlatformFailure} from '../failure.js';
import {CallEffect, type ServiceCall} from './service_call.js';
import type {Transport} from './transport.js';
import {
  encodeKeys,
  int64Schema,
  keyValueSchema,
  type KeyQuery,
  type KeyValue,
} from './values.js';

const WATCH_PATH = 'watch';
const MIN_RECONNECT_DELAY_MS = 50;
const MAX_RECONNECT_DELAY_MS = 2_000;
const MAX_LINE_CHARACTERS = 16 * 1024 * 1024;

/** What a message of a watch reports. */
export enum WatchKind {
  /** The watch is open; `revision` is the current one of the service. */
  Opened = 'opened',
  Events = 'events',
  /** Changes may have been missed; the caller has to read the keys again. */
  Gap = 'gap',
  /** The watch lost its connection and will be reopened. */
  Disconnected = 'broken',
}

/** One change of one key. */
export interface KeyValueEvent {
  readonly isDeleted: boolean;
  readonly kv: KeyValue;
}

/** A message of a watch. */
export type WatchMessage =
  | {readonly kind: WatchKind.Opened; readonly revision: number}
  | {
      readonly kind: WatchKind.Events;
      /** All changes of one revision arrive in the same message. */
      readonly events: readonly KeyValueEvent[];
    }
  | {readonly kind: WatchKind.Gap; readonly revision: number}
  | {readonly kind: WatchKind.Disconnected; readonly failure: PlatformFailure};

/** Which keys to watch, and from which revision. */
export interface WatchQuery extends KeyQuery {
  /** The first revision whose changes are reported. */
  readonly fromRevision: number;
}

const watchResponseSchema = z.object({
  result: z.object({
    header: z.object({revision: int64Schema}),
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    compact_revision: int64Schema,
    events: z
      .array(
        z.object({
          type: z.enum(['PUT', 'DELETE']).default('PUT'),
          kv: keyValueSchema,
        }),
      )
      .default([]),
  }),
});

type WatchResponse = z.infer<typeof watchResponseSchema>['result'];

/** Watches until `signal` aborts, reconnecting with backoff. Never throws. */
export async function* watchKeys(
  transport: Transport,
  query: WatchQuery,
  logger: Logger,
  signal: AbortSignal,
): AsyncGenerator<WatchMessage, void, void> {
  let fromRevision = query.fromRevision;
  let delayMs: Millis = MIN_RECONNECT_DELAY_MS;
  while (!signal.aborted) {
    const watch = watchOnce(transport, {...query, fromRevision}, signal);
    for await (const message of watch) {
      if (signal.aborted) return;
      if (message.kind === WatchKind.Disconnected) {
        logger.info('watch disconnected', {detail: message.failure.detail});
      } else {
        fromRevision = findNextRevision(message, fromRevision);
        delayMs = MIN_RECONNECT_DELAY_MS;
      }
      yield message;
    }
    await sleep(delayMs, signal);
    delayMs = Math.min(delayMs * 2, MAX_RECONNECT_DELAY_MS);
  }
}

/** Watches over one connection; the last message is `Disconnected` or `Gap`. */
async function* watchOnce(
  transport: Transport,
  query: WatchQuery,
  signal: AbortSignal,
): AsyncGenerator<WatchMessage, void, void> {
  const opened = await transport.openStream(createWatchCall(query), signal);
  if (opened.isErr()) {
    yield {kind: WatchKind.Disconnected, failure: opened.error};
    return;
  }
  const {body} = opened.value;
  let detail = 'watch stream ended';
  try {
    for await (const line of readLines(body)) {
      const response = parseResponse(line);
      if (response === undefined) {
        detail = 'response does not match the protocol';
        break;
      }
      const gapRevision = findGapRevision(response, query.fromRevision);
      if (gapRevision !== undefined) {
        yield {kind: WatchKind.Gap, revision: gapRevision};
        return;
      }
      if (response.canceled) break;
      yield* toMessages(response);
    }
  } catch (cause) {
    detail = cause instanceof Error ? cause.message : 'watch stream failed';
  } finally {
    body.destroy();
  }
  transport.preferNextEndpoint();
  yield {kind: WatchKind.Disconnected, failure: createWatchFailure(detail)};
}

function* toMessages(
  response: WatchResponse,
): Generator<WatchMessage, void, void> {
  const {revision} = response.header;
  if (response.created) yield {kind: WatchKind.Opened, revision};
  if (response.events.length === 0) return;
  const events = response.events.map(({type, kv}) => ({
    isDeleted: type === 'DELETE',
    kv,
  }));
  yield {kind: WatchKind.Events, events};
}

/** Returns the revision after which to resume if there is a gap. */
function findGapRevision(
  response: WatchResponse,
  fromRevision: number,
): number | undefined {
  if (response.compact_revision > 0) return response.compact_revision;
  // The service is behind a revision seen before: it was restored or lags.
  const {revision} = response.header;
  if (response.created && revision + 1 < fromRevision) return revision;
  return undefined;
}

function findNextRevision(
  message: Exclude<WatchMessage, {kind: WatchKind.Disconnected}>,
  fromRevision: number,
): number {
  switch (message.kind) {
    case WatchKind.Opened:
      return fromRevision;
    case WatchKind.Gap:
      return message.revision + 1;
    case WatchKind.Events: {
      const revisions = message.events.map(({kv}) => kv.modRevision);
      return Math.max(fromRevision, Math.max(...revisions) + 1);
    }
  }
}

function createWatchCall(query: WatchQuery): ServiceCall {
  const create_request = {
    ...encodeKeys(query),
    start_revision: String(query.fromRevision),
  };
  return {path: WATCH_PATH, effect: CallEffect.Read, body: {create_request}};
}

function parseResponse(line: string): WatchResponse | undefined {
  try {
    return watchResponseSchema.safeParse(JSON.parse(line)).data?.result;
  } catch {
    return undefined;
  }
}

async function* readLines(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<string, void, void> {
  const decoder = new TextDecoder();
  let incompleteLine = '';
  for await (const chunk of body) {
    const lines = (
      incompleteLine + decoder.decode(chunk, {stream: true})
    ).split('\n');
    incompleteLine = lines.pop() ?? '';
    if (incompleteLine.length > MAX_LINE_CHARACTERS)
      throw new Error('line too long');
    yield* lines.filter(line => line !== '');
  }
}

function createWatchFailure(detail: string): PlatformFailure {
  return {
    reason: PlatformFailureReason.TimedOut,
    call: WATCH_PATH,
    detail,
    mayHaveTakenEffect: false,
  };
}
