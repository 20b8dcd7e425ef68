/**
 * Identities. The owner of a session is named in the session's identity for
 * ever, so no lease and no lookup stands on the path of a request.
 */
import {randomBytes} from 'node:crypto';
import {z} from 'zod';

/** Names of zones, instances, services, teams and servers. */
export const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?$/,
    'expected 1 to 63 of a-z, 0-9 and -, not starting or ending with -',
  );

const SEPARATOR = '.';
const NONCE_BYTES = 6;

/** One run of one instance's process: `zone.instance.nonce`. */
export interface Incarnation {
  readonly zone: string;
  readonly instance: string;
  /** Random hex drawn when the process starts. */
  readonly nonce: string;
}

/** A session and the incarnation that owns it. */
export interface SessionIdentity {
  readonly owner: Incarnation;
  /** Counts from 1 in the order in which the owner opened its sessions. */
  readonly sequence: number;
}

/** Draws the incarnation of a process that starts now. */
export function createIncarnation(zone: string, instance: string): Incarnation {
  return {zone, instance, nonce: randomBytes(NONCE_BYTES).toString('hex')};
}

/** The text form, `zone.instance.nonce`. */
export function formatIncarnation(incarnation: Incarnation): string {
  return [incarnation.zone, incarnation.instance, incarnation.nonce].join(
    SEPARATOR,
  );
}

/** Reads `zone.instance.nonce`; undefined when it is not one. */
export function parseIncarnation(text: string): Incarnation | undefined {
  const [zone, instance, nonce, ...rest] = text.split(SEPARATOR);
  if (rest.length > 0 || !isName(zone) || !isName(instance)) return undefined;
  if (nonce === undefined || !/^[0-9a-f]{12}$/.test(nonce)) return undefined;
  return {zone, instance, nonce};
}

/** The text form, `zone.instance.nonce.sequence`. */
export function formatSession(session: SessionIdentity): string {
  return `${formatIncarnation(session.owner)}${SEPARATOR}${session.sequence}`;
}

/** Reads a session's text form; undefined when it is not one. */
export function parseSession(text: string): SessionIdentity | undefined {
  const cut = text.lastIndexOf(SEPARATOR);
  const owner = parseIncarnation(text.slice(0, Math.max(cut, 0)));
  const sequence = text.slice(cut + 1);
  if (owner === undefined || !/^[1-9][0-9]{0,14}$/.test(sequence)) {
    return undefined;
  }
  return {owner, sequence: Number(sequence)};
}

/** Whether two incarnations are the same run of the same process. */
export function isSameIncarnation(a: Incarnation, b: Incarnation): boolean {
  return a.nonce === b.nonce && a.instance === b.instance && a.zone === b.zone;
}

/** The identity of a job everywhere: its session and the caller's key. */
export function formatJob(session: string, key: string): string {
  return `${session}/${key}`;
}

/** The identity of one task of a job. */
export function formatTask(job: string, index: number): string {
  return `${job}#${index}`;
}

function isName(text: string | undefined): text is string {
  return text !== undefined && nameSchema.safeParse(text).success;
}
