/** Forwards changes of members, servers and settings to the components. */
import {LogPart, readClock, sleep} from '@goldcrestpier/runtime';
import type {Components} from './index.js';
import {applyLogLevels} from './platform.js';

const ROLE_CHECK_INTERVAL_MS = 500;
const MAX_PEERS = 1_000;

/** The settings revision in the latest heartbeat of each peer. */
export class PeerRevisions {
  private readonly revisions = new Map<string, number>();

  /** Records the revision of a heartbeat; the least recent peer is evicted. */
  record(peer: string, revision: number): void {
    this.revisions.delete(peer);
    this.revisions.set(peer, revision);
    if (this.revisions.size <= MAX_PEERS) return;
    const [oldest] = this.revisions.keys();
    if (oldest !== undefined) this.revisions.delete(oldest);
  }

  /** Returns the latest revision of `peer`, or 0 if none is known. */
  find(peer: string): number {
    return this.revisions.get(peer) ?? 0;
  }
}

/**
 * Subscribes to changes of members, servers and settings and to heartbeats, and
 * starts the loop that updates the role of settings watcher.
 */
export function subscribeToChanges(components: Components): void {
  const {context, platform, membership, placement, revisions} = components;
  const logger = context.logs.forPart(LogPart.Entry);
  const onFailure = (cause: unknown) =>
    logger.error('watching for changes failed', {cause: String(cause)});
  const refreshPlacement = () => placement.refresh(readClock());
  membership.changes.observe(refreshPlacement).catch(onFailure);
  platform.instanceList.changes.observe(refreshPlacement).catch(onFailure);
  platform.settingsFollower.changes
    .observe(tree => {
      applyLogLevels(context, tree);
      refreshPlacement();
    })
    .catch(onFailure);
  membership.heartbeats
    .observe(({message, now}) => {
      const {incarnation} = message.from;
      placement.receiveHeartbeat(message, now);
      revisions.record(incarnation, message.settingsRevision);
      platform.settingsFollower.recordPeerRevision(
        message.settingsRevision,
        incarnation,
      );
    })
    .catch(onFailure);
  context.lifecycle.run(
    'roles',
    signal => updateSettingsWatcherRole(components, signal),
    onFailure,
  );
}

/** Watches the settings while this instance is its zone's settings watcher. */
async function updateSettingsWatcherRole(
  {context, platform, membership}: Components,
  signal: AbortSignal,
): Promise<void> {
  const {zone} = context.settings;
  while (!signal.aborted) {
    platform.settingsFollower.setWatching(
      membership.isSettingsWatcher(zone, readClock()),
    );
    await sleep(ROLE_CHECK_INTERVAL_MS, signal);
  }
}
