/** Keeps the parts of one instance in step with what changes around it. */
import {LogPart, readClock, sleep} from '@goldcrestpier/runtime';
import type {Parts} from './index.js';
import {applyLogLevels} from './platform.js';

const ROLE_REVIEW_MS = 500;
const MAX_PEERS_KEPT = 1_000;

/** The settings revision that each peer last showed. */
export class PeerRevisions {
  private readonly revisions = new Map<string, number>();

  /** Notes what a heartbeat showed. */
  note(peer: string, revision: number): void {
    this.revisions.delete(peer);
    this.revisions.set(peer, revision);
    if (this.revisions.size <= MAX_PEERS_KEPT) return;
    const [oldest] = this.revisions.keys();
    if (oldest !== undefined) this.revisions.delete(oldest);
  }

  /** The revision that `peer` last showed; 0 when it showed none. */
  find(peer: string): number {
    return this.revisions.get(peer) ?? 0;
  }
}

/** Follows members, servers, settings and heartbeats. */
export function follow(parts: Parts): void {
  const {context, platform, membership, placement, revisions} = parts;
  const logger = context.logs.forPart(LogPart.Entry);
  const onFailure = (cause: unknown) =>
    logger.error('following ended', {cause: String(cause)});
  const refresh = () => placement.refresh(readClock());
  membership.changes.observe(refresh).catch(onFailure);
  platform.list.changes.observe(refresh).catch(onFailure);
  platform.follower.changes
    .observe(tree => {
      applyLogLevels(context, tree);
      refresh();
    })
    .catch(onFailure);
  membership.heartbeats
    .observe(({message, now}) => {
      const {incarnation} = message.from;
      placement.receiveHeartbeat(message, now);
      revisions.note(incarnation, message.settingsRevision);
      platform.follower.recordPeerRevision(
        message.settingsRevision,
        incarnation,
      );
    })
    .catch(onFailure);
  context.lifecycle.run('roles', signal => keepRoles(parts, signal), onFailure);
}

/** Watches the settings for the zone while that is this instance's role. */
async function keepRoles(
  {context, platform, membership}: Parts,
  signal: AbortSignal,
): Promise<void> {
  const {zone} = context.settings;
  while (!signal.aborted) {
    platform.follower.setWatching(
      membership.isSettingsWatcher(zone, readClock()),
    );
    await sleep(ROLE_REVIEW_MS, signal);
  }
}
