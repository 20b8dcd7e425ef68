import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Fault} from './play/faults.js';
import {play} from './play/play.js';

/** Plays that are part of every test run; by hand: a first seed, and a count. */
const usualSeeds = [1, 3, 4, 101, 191];
const {PLAY_SEED: firstSeed, PLAY_COUNT: count = '1', PLAY_HELD} = process.env;
const seeds =
  firstSeed === undefined
    ? usualSeeds
    : Array.from({length: Number(count)}, (_, i) => Number(firstSeed) + i);
/** `PLAY_HELD` adds messages that arrive after their connection was given up. */
const kinds = Object.values(Fault).filter(
  kind => kind !== Fault.HeldMessages || PLAY_HELD !== undefined,
);

for (const seed of seeds) {
  test(`no task has two runs at a time in play ${seed}`, async () => {
    const zones = 1 + (seed % 3);
    const {violations, starts} = await play({seed, zones, kinds});
    assert.ok(starts > 0);
    const [first] = violations;
    if (first !== undefined) assert.fail(`${first.text}\n${first.timeLine}`);
  });
}
