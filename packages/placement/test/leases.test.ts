import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GrantEnd} from '@goldcrestpier/peers';
import {
  createMember,
  createServer,
  createEnd,
  GRANT_MS,
  reportNoGrants,
  openAllocator,
  createDemand,
} from './fixtures/allocator_fixture.js';

test('a new holder reserves capacity for peers that have not reported yet', () => {
  const fixture = openAllocator([createServer('s', {slots: 6})]);
  const pools = [createDemand({x: 6})];
  const before = fixture.allocator.demand({owner: 'a', pools}, 0).grants.length;
  // Two of three instances have not reported and may use two thirds of it.
  assert.equal(before, 2);
  fixture.allocator.reconcileGrants('b', [{grant: 'old/1', server: 's'}], 1);
  fixture.allocator.reconcileGrants('a', [], 1);
  const more = [createDemand({x: 6}, before)];
  const after = fixture.allocator.demand({owner: 'a', pools: more}, 2).grants
    .length;
  assert.equal(before + after, 5);
  const ends = [{grant: 'old/1', server: 's', end: GrantEnd.Done, runMs: 5}];
  const last = fixture.allocator.settle({owner: 'b', ends}, 3);
  assert.equal(last.grants.length + fixture.offered.length, 1);
});

test('a grant that is neither used nor returned expires', () => {
  const fixture = openAllocator([createServer('s', {slots: 1})]);
  reportNoGrants(fixture);
  const {allocator, offered} = fixture;
  const pools = [createDemand({x: 1})];
  assert.equal(allocator.demand({owner: 'a', pools}, 0).grants.length, 1);
  assert.equal(allocator.demand({owner: 'b', pools}, 0).grants.length, 0);
  allocator.tick(GRANT_MS - 1);
  assert.equal(offered.length, 0);
  allocator.tick(GRANT_MS);
  assert.deepEqual(
    offered.map(([owner]) => owner),
    ['b'],
  );
});

test('a grant that its owner reports as in use does not expire', () => {
  const fixture = openAllocator([createServer('s', {slots: 1})]);
  reportNoGrants(fixture);
  const {allocator, offered} = fixture;
  const pools = [createDemand({x: 1})];
  const [grant] = allocator.demand({owner: 'a', pools}, 0).grants;
  assert.ok(grant);
  allocator.demand({owner: 'b', pools}, 0);
  allocator.reconcileGrants('a', [{grant: grant.grant, server: 's'}], 500);
  allocator.tick(GRANT_MS * 2);
  assert.equal(offered.length, 0);
});

test('releases the grants of an instance that has left', () => {
  const fixture = openAllocator([createServer('s', {slots: 1})]);
  reportNoGrants(fixture);
  const {allocator, offered} = fixture;
  const pools = [createDemand({x: 1})];
  allocator.demand({owner: 'a', pools}, 0);
  allocator.demand({owner: 'b', pools}, 0);
  fixture.members = ['self', 'b'].map(createMember);
  allocator.refresh(1);
  assert.deepEqual(
    offered.map(([owner]) => owner),
    ['b'],
  );
});

test('does not grant twice when grants cross a demand in transit', () => {
  const fixture = openAllocator([createServer('s', {slots: 1})]);
  reportNoGrants(fixture);
  const {allocator, offered} = fixture;
  const [grant] = allocator.demand(
    {owner: 'a', pools: [createDemand({x: 2})]},
    0,
  ).grants;
  assert.ok(grant);
  const ends = [createEnd(grant, GrantEnd.Done, 10)];
  // The owner sends this demand before it receives the grant for the same end.
  allocator.settle({owner: 'a', ends}, 1);
  const again = allocator.demand(
    {owner: 'a', pools: [createDemand({x: 1}, 1)]},
    2,
  );
  assert.equal(again.grants.length + offered.length, 0);
});
