import type {ServerResponse} from 'node:http';
import {formatEvent, formatHeader, type JsonObject} from './json_format.js';
import type {WatchRequest} from './messages.js';
import {isInRange, type KeyValueStore, type StoredEvent} from './store.js';

interface Watch {
  readonly request: WatchRequest;
  readonly response: ServerResponse;
}

/** Open watches, each a streamed response with one JSON object per line. */
export class Watches {
  private readonly watches = new Set<Watch>();

  constructor(private readonly store: KeyValueStore) {
    store.onCommit = events => this.notifyAll(events);
  }

  /** Number of open watches. */
  get size(): number {
    return this.watches.size;
  }

  /** Opens a watch: sends past events from `start_revision`, then new ones. */
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
    this.watches.add(watch);
    response.on('close', () => this.watches.delete(watch));
    this.write(response, {created: true});
    if (from > 0) this.notify(watch, this.store.readEventsFrom(from));
  }

  /** Closes the connections of all watches without a final message. */
  disconnectAll(): void {
    for (const {response} of this.watches) response.destroy();
    this.watches.clear();
  }

  private notifyAll(events: readonly StoredEvent[]): void {
    for (const watch of this.watches) this.notify(watch, events);
  }

  private notify(watch: Watch, events: readonly StoredEvent[]): void {
    const matching = events.filter(({kv}) => isInRange(kv.key, watch.request));
    if (matching.length === 0) return;
    this.write(watch.response, {
      events: matching.map(event => formatEvent(event, watch.request.prev_kv)),
    });
  }

  private write(response: ServerResponse, result: JsonObject): void {
    const header = formatHeader(this.store.revision);
    response.write(`${JSON.stringify({result: {header, ...result}})}\n`);
  }
}
