/** Creates the heartbeat that an instance sends to its peers. */
import type {TaskHistory} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {Holder} from '../holder/index.js';
import type {Directory} from '../ports/index.js';
import type {Claim, ZoneHeartbeat} from '../protocol/index.js';
import type {OtherZones} from './other_zones.js';

/** The state of an instance that its heartbeat reports. */
export interface OwnState {
  readonly id: string;
  readonly zone: string;
  readonly address: string;
  readonly processors: number;
  readonly isLeaving: boolean;
  /** The highest claim known. */
  readonly claim: Claim | undefined;
  /** Time since that holder was heard, in ms. */
  readonly holderHeardMs: Millis | undefined;
}

/** What the other parts of a heartbeat are read from. */
export interface HeartbeatSources {
  readonly directory: Directory;
  readonly history: TaskHistory;
  readonly zones: Pick<OtherZones, 'reportTokens'>;
  /** The holder in this process, while there is one. */
  readonly holder: Holder | undefined;
}

/** Whom a heartbeat is for. */
export interface HeartbeatReceiver {
  /** Whether it gets what holders tell other zones. */
  readonly isForOtherZone: boolean;
  /** Whether it is told all that is known of tasks, not only what is recent. */
  readonly tellsAll: boolean;
}

/** Creates the heartbeat to send now. */
export function createOwnHeartbeat(
  {claim, holderHeardMs, ...self}: OwnState,
  {directory, history, zones, holder}: HeartbeatSources,
  {isForOtherZone, tellsAll}: HeartbeatReceiver,
  now: Millis,
): ZoneHeartbeat {
  const told = tellsAll ? history.reportAll(now) : history.reportRecent(now);
  const zoneTokens = zones.reportTokens(now);
  const asOf = directory.configurationAsOf();
  const evacuated = directory.evacuatedZones();
  const rooms = isForOtherZone ? holder?.findFreeCapacity() : undefined;
  return {
    ...self,
    configurationVersion: directory.configuration()?.version ?? 0,
    ...(asOf === undefined ? {} : {configurationAgeMs: now - asOf}),
    ...(evacuated === undefined ? {} : {evacuated}),
    ...(claim === undefined ? {} : {claim}),
    ...(holderHeardMs === undefined ? {} : {holderHeardMs}),
    ...(rooms === undefined ? {} : {rooms}),
    ...told,
    ...(zoneTokens === undefined ? {} : {zoneTokens}),
    ...(isForOtherZone ? holder?.abandonedJobs.report() : {}),
  };
}
