/** Puts one entry instance together and starts it. */
import type {Membership} from '@goldcrestpier/membership';
import {createSettingsOperations} from '@goldcrestpier/operators';
import type {Placement} from '@goldcrestpier/placement';
import {LogPart, readClock} from '@goldcrestpier/runtime';
import {SettingsStore, type ProcessSettings} from '@goldcrestpier/settings';
import {createMemberDirectory} from '../gateway/member_directory.js';
import {PlainGateway} from '../gateway/plain.js';
import {RelayGateway} from '../gateway/relay.js';
import {createFleetOperations} from '../operators/fleet.js';
import {inspect} from '../operators/inspect.js';
import {createPeerHandlers} from '../peers/index.js';
import {leaveGracefully} from '../stop/index.js';
import {createClaims} from './claims.js';
import {createContext, type Context} from './context.js';
import {watchFigures} from './figures.js';
import {follow, PeerRevisions} from './follow.js';
import {
  listenForCallers,
  listenForOperators,
  listenForPeers,
} from './listeners.js';
import {keepJournal} from './journal.js';
import {openMembership} from './membership.js';
import {openPlacement} from './placement.js';
import {openPlatform, type Platform} from './platform.js';
import {Readiness} from './readiness.js';
import {MAX_COPY_AGE_MS, openSessions, type Sessions} from './sessions.js';
import {createStopOptions} from './stop_options.js';

/** A running entry instance. */
export interface Entry {
  readonly incarnation: string;
  /** Ends everything in flight, hands over, then closes. */
  stop(): Promise<void>;
}

/** The parts of one entry instance. */
export interface Parts {
  readonly context: Context;
  readonly platform: Platform;
  readonly membership: Membership;
  readonly placement: Placement;
  readonly sessions: Sessions;
  readonly gateway: RelayGateway;
  readonly revisions: PeerRevisions;
  readonly readiness: Readiness;
}

/** Starts an entry instance; rejects when an address is taken. */
export async function startEntry(settings: ProcessSettings): Promise<Entry> {
  const context = createContext(settings);
  const parts = createParts(context);
  const {incarnation, lifecycle, logs} = context;
  let stopping: Promise<void> | undefined;
  const stop = () => (stopping ??= stopEntry(parts));
  try {
    await openListeners(parts, () => void stop());
  } catch (cause) {
    await lifecycle.close();
    throw cause;
  }
  logs.forPart(LogPart.Entry).info('serving callers', {incarnation});
  return {incarnation, stop};
}

function createParts(context: Context): Parts {
  const {self, incarnation} = context;
  const platform: Platform = openPlatform(context, (peer, known, timeoutMs) =>
    membership.findLink(peer)?.readSettings({knownRevision: known}, timeoutMs),
  );
  const membership: Membership = openMembership(context, platform, {
    settingsRevision: () => platform.follower.current.revision,
    spare: now => placement.heartbeatFields(incarnation, now).spare,
    grantsInUse: (holder, now) =>
      placement.heartbeatFields(holder, now).grantsInUse,
  });
  const placement: Placement = openPlacement(context, platform, membership, {
    onStart: task => sessions.owner.recordTaskStart(task.id),
    onEnd: (task, outcome) => {
      context.metrics.countTask(outcome.kind);
      sessions.owner.recordTaskEnd(task.id, outcome, readClock());
    },
  });
  const sessions: Sessions = openSessions(context, platform, placement);
  const gateway = new RelayGateway({
    ...sessions,
    directory: createMemberDirectory(self, membership),
    plain: new PlainGateway(
      sessions.owner,
      createClaims(context, platform, membership),
    ),
    maxCopyAgeMs: MAX_COPY_AGE_MS,
  });
  return {
    context,
    platform,
    membership,
    placement,
    sessions,
    gateway,
    revisions: new PeerRevisions(),
    readiness: new Readiness(() => platform.list.current.servers.length > 0),
  };
}

async function openListeners(parts: Parts, drain: () => void): Promise<void> {
  const {context, platform, membership, placement, sessions, gateway} = parts;
  const {incarnation, logs} = context;
  const inspectSelf = () =>
    inspect(incarnation, sessions.owner, placement, readClock());
  await listenForPeers(context, createPeerHandlers({...parts, inspectSelf}));
  follow(parts);
  watchFigures(parts);
  keepJournal(parts);
  platform.list.start();
  platform.follower.start();
  const logger = logs.forPart(LogPart.Settings);
  const store = new SettingsStore(
    platform.client,
    logger,
    () => platform.follower.current.revision,
  );
  await listenForOperators(context, {
    settings: createSettingsOperations({
      store,
      readApplied: () => platform.follower.current,
    }),
    fleet: createFleetOperations({
      membership,
      gateway,
      inspectSelf,
      settingsRevision: () => platform.follower.current.revision,
      peerRevision: peer => parts.revisions.find(peer),
      drain,
    }),
  });
  await listenForCallers(context, {
    gateway,
    readiness: parts.readiness,
    arrivalTime: now => membership.arrivalTime(now),
  });
}

async function stopEntry(parts: Parts): Promise<void> {
  const {lifecycle, logs} = parts.context;
  const logger = logs.forPart(LogPart.Entry);
  await leaveGracefully(createStopOptions(parts));
  for (const {resource, cause} of await lifecycle.close()) {
    logger.warn('a part failed to close', {resource, cause: String(cause)});
  }
}
