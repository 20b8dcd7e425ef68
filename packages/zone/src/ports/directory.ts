/** What an instance learns from the platform; its adapter provides it. */
import type {Worker} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';

/** One queue: the callers' host and path prefix, and how its jobs are served. */
export interface Queue {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  readonly service: string;
  readonly priority: number;
  readonly maxAttempts: number;
  readonly stretch: number;
  readonly targetMs: Millis;
  readonly timeoutMs: Millis;
}

/** Bounds of what callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Millis;
  readonly idleTimeoutMs: Millis;
}

/** The operators' configuration as a whole. Versions only rise. */
export interface Configuration {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly limits: CallerLimits;
}

/** An instance that is registered with the platform. */
export interface Registration {
  readonly id: string;
  readonly zone: string;
  /** `host:port` of its listener for peers. */
  readonly address: string;
  /** What it may use of processors, in whole ones. */
  readonly processors: number;
  /** Its token, where it holds its zone's workers. */
  readonly holderToken?: number | undefined;
}

/** The workers that are registered. */
export interface WorkerListing {
  readonly workers: readonly Worker[];
  /** The platform had just these then; undefined before it was ever read. */
  readonly asOf: Millis | undefined;
  /** Whether the platform answered when it was last asked. */
  readonly isReachable: boolean;
}

/** The newest that is known; each part is undefined until first read. */
export interface Directory {
  configuration(): Configuration | undefined;
  /** The configuration was known to be the newest then. */
  configurationAsOf(): Millis | undefined;
  /** A peer knew this version to be the newest at that time. */
  confirmConfiguration(version: number, asOf: Millis): void;
  workers(): WorkerListing;
  registrations(): readonly Registration[];
  /** Lets other zones know that this instance is the holder, or is not. */
  announce(holderToken: number | undefined): void;
  /** Says whether this instance is one of those that may hold next. */
  setCandidate(isCandidate: boolean): void;
  /** Since when instances can be read; undefined before the first time. */
  registrationsSince(): Millis | undefined;
  /** Takes a configuration that a peer has; only a newer one changes anything. */
  offer(configuration: Configuration): void;
}
