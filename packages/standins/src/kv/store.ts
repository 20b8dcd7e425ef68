import type {DeleteRequest, PutRequest, RangeRequest} from './messages.js';

/** One key with its value, as it stands at some revision. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly version: number;
  readonly lease: number;
}

/** One change of one key. */
export interface StoredEvent {
  readonly deleted: boolean;
  readonly kv: StoredValue;
  readonly previous: StoredValue | undefined;
}

/** Keys and values in memory, with every change since the last compaction. */
export class KeyValueStore {
  private readonly values = new Map<string, StoredValue>();
  private history: StoredEvent[] = [];
  private pending: StoredEvent[] = [];
  private compacted = 0;
  /** Called with the events of each committed change. */
  onCommit: (events: readonly StoredEvent[]) => void = () => undefined;

  constructor(private current = 1) {}

  /** The revision of the last committed change. */
  get revision(): number {
    return this.current;
  }

  /** Revisions up to this one are forgotten. */
  get compactedRevision(): number {
    return this.compacted;
  }

  /** The value of one key. */
  get(key: string): StoredValue | undefined {
    return this.values.get(key);
  }

  /** The values of one key or of a range, in the order of their keys. */
  range(request: Pick<RangeRequest, 'key' | 'range_end'>): StoredValue[] {
    if (request.range_end === '') {
      const value = this.values.get(request.key);
      return value === undefined ? [] : [value];
    }
    return [...this.values.values()]
      .filter(({key}) => isInRange(key, request))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** Writes; in force at once, told to watches on `commit`. */
  put(request: PutRequest): StoredValue | undefined {
    const previous = this.values.get(request.key);
    const kv: StoredValue = {
      key: request.key,
      value: request.value,
      createRevision: previous?.createRevision ?? this.current + 1,
      modRevision: this.current + 1,
      version: (previous?.version ?? 0) + 1,
      lease: request.lease,
    };
    this.values.set(kv.key, kv);
    this.pending.push({deleted: false, kv, previous});
    return previous;
  }

  /** Deletes; in force at once, told to watches on `commit`. */
  delete(request: Pick<DeleteRequest, 'key' | 'range_end'>): StoredValue[] {
    const gone = this.range(request);
    for (const previous of gone) {
      this.values.delete(previous.key);
      const kv: StoredValue = {
        key: previous.key,
        value: '',
        createRevision: 0,
        modRevision: this.current + 1,
        version: 0,
        lease: 0,
      };
      this.pending.push({deleted: true, kv, previous});
    }
    return gone;
  }

  /** Ends a change: one revision for everything written since the last. */
  commit(): void {
    if (this.pending.length === 0) return;
    const events = this.pending;
    this.pending = [];
    this.current += 1;
    this.history.push(...events);
    this.onCommit(events);
  }

  /** The events from `revision` on. */
  eventsFrom(revision: number): readonly StoredEvent[] {
    return this.history.filter(({kv}) => kv.modRevision >= revision);
  }

  /** Forgets the events up to and with `revision`. */
  compact(revision: number): void {
    this.compacted = Math.max(this.compacted, revision);
    this.history = this.eventsFrom(revision + 1).slice();
  }
}

/** Whether `key` is the one named, or lies in the range. */
export function isInRange(
  key: string,
  {key: from, range_end: end}: Pick<RangeRequest, 'key' | 'range_end'>,
): boolean {
  if (end === '') return key === from;
  return key >= from && (end === '\0' || key < end);
}
