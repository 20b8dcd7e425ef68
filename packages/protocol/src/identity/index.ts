/**
 * Identifiers of incarnations, sessions, jobs and tasks. A session id contains
 * its owner, which never changes, so that routing a request needs neither a
 * lease nor a lookup.
 */
import {randomBytes} from 'node:crypto';
import {z} from 'zod';

/** Schema for names of zones, instances, services, teams and servers. */
export const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?$/,
    'expected 1 to 63 of a-z, 0-9 and -, not starting or ending with -',
  );

const SEPARATOR = '.';
const NONCE_BYTES = 6;

/** One run of the process of an instance. Text form: `zone.instance.nonce`. */
export interface Incarnation {
  readonly zone: string;
  readonly instance: string;
  /** Random value, 12 hexadecimal digits, generated when the process starts. */
  readonly nonce: string;
}

/** The parts of a session id. */
export interface SessionIdentity {
  readonly owner: Incarnation;
  /** Numbers the sessions of the owner in order of opening, from 1. */
  readonly sequence: number;
}

/** Creates the incarnation of this process, with a random nonce. */
export function createIncarnation(zone: string, instance: string): Incarnation {
  return {zone, instance, nonce: randomBytes(NONCE_BYTES).toString('hex')};
}

/** Formats an incarnation as `zone.instance.nonce`. */
export function formatIncarnation(incarnation: Incarnation): string {
  return [incarnation.zone, incarnation.instance, incarnation.nonce].join(
    SEPARATOR,
  );
}

/** Parses `zone.instance.nonce`; undefined if `text` is malformed. */
export function parseIncarnation(text: string): Incarnation | undefined {
  const [zone, instance, nonce, ...rest] = text.split(SEPARATOR);
  if (rest.length > 0 || !isName(zone) || !isName(instance)) return undefined;
  if (nonce === undefined || !/^[0-9a-f]{12}$/.test(nonce)) return undefined;
  return {zone, instance, nonce};
}

/** Formats a session id as `zone.instance.nonce.sequence`. */
export function formatSessionId(session: SessionIdentity): string {
  return `${formatIncarnation(session.owner)}${SEPARATOR}${session.sequence}`;
}

/** Parses a session id; undefined if `text` is malformed. */
export function parseSessionId(text: string): SessionIdentity | undefined {
  const separatorIndex = text.lastIndexOf(SEPARATOR);
  const owner = parseIncarnation(text.slice(0, Math.max(separatorIndex, 0)));
  const sequence = text.slice(separatorIndex + 1);
  if (owner === undefined || !/^[1-9][0-9]{0,14}$/.test(sequence)) {
    return undefined;
  }
  return {owner, sequence: Number(sequence)};
}

/** Whether two incarnations denote the same run of the same instance. */
export function isSameIncarnation(a: Incarnation, b: Incarnation): boolean {
  return a.nonce === b.nonce && a.instance === b.instance && a.zone === b.zone;
}

/** Formats the globally unique id of a job, `session/key`. */
export function formatJobId(session: string, key: string): string {
  return `${session}/${key}`;
}

/** Formats the globally unique id of a task, `session/key#index`. */
export function formatTaskId(job: string, index: number): string {
  return `${job}#${index}`;
}

function isName(text: string | undefined): text is string {
  return text !== undefined && nameSchema.safeParse(text).success;
}
