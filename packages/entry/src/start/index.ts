/** Creates the components of an entry instance, starts them and stops them. */
import type {Membership} from '@goldcrestpier/membership';
import {createSettingsOperations} from '@goldcrestpier/operators';
import type {Placement} from '@goldcrestpier/placement';
import {LogPart, readClock} from '@goldcrestpier/runtime';
import {SettingsStore, type ProcessSettings} from '@goldcrestpier/settings';
import {createOwnerDirectory} from '../gateway/member_directory.js';
import {SessionlessGateway} from '../gateway/sessionless_gateway.js';
import {RelayGateway} from '../gateway/relay_gateway.js';
import {createFleetOperations} from '../operators/fleet.js';
import {inspectInstance} from '../operators/inspect.js';
import {createPeerHandlers} from '../peers/index.js';
import {runPlannedStop} from '../stop/index.js';
import {createIdempotencyKeyClaims} from './claims.js';
import {createContext, type Context} from './context.js';
import {registerGauges} from './gauges.js';
import {subscribeToChanges, PeerRevisions} from './subscriptions.js';
import {
  listenForCallers,
  listenForOperators,
  listenForPeers,
} from './listeners.js';
import {startJournal} from './journal.js';
import {openMembership} from './membership.js';
import {openPlacement} from './placement.js';
import {openPlatform, type Platform} from './platform.js';
import {Readiness} from './readiness.js';
import {MAX_COPY_AGE_MS, openSessions, type Sessions} from './sessions.js';
import {createPlannedStopOptions} from './stop_options.js';

/** A running entry instance. */
export interface Entry {
  readonly incarnation: string;
  /**
   * Runs the planned stop: waits for open jobs and requests, hands sessions over
   * to a peer, then closes all resources. Later calls return the same promise.
   */
  stop(): Promise<void>;
}

/** The components of an entry instance. */
export interface Components {
  readonly context: Context;
  readonly platform: Platform;
  readonly membership: Membership;
  readonly placement: Placement;
  readonly sessions: Sessions;
  readonly gateway: RelayGateway;
  readonly revisions: PeerRevisions;
  readonly readiness: Readiness;
}

/** Starts an entry instance; rejects if a listener cannot open its address. */
export async function startEntry(settings: ProcessSettings): Promise<Entry> {
  const context = createContext(settings);
  const components = createComponents(context);
  const {incarnation, lifecycle, logs} = context;
  let stopping: Promise<void> | undefined;
  const stop = () => (stopping ??= stopEntry(components));
  try {
    await startComponents(components, () => void stop());
  } catch (cause) {
    await lifecycle.close();
    throw cause;
  }
  logs.forPart(LogPart.Entry).info('entry instance started', {incarnation});
  return {incarnation, stop};
}

function createComponents(context: Context): Components {
  const {self, incarnation} = context;
  const platform: Platform = openPlatform(
    context,
    (peer, knownRevision, timeoutMs) =>
      membership.findLink(peer)?.readSettings({knownRevision}, timeoutMs),
  );
  const membership: Membership = openMembership(context, platform, {
    settingsRevision: () => platform.settingsFollower.current.revision,
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
    directory: createOwnerDirectory(self, membership),
    sessionless: new SessionlessGateway(
      sessions.owner,
      createIdempotencyKeyClaims(context, platform, membership),
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
    readiness: new Readiness(
      () => platform.instanceList.current.servers.length > 0,
    ),
  };
}

async function startComponents(
  components: Components,
  drain: () => void,
): Promise<void> {
  const {context, platform, membership, placement, sessions, gateway} =
    components;
  const {incarnation, logs} = context;
  const inspectSelf = () =>
    inspectInstance(incarnation, sessions.owner, placement, readClock());
  await listenForPeers(
    context,
    createPeerHandlers({...components, inspectSelf}),
  );
  subscribeToChanges(components);
  registerGauges(components);
  startJournal(components);
  platform.instanceList.start();
  platform.settingsFollower.start();
  const logger = logs.forPart(LogPart.Settings);
  const store = new SettingsStore(
    platform.keyValueClient,
    logger,
    () => platform.settingsFollower.current.revision,
  );
  await listenForOperators(context, {
    settings: createSettingsOperations({
      store,
      readApplied: () => platform.settingsFollower.current,
    }),
    fleet: createFleetOperations({
      membership,
      gateway,
      inspectSelf,
      getSettingsRevision: () => platform.settingsFollower.current.revision,
      getPeerRevision: peer => components.revisions.find(peer),
      drain,
    }),
  });
  await listenForCallers(context, {
    gateway,
    readiness: components.readiness,
    arrivalTime: now => membership.arrivalTime(now),
  });
}

async function stopEntry(components: Components): Promise<void> {
  const {lifecycle, logs} = components.context;
  const logger = logs.forPart(LogPart.Entry);
  await runPlannedStop(createPlannedStopOptions(components));
  for (const {resource, cause} of await lifecycle.close()) {
    logger.warn('resource failed to close', {resource, cause: String(cause)});
  }
}
