/** The options of a client and their defaults. */
import type {jobSchema} from '@goldcrestpier/protocol';
import type {z} from 'zod';

const DEFAULT_CONNECTIONS = 64;
const DEFAULT_WAIT_MS = 20_000;
const DEFAULT_CONNECT_TIMEOUT_MS = 3_000;
const DEFAULT_MAX_TRIES = 10;
const DEFAULT_RETRY_RESERVE = 50;

/** One job as written by the caller; omitted fields get their defaults. */
export type JobRequest = z.input<typeof jobSchema>;

/** Identifies one job for reading and cancelling. */
export interface JobReference {
  readonly session: string;
  readonly key: string;
}

/** Options of a client. */
export interface ClientOptions {
  /** Base URL of the entry instances, for example `http://10.0.0.5:8080`. */
  readonly origin: string;
  /**
   * Maximum number of keep-alive connections, opened on demand. Each job in
   * progress occupies one, so this limits the concurrent jobs. Default 64.
   */
  readonly connections?: number;
  /** How long one request may wait for a job's end, in ms. Default 20000. */
  readonly waitMs?: number;
  /** Timeout for opening a connection, in ms. Default 3000. */
  readonly connectTimeoutMs?: number;
  /** Maximum number of tries of one call without an answer. Default 10. */
  readonly maxTries?: number;
  /**
   * Number of resubmissions that the whole client may send in a burst. Ten are
   * regained per second, and one per five submissions. Default 50.
   */
  readonly retryReserve?: number;
}

/** The options with all defaults filled in. */
export type ResolvedClientOptions = Required<ClientOptions>;

/** Fills in the defaults. */
export function resolveOptions(options: ClientOptions): ResolvedClientOptions {
  return {
    origin: options.origin,
    connections: options.connections ?? DEFAULT_CONNECTIONS,
    waitMs: options.waitMs ?? DEFAULT_WAIT_MS,
    connectTimeoutMs: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
    maxTries: options.maxTries ?? DEFAULT_MAX_TRIES,
    retryReserve: options.retryReserve ?? DEFAULT_RETRY_RESERVE,
  };
}
