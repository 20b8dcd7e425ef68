/** What a caller sets on a client, and the defaults. */
import type {jobSchema} from '@goldcrestpier/protocol';
import type {z} from 'zod';

const DEFAULT_CONNECTIONS = 64;
const DEFAULT_WAIT_MS = 20_000;
const DEFAULT_CONNECT_TIMEOUT_MS = 3_000;
const DEFAULT_MAX_TRIES = 10;
const DEFAULT_RETRY_RESERVE = 50;

/** One job as the caller writes it; what it leaves out gets its default. */
export type JobRequest = z.input<typeof jobSchema>;

/** Names one job for reading and cancelling. */
export interface JobReference {
  readonly session: string;
  readonly key: string;
}

/** What a caller sets on a client. */
export interface ClientOptions {
  /** Where the entry instances answer, for example `http://10.0.0.5:8080`. */
  readonly origin: string;
  /**
   * Kept-alive connections, opened when needed. A job holds one while it is
   * waited for, so they bound the jobs at a time. Default 64.
   */
  readonly connections?: number;
  /** How long one read may wait for a job's end, in ms. Default 20000. */
  readonly waitMs?: number;
  /** How long opening a connection may take, in ms. Default 3000. */
  readonly connectTimeoutMs?: number;
  /** Tries of one call that end without an answer. Default 10. */
  readonly maxTries?: number;
  /**
   * Resubmissions that the whole client may send in a burst. Ten come back each
   * second and one with every five submissions. Default 50.
   */
  readonly retryReserve?: number;
}

/** The options with nothing left out. */
export type FullOptions = Required<ClientOptions>;

/** Fills in the defaults. */
export function resolveOptions(options: ClientOptions): FullOptions {
  return {
    origin: options.origin,
    connections: options.connections ?? DEFAULT_CONNECTIONS,
    waitMs: options.waitMs ?? DEFAULT_WAIT_MS,
    connectTimeoutMs: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
    maxTries: options.maxTries ?? DEFAULT_MAX_TRIES,
    retryReserve: options.retryReserve ?? DEFAULT_RETRY_RESERVE,
  };
}
