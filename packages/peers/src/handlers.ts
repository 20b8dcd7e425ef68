/** Handlers of the calls that an instance receives from its peers. */
import type {
  Demand,
  Grants,
  HandOver,
  Heartbeat,
  Inspection,
  JobQuery,
  RelayAnswer,
  SessionQuery,
  Settlement,
  SettingsAnswer,
  SettingsQuery,
  Submission,
} from './messages/index.js';

/** One handler for each call of the peer protocol. */
export interface PeerHandlers {
  heartbeat(message: Heartbeat): Promise<Heartbeat>;
  submit(message: Submission): Promise<RelayAnswer>;
  read(message: JobQuery): Promise<RelayAnswer>;
  cancel(message: JobQuery): Promise<RelayAnswer>;
  endSession(message: SessionQuery): Promise<RelayAnswer>;
  handOver(message: HandOver): Promise<void>;
  readSettings(message: SettingsQuery): Promise<SettingsAnswer>;
  demand(message: Demand): Promise<Grants>;
  settle(message: Settlement): Promise<Grants>;
  offer(message: Grants): Promise<void>;
  inspect(): Promise<Inspection>;
}
