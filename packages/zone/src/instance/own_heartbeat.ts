/** What an instance tells its peers of itself. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Directory} from '../ports/index.js';
import type {Claim, ZoneHeartbeat} from '../protocol/index.js';

/** The state of the instance that a heartbeat is made of. */
export interface OwnState {
  readonly id: string;
  readonly zone: string;
  readonly address: string;
  readonly processors: number;
  readonly isLeaving: boolean;
  readonly directory: Directory;
  /** The highest claim known. */
  readonly claim: Claim | undefined;
  /** How long ago that holder was heard. */
  readonly holderHeardMs: Millis | undefined;
  /** Free room of the workers, where it is to be told. */
  readonly rooms: ZoneHeartbeat['rooms'];
}

/** The heartbeat to send now. */
export function createOwnHeartbeat(
  {directory, claim, holderHeardMs, rooms, ...self}: OwnState,
  now: Millis,
): ZoneHeartbeat {
  const asOf = directory.configurationAsOf();
  return {
    ...self,
    configurationVersion: directory.configuration()?.version ?? 0,
    ...(asOf === undefined ? {} : {configurationAgeMs: now - asOf}),
    ...(claim === undefined ? {} : {claim}),
    ...(holderHeardMs === undefined ? {} : {holderHeardMs}),
    ...(rooms === undefined ? {} : {rooms}),
  };
}
