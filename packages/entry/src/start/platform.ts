/** Clients of the platform: key-value service, instance list and settings. */
import type {PeerAnswer, SettingsAnswer} from '@goldcrestpier/peers';
import {InstanceListPoller, KeyValueClient} from '@goldcrestpier/platform';
import {
  createFailure,
  FailureCode,
  type Failure,
} from '@goldcrestpier/protocol';
import {LogPart} from '@goldcrestpier/runtime';
import {SettingsFollower, type SettingsTree} from '@goldcrestpier/settings';
import {Err, type Result} from 'ts-results-es';
import type {Context} from './context.js';

const PEER_SETTINGS_TIMEOUT_MS = 3_000;

/** Clients of the platform that an entry instance uses. */
export interface Platform {
  readonly keyValueClient: KeyValueClient;
  readonly instanceList: InstanceListPoller;
  readonly settingsFollower: SettingsFollower;
}

/** Fetches settings from a peer; undefined if there is no link to it. */
export type FetchPeerSettings = (
  peer: string,
  knownRevision: number,
  timeoutMs: number,
) => PeerAnswer<SettingsAnswer> | undefined;

/** Creates the clients of the platform; the lifecycle closes them. */
export function openPlatform(
  context: Context,
  fetchPeerSettings: FetchPeerSettings,
): Platform {
  const {settings, logs, lifecycle, metrics} = context;
  const {
    keyValue: keyValueEndpoints,
    instanceList: instanceListUrl,
    pollMs,
    timeoutMs,
  } = settings.platform;
  const logger = logs.forPart(LogPart.Platform);
  const keyValueClient = new KeyValueClient({
    endpoints: keyValueEndpoints,
    timeoutMs,
    logger,
    lifecycle,
    onCall: (call, failureReason) =>
      metrics.countPlatformCall(call, failureReason),
  });
  const instanceList = new InstanceListPoller({
    url: instanceListUrl,
    pollMs,
    timeoutMs,
    logger,
    lifecycle,
    onPoll: ({failed}) => metrics.countPlatformCall('instance list', failed),
  });
  const settingsFollower = new SettingsFollower({
    client: keyValueClient,
    fetchFromPeer: (knownRevision, peer) =>
      fetchSettingsFromPeer(fetchPeerSettings, knownRevision, peer),
    logger: logs.forPart(LogPart.Settings),
    lifecycle,
  });
  return {keyValueClient, instanceList, settingsFollower};
}

/** Applies the log levels of the settings to each part of the log. */
export function applyLogLevels({logs}: Context, tree: SettingsTree): void {
  const {levels} = tree.forRoot().logs;
  for (const part of Object.values(LogPart)) {
    const level = levels[part];
    if (level !== undefined) logs.setLevel(part, level);
  }
}

async function fetchSettingsFromPeer(
  fetchPeerSettings: FetchPeerSettings,
  knownRevision: number,
  peer: string,
): Promise<Result<SettingsAnswer, Failure>> {
  const answer = await fetchPeerSettings(
    peer,
    knownRevision,
    PEER_SETTINGS_TIMEOUT_MS,
  );
  if (answer?.isOk()) return answer;
  return Err(createFailure(FailureCode.OwnerUnreachable, {owner: peer}));
}
