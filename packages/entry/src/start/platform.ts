/** Opens the platform's services: key-value, instance list, settings. */
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

/** The platform as one entry instance uses it. */
export interface Platform {
  readonly client: KeyValueClient;
  readonly list: InstanceListPoller;
  readonly follower: SettingsFollower;
}

/** Asks one peer for its settings; undefined when there is no link to it. */
export type AskPeer = (
  peer: string,
  knownRevision: number,
  timeoutMs: number,
) => PeerAnswer<SettingsAnswer> | undefined;

/** Opens the platform's services; the life cycle closes them. */
export function openPlatform(context: Context, askPeer: AskPeer): Platform {
  const {settings, logs, lifecycle, metrics} = context;
  const {keyValue, instanceList, pollMs, timeoutMs} = settings.platform;
  const logger = logs.forPart(LogPart.Platform);
  const client = new KeyValueClient({
    endpoints: keyValue,
    timeoutMs,
    logger,
    lifecycle,
    onCall: (call, failed) => metrics.countPlatformCall(call, failed),
  });
  const list = new InstanceListPoller({
    url: instanceList,
    pollMs,
    timeoutMs,
    logger,
    lifecycle,
    onPoll: ({failed}) => metrics.countPlatformCall('instance list', failed),
  });
  const follower = new SettingsFollower({
    client,
    fetchFromPeer: (known, peer) => fetchSettings(askPeer, known, peer),
    logger: logs.forPart(LogPart.Settings),
    lifecycle,
  });
  return {client, list, follower};
}

/** Sets the level of each part's log to what the settings say. */
export function applyLogLevels({logs}: Context, tree: SettingsTree): void {
  const {levels} = tree.forRoot().logs;
  for (const part of Object.values(LogPart)) {
    const level = levels[part];
    if (level !== undefined) logs.setLevel(part, level);
  }
}

async function fetchSettings(
  askPeer: AskPeer,
  known: number,
  peer: string,
): Promise<Result<SettingsAnswer, Failure>> {
  const answer = await askPeer(peer, known, PEER_SETTINGS_TIMEOUT_MS);
  if (answer?.isOk()) return answer;
  return Err(createFailure(FailureCode.OwnerUnreachable, {owner: peer}));
}
