/** Followers, and what comes into force at them. */
import assert from 'node:assert/strict';
import type {KeyValueClient} from '@goldcrestpier/platform';
import {createFailure, FailureCode} from '@goldcrestpier/protocol';
import {silentLogger} from '@goldcrestpier/runtime';
import {Err, Ok} from 'ts-results-es';
import {SettingsFollower, type FollowerOptions} from '../src/index.js';
import {lifecycle} from './service_fixture.js';

/** Starts a follower; its peers fail unless `more` says otherwise. */
export function startFollower(
  client: KeyValueClient,
  more: Partial<FollowerOptions> = {},
): SettingsFollower {
  const follower = new SettingsFollower({
    client,
    logger: silentLogger,
    lifecycle,
    pollMs: 50,
    fetchFromPeer: () => {
      const failure = createFailure(FailureCode.InternalFault, {part: 'test'});
      return Promise.resolve(Err(failure));
    },
    ...more,
  });
  follower.start();
  return follower;
}

/** Peers that answer from `source`, each call counted. */
export function fetchFrom(source: SettingsFollower) {
  const calls = {count: 0};
  const fetchFromPeer = (known: number) => {
    calls.count += 1;
    return Promise.resolve(Ok(source.snapshotFor(known)));
  };
  return {calls, fetchFromPeer};
}

/** The setting that the tests change, as it is in force. */
export function waitingOf(follower: SettingsFollower): number {
  return follower.current.forRoot().queue.maxWaiting;
}

/** Every revision that comes into force at `follower`. */
export function recordRevisions(follower: SettingsFollower): number[] {
  const revisions: number[] = [];
  void follower.changes.observe(({revision}) => void revisions.push(revision));
  return revisions;
}

/** Each revision has to be higher than the one before. */
export function assertRising(revisions: readonly number[]): void {
  for (const [index, revision] of revisions.entries()) {
    assert.ok(revision > (revisions[index - 1] ?? 0), revisions.join(' '));
  }
}
