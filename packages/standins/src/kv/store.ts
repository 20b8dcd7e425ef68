import type {DeleteRequest, PutRequest, RangeRequest} from './messages.js';

/** A key with its value at some revision. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly version: number;
  readonly lease: number;
}

/** A change of one key. */
export interface StoredEvent {
  readonly isDeletion: boolean;
  readonly kv: StoredValue;
  readonly previous: StoredValue | undefined;
}

/** In-memory keys and values, with the history since the last compaction. */
export class KeyValueStore {
  private readonly values = new Map<string, StoredValue>();
  private history: StoredEvent[] = [];
  private pending: StoredEvent[] = [];
  private lastCompacted = 0;
  /** Called with the events of each commit. */
  onCommit: (events: readonly StoredEvent[]) => void = () => undefined;

  constructor(private currentRevision = 1) {}

  /** Revision of the last commit. */
  get revision(): number {
    return this.currentRevision;
  }

  /** The history up to and including this revision is deleted. */
  get compactedRevision(): number {
    return this.lastCompacted;
  }

  /** Returns the value of one key. */
  get(key: string): StoredValue | undefined {
    return this.values.get(key);
  }

  /** Returns one key or a range, sorted by key. */
  range(request: Pick<RangeRequest, 'key' | 'range_end'>): StoredValue[] {
    if (request.range_end === '') {
      const value = this.values.get(request.key);
      return value === undefined ? [] : [value];
    }
    return [...this.values.values()]
      .filter(({key}) => isInRange(key, request))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** Writes a key; visible immediately, sent to watches on `commit`. */
  put(request: PutRequest): StoredValue | undefined {
    const previous = this.values.get(request.key);
    const kv: StoredValue = {
      key: request.key,
      value: request.value,
      createRevision: previous?.createRevision ?? this.currentRevision + 1,
      modRevision: this.currentRevision + 1,
      version: (previous?.version ?? 0) + 1,
      lease: request.lease,
    };
    this.values.set(kv.key, kv);
    this.pending.push({isDeletion: false, kv, previous});
    return previous;
  }

  /** Deletes keys; visible immediately, sent to watches on `commit`. */
  delete(request: Pick<DeleteRequest, 'key' | 'range_end'>): StoredValue[] {
    const deleted = this.range(request);
    for (const previous of deleted) {
      this.values.delete(previous.key);
      const kv: StoredValue = {
        key: previous.key,
        value: '',
        createRevision: 0,
        modRevision: this.currentRevision + 1,
        version: 0,
        lease: 0,
      };
      this.pending.push({isDeletion: true, kv, previous});
    }
    return deleted;
  }

  /** Makes all writes since the last commit a single revision. */
  commit(): void {
    if (this.pending.length === 0) return;
    const events = this.pending;
    this.pending = [];
    this.currentRevision += 1;
    this.history.push(...events);
    this.onCommit(events);
  }

  /** Returns the events from `revision` on. */
  readEventsFrom(revision: number): readonly StoredEvent[] {
    return this.history.filter(({kv}) => kv.modRevision >= revision);
  }

  /** Deletes the history up to and including `revision`. */
  compact(revision: number): void {
    this.lastCompacted = Math.max(this.lastCompacted, revision);
    this.history = this.readEventsFrom(revision + 1).slice();
  }
}

/** Whether `key` is the requested key or lies in the requested range. */
export function isInRange(
  key: string,
  {key: from, range_end: end}: Pick<RangeRequest, 'key' | 'range_end'>,
): boolean {
  if (end === '') return key === from;
  return key >= from && (end === '\0' || key < end);
}
