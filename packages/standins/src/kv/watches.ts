import type {ServerResponse} from 'node:http';
import {writeEvent, writeHeader, type JsonObject} from './answers.js';
import type {WatchRequest} from './messages.js';
import {isInRange, type KeyValueStore, type StoredEvent} from './store.js';

interface Watch {
  readonly request: WatchRequest;
  readonly response: ServerResponse;
}

/** Waiting watches, each a streamed answer of one JSON object a line. */
export class Watches {
  private readonly waiting = new Set<Watch>();

  constructor(private readonly store: KeyValueStore) {
    store.onCommit = events => this.tellAll(events);
  }

  /** How many wait. */
  get size(): number {
    return this.waiting.size;
  }

  /** Begins a watch: first what it missed, then each change as it comes. */
  open(request: WatchRequest, response: ServerResponse): void {
    response.writeHead(200, {'content-type': 'application/json'});
    const from = request.start_revision;
    if (from > 0 && from <= this.store.compactedRevision) {
      this.write(response, {
        created: true,
        canceled: true,
        compact_revision: String(this.store.compactedRevision),
        cancel_reason: 'etcdserver: mvcc: required revision has been compacted',
      });
      response.end();
      return;
    }
    const watch: Watch = {request, response};
    this.waiting.add(watch);
    response.on('close', () => this.waiting.delete(watch));
    this.write(response, {created: true});
    if (from > 0) this.tell(watch, this.store.eventsFrom(from));
  }

  /** Breaks every watch without a word. */
  dropAll(): void {
    for (const {response} of this.waiting) response.destroy();
    this.waiting.clear();
  }

  private tellAll(events: readonly StoredEvent[]): void {
    for (const watch of this.waiting) this.tell(watch, events);
  }

  private tell(watch: Watch, events: readonly StoredEvent[]): void {
    const own = events.filter(({kv}) => isInRange(kv.key, watch.request));
    if (own.length === 0) return;
    this.write(watch.response, {
      events: own.map(event => writeEvent(event, watch.request.prev_kv)),
    });
  }

  private write(response: ServerResponse, result: JsonObject): void {
    const header = writeHeader(this.store.revision);
    response.write(`${JSON.stringify({result: {header, ...result}})}\n`);
  }
}
