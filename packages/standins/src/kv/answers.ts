/** Answers in the gateway's JSON form, which leaves out what is zero. */
import type {StoredEvent, StoredValue} from './store.js';

/** One JSON object of an answer. */
export interface JsonObject {
  [field: string]: unknown;
}

/** One key with its value. */
export function writeValue(kv: StoredValue, keysOnly = false): JsonObject {
  return {
    key: toBase64(kv.key),
    ...writeNumber('create_revision', kv.createRevision),
    ...writeNumber('mod_revision', kv.modRevision),
    ...writeNumber('version', kv.version),
    ...(keysOnly || kv.value === '' ? {} : {value: toBase64(kv.value)}),
    ...writeNumber('lease', kv.lease),
  };
}

/** One event of a watch. */
export function writeEvent(event: StoredEvent, withOld: boolean): JsonObject {
  return {
    ...(event.deleted ? {type: 'DELETE'} : {}),
    kv: writeValue(event.kv),
    ...(withOld && event.previous !== undefined
      ? {prev_kv: writeValue(event.previous)}
      : {}),
  };
}

/** The header of every answer. */
export function writeHeader(revision: number): JsonObject {
  return {
    cluster_id: '1',
    member_id: '1',
    revision: String(revision),
    raft_term: '1',
  };
}

/** A 64-bit number, left out when it is 0. */
export function writeNumber(field: string, value: number): JsonObject {
  return value === 0 ? {} : {[field]: String(value)};
}

function toBase64(text: string): string {
  return Buffer.from(text, 'latin1').toString('base64');
}
