/** Creates the heartbeat that an instance sends to its peers. */
import type {TaskHistory} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {Directory} from '../ports/index.js';
import type {
  AbandonedJobList,
  Claim,
  ZoneHeartbeat,
} from '../protocol/index.js';

/** The state of an instance that its heartbeat reports. */
export interface OwnState {
  readonly id: string;
  readonly zone: string;
  readonly address: string;
  readonly processors: number;
  readonly isLeaving: boolean;
  readonly directory: Directory;
  /** The highest claim known. */
  readonly claim: Claim | undefined;
  /** Time since that holder was heard, in ms. */
  readonly holderHeardMs: Millis | undefined;
  /** Free capacity of the workers, if it is reported to the receiver. */
  readonly rooms: ZoneHeartbeat['rooms'];
  readonly history: TaskHistory;
  /** Whether all of it is told, and not only what is recent. */
  readonly tellsAll: boolean;
  /** Tokens of other zones' holders that have become known recently. */
  readonly zoneTokens: ZoneHeartbeat['zoneTokens'];
  /** Jobs that nobody waits for, if they are reported to the receiver. */
  readonly abandoned: AbandonedJobList | undefined;
}

/** Creates the heartbeat to send now. */
export function createOwnHeartbeat(
  {
    directory,
    claim,
    holderHeardMs,
    rooms,
    history,
    tellsAll,
    zoneTokens,
    abandoned,
    ...self
  }: OwnState,
  now: Millis,
): ZoneHeartbeat {
  const told = tellsAll ? history.reportAll(now) : history.reportRecent(now);
  const asOf = directory.configurationAsOf();
  return {
    ...self,
    configurationVersion: directory.configuration()?.version ?? 0,
    ...(asOf === undefined ? {} : {configurationAgeMs: now - asOf}),
    ...(claim === undefined ? {} : {claim}),
    ...(holderHeardMs === undefined ? {} : {holderHeardMs}),
    ...(rooms === undefined ? {} : {rooms}),
    ...told,
    ...(zoneTokens === undefined ? {} : {zoneTokens}),
    ...abandoned,
  };
}
