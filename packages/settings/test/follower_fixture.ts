/** Starts settings followers and inspects the settings that they apply. */
import assert from 'node:assert/strict';
import type {KeyValueClient} from '@goldcrestpier/platform';
import {createFailure, FailureCode} from '@goldcrestpier/protocol';
import {silentLogger} from '@goldcrestpier/runtime';
import {Err, Ok} from 'ts-results-es';
import {SettingsFollower, type FollowerOptions} from '../src/index.js';
import {lifecycle} from './service_fixture.js';

/** Starts a follower; fetching from peers fails unless overridden. */
export function startFollower(
  client: KeyValueClient,
  overrides: Partial<FollowerOptions> = {},
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
    ...overrides,
  });
  follower.start();
  return follower;
}

/** Creates a `fetchFromPeer` that reads from `source` and counts the calls. */
export function createPeerFetch(source: SettingsFollower) {
  const calls = {count: 0};
  const fetchFromPeer = (known: number) => {
    calls.count += 1;
    return Promise.resolve(Ok(source.getSnapshotIfNewer(known)));
  };
  return {calls, fetchFromPeer};
}

/** Returns the effective `queue.max_waiting`, which the tests change. */
export function getMaxWaiting(follower: SettingsFollower): number {
  return follower.current.forRoot().queue.maxWaiting;
}

/** Records every revision that `follower` applies. */
export function recordRevisions(follower: SettingsFollower): number[] {
  const revisions: number[] = [];
  void follower.changes.observe(({revision}) => void revisions.push(revision));
  return revisions;
}

/** Asserts that each revision is higher than the previous one. */
export function assertIncreasing(revisions: readonly number[]): void {
  for (const [index, revision] of revisions.entries()) {
    assert.ok(revision > (revisions[index - 1] ?? 0), revisions.join(' '));
  }
}
