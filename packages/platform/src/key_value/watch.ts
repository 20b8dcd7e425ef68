/**
 * Watches one key or a prefix for as long as its reader wants. A broken watch
 * is opened again from the last revision it saw; when that cannot be had any
 * more, the reader is told of the gap and has to read anew.
 */
import {sleep, type Logger, type Millis} from '@goldcrestpier/runtime';
import {z} from 'zod';
import {PlatformReason, type PlatformFailure} from '../failure.js';
import {CallEffect, type ServiceCall, type Transport} from './transport.js';
import {
  encodeKeys,
  int64Schema,
  keyValueSchema,
  type KeyQuery,
  type KeyValue,
} from './values.js';

const WATCH_PATH = 'watch';
const SHORTEST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 2_000;
const LONGEST_LINE_CHARACTERS = 16 * 1024 * 1024;

/** What a watch tells. */
export enum WatchKind {
  /** The watch is open; the service stands at `revision`. */
  Opened = 'opened',
  Events = 'events',
  /** Changes may have been missed: read anew. */
  Gap = 'gap',
  /** The watch broke and is being opened again. */
  Broken = 'broken',
}

/** One change of one key. */
export interface KeyValueEvent {
  readonly deleted: boolean;
  readonly kv: KeyValue;
}

/** What a watch tells. */
export type WatchMessage =
  | {readonly kind: WatchKind.Opened; readonly revision: number}
  | {
      readonly kind: WatchKind.Events;
      /** Changes of one revision are never split. */
      readonly events: readonly KeyValueEvent[];
    }
  | {readonly kind: WatchKind.Gap; readonly revision: number}
  | {readonly kind: WatchKind.Broken; readonly failure: PlatformFailure};

/** What to watch and from where. */
export interface WatchQuery extends KeyQuery {
  /** The first revision to be told of. */
  readonly fromRevision: number;
}

const answerSchema = z.object({
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

type Answer = z.infer<typeof answerSchema>['result'];

/** Watches until `signal` aborts. Never throws. */
export async function* watchKeys(
  transport: Transport,
  query: WatchQuery,
  logger: Logger,
  signal: AbortSignal,
): AsyncGenerator<WatchMessage, void, void> {
  let fromRevision = query.fromRevision;
  let pauseMs: Millis = SHORTEST_PAUSE_MS;
  while (!signal.aborted) {
    const watch = watchOnce(transport, {...query, fromRevision}, signal);
    for await (const message of watch) {
      if (signal.aborted) return;
      if (message.kind === WatchKind.Broken) {
        logger.info('watch broke', {detail: message.failure.detail});
      } else {
        fromRevision = findNext(message, fromRevision);
        pauseMs = SHORTEST_PAUSE_MS;
      }
      yield message;
    }
    await sleep(pauseMs, signal);
    pauseMs = Math.min(pauseMs * 2, LONGEST_PAUSE_MS);
  }
}

/** One connection's worth of watching; ends with `Broken` or a gap. */
async function* watchOnce(
  transport: Transport,
  query: WatchQuery,
  signal: AbortSignal,
): AsyncGenerator<WatchMessage, void, void> {
  const opened = await transport.open(createCall(query), signal);
  if (opened.isErr()) {
    yield {kind: WatchKind.Broken, failure: opened.error};
    return;
  }
  const {body} = opened.value;
  let detail = 'the stream ended';
  try {
    for await (const line of readLines(body)) {
      const answer = parseAnswer(line);
      if (answer === undefined) {
        detail = 'answer is not what the protocol says';
        break;
      }
      const gap = findGap(answer, query.fromRevision);
      if (gap !== undefined) {
        yield {kind: WatchKind.Gap, revision: gap};
        return;
      }
      if (answer.canceled) break;
      yield* readMessages(answer);
    }
  } catch (cause) {
    detail = cause instanceof Error ? cause.message : 'the stream broke';
  } finally {
    body.destroy();
  }
  transport.preferNext();
  yield {kind: WatchKind.Broken, failure: createFailure(detail)};
}

function* readMessages(answer: Answer): Generator<WatchMessage, void, void> {
  const {revision} = answer.header;
  if (answer.created) yield {kind: WatchKind.Opened, revision};
  if (answer.events.length === 0) return;
  const events = answer.events.map(({type, kv}) => ({
    deleted: type === 'DELETE',
    kv,
  }));
  yield {kind: WatchKind.Events, events};
}

/** The revision from which changes cannot be had, if that is so. */
function findGap(answer: Answer, from: number): number | undefined {
  if (answer.compact_revision > 0) return answer.compact_revision;
  // The service is behind what was seen of it: it was set back or lags.
  const {revision} = answer.header;
  if (answer.created && revision + 1 < from) return revision;
  return undefined;
}

function findNext(
  message: Exclude<WatchMessage, {kind: WatchKind.Broken}>,
  from: number,
): number {
  switch (message.kind) {
    case WatchKind.Opened:
      return from;
    case WatchKind.Gap:
      return message.revision + 1;
    case WatchKind.Events: {
      const revisions = message.events.map(({kv}) => kv.modRevision);
      return Math.max(from, Math.max(...revisions) + 1);
    }
  }
}

function createCall(query: WatchQuery): ServiceCall {
  const create_request = {
    ...encodeKeys(query),
    start_revision: String(query.fromRevision),
  };
  return {path: WATCH_PATH, effect: CallEffect.Read, body: {create_request}};
}

function parseAnswer(line: string): Answer | undefined {
  try {
    return answerSchema.safeParse(JSON.parse(line)).data?.result;
  } catch {
    return undefined;
  }
}

async function* readLines(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<string, void, void> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of body) {
    const lines = (rest + decoder.decode(chunk, {stream: true})).split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > LONGEST_LINE_CHARACTERS) throw new Error('long line');
    yield* lines.filter(line => line !== '');
  }
}

function createFailure(detail: string): PlatformFailure {
  return {
    reason: PlatformReason.TimedOut,
    call: WATCH_PATH,
    detail,
    mayHaveTakenEffect: false,
  };
}
