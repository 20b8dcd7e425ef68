import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GrantEnd} from '@goldcrestpier/peers';
import {
  createMember,
  createServer,
  end,
  GRANT_MS,
  hearAll,
  openScene,
  wish,
} from './fixtures/holding_scene.js';

test('a new holder is careful until it has heard from its peers', () => {
  const scene = openScene([createServer('s', {slots: 6})]);
  const pools = [wish({x: 6})];
  const before = scene.holding.demand({owner: 'a', pools}, 0).grants.length;
  // Two of three instances are unheard: they may use two thirds of it.
  assert.equal(before, 2);
  scene.holding.learnInUse('b', [{grant: 'old/1', server: 's'}], 1);
  scene.holding.learnInUse('a', [], 1);
  const more = [wish({x: 6}, before)];
  const after = scene.holding.demand({owner: 'a', pools: more}, 2).grants
    .length;
  assert.equal(before + after, 5);
  const ends = [{grant: 'old/1', server: 's', end: GrantEnd.Done, runMs: 5}];
  const last = scene.holding.settle({owner: 'b', ends}, 3);
  assert.equal(last.grants.length + scene.pushed.length, 1);
});

test('a grant that is neither used nor returned expires', () => {
  const scene = openScene([createServer('s', {slots: 1})]);
  hearAll(scene);
  const {holding, pushed} = scene;
  const pools = [wish({x: 1})];
  assert.equal(holding.demand({owner: 'a', pools}, 0).grants.length, 1);
  assert.equal(holding.demand({owner: 'b', pools}, 0).grants.length, 0);
  holding.tick(GRANT_MS - 1);
  assert.equal(pushed.length, 0);
  holding.tick(GRANT_MS);
  assert.deepEqual(
    pushed.map(([owner]) => owner),
    ['b'],
  );
});

test('a grant that its owner lists as in use does not expire', () => {
  const scene = openScene([createServer('s', {slots: 1})]);
  hearAll(scene);
  const {holding, pushed} = scene;
  const pools = [wish({x: 1})];
  const [grant] = holding.demand({owner: 'a', pools}, 0).grants;
  assert.ok(grant);
  holding.demand({owner: 'b', pools}, 0);
  holding.learnInUse('a', [{grant: grant.grant, server: 's'}], 500);
  holding.tick(GRANT_MS * 2);
  assert.equal(pushed.length, 0);
});

test('the grants of an instance that is gone are free again', () => {
  const scene = openScene([createServer('s', {slots: 1})]);
  hearAll(scene);
  const {holding, pushed} = scene;
  const pools = [wish({x: 1})];
  holding.demand({owner: 'a', pools}, 0);
  holding.demand({owner: 'b', pools}, 0);
  scene.members = ['self', 'b'].map(createMember);
  holding.refresh(1);
  assert.deepEqual(
    pushed.map(([owner]) => owner),
    ['b'],
  );
});

test('grants that crossed a demand on the way are not given twice', () => {
  const scene = openScene([createServer('s', {slots: 1})]);
  hearAll(scene);
  const {holding, pushed} = scene;
  const [grant] = holding.demand({owner: 'a', pools: [wish({x: 2})]}, 0).grants;
  assert.ok(grant);
  const ends = [end(grant, GrantEnd.Done, 10)];
  // The owner writes this before it sees the grant that the same end brings.
  holding.settle({owner: 'a', ends}, 1);
  const again = holding.demand({owner: 'a', pools: [wish({x: 1}, 1)]}, 2);
  assert.equal(again.grants.length + pushed.length, 0);
});
