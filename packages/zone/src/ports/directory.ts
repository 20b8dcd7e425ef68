/** The platform's directory, which the adapter of a platform implements. */
import type {Worker} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';

/** One queue: its host and path prefix, and how its jobs are served. */
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

/** Limits on callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: Millis;
  readonly idleTimeoutMs: Millis;
}

/** The whole configuration set by operators. Versions only increase. */
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
  /** Processors that it may use; may be fractional. */
  readonly processors: number;
  /** Its fencing token, if it is the holder of its zone. */
  readonly holderToken?: number | undefined;
}

/** The registered workers. */
export interface WorkerListing {
  readonly workers: readonly Worker[];
  /** When the platform had exactly these; undefined before the first read. */
  readonly asOf: Millis | undefined;
  /** Whether the last request to the platform was answered. */
  readonly isReachable: boolean;
}

/** The zones in which the operator lets nothing start, all at one revision. */
export interface EvacuatedZones {
  /** Revision of the platform's store at which exactly these were evacuated. */
  readonly revision: number;
  readonly zones: readonly string[];
}

/** The newest known state; each part is undefined until its first read. */
export interface Directory {
  configuration(): Configuration | undefined;
  /** When the configuration was last known to be the newest. */
  configurationAsOf(): Millis | undefined;
  /** Records that a peer knew `version` to be the newest at `asOf`. */
  confirmConfiguration(version: number, asOf: Millis): void;
  workers(): WorkerListing;
  registrations(): readonly Registration[];
  /** Publishes the token of this instance as holder; undefined if it isn't. */
  announce(holderToken: number | undefined): void;
  /** Sets whether this instance is a candidate for the next holder. */
  setCandidate(isCandidate: boolean): void;
  /** Since when registrations can be read; undefined before the first time. */
  registrationsSince(): Millis | undefined;
  /** Applies a peer's configuration if it is newer than the known one. */
  offerConfiguration(configuration: Configuration): void;
  /** The evacuated zones; undefined before any evacuation was seen. */
  evacuatedZones(): EvacuatedZones | undefined;
  /** Whether an evacuation before this process started would be known. */
  areEvacuationsKnown(): boolean;
  /** Applies what a peer knows, if it is of a higher revision. */
  offerEvacuatedZones(evacuated: EvacuatedZones): void;
}
