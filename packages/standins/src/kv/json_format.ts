/** JSON format of the etcd gateway, which omits fields that are zero. */
import type {StoredEvent, StoredValue} from './store.js';

/** JSON object of a response. */
export interface JsonObject {
  [field: string]: unknown;
}

/** Formats a key with its value. */
export function formatValue(kv: StoredValue, keysOnly = false): JsonObject {
  return {
    key: toBase64(kv.key),
    ...formatInt64('create_revision', kv.createRevision),
    ...formatInt64('mod_revision', kv.modRevision),
    ...formatInt64('version', kv.version),
    ...(keysOnly || kv.value === '' ? {} : {value: toBase64(kv.value)}),
    ...formatInt64('lease', kv.lease),
  };
}

/** Formats an event of a watch. */
export function formatEvent(
  event: StoredEvent,
  isPreviousIncluded: boolean,
): JsonObject {
  return {
    ...(event.isDeletion ? {type: 'DELETE'} : {}),
    kv: formatValue(event.kv),
    ...(isPreviousIncluded && event.previous !== undefined
      ? {prev_kv: formatValue(event.previous)}
      : {}),
  };
}

/** Formats the header of a response. */
export function formatHeader(revision: number): JsonObject {
  return {
    cluster_id: '1',
    member_id: '1',
    revision: String(revision),
    raft_term: '1',
  };
}

/** Formats a 64-bit number as a field; no field if it is 0. */
export function formatInt64(field: string, value: number): JsonObject {
  return value === 0 ? {} : {[field]: String(value)};
}

function toBase64(text: string): string {
  return Buffer.from(text, 'latin1').toString('base64');
}
