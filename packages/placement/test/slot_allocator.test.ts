import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GrantEnd, type Grant} from '@goldcrestpier/peers';
import {BackendKind} from '@goldcrestpier/protocol';
import fc from 'fast-check';
import {
  createServer,
  createEnd,
  reportNoGrants,
  openAllocator,
  createDemand,
} from './fixtures/allocator_fixture.js';

const SEED = 20_263;

test('never grants more slots than a server has', () => {
  const step = fc.record({
    owner: fc.constantFrom('a', 'b'),
    waiting: fc.nat(12),
    settles: fc.boolean(),
    outcome: fc.constantFrom(...Object.values(GrantEnd)),
    passMs: fc.nat(20),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60}), steps => {
      const fixture = openAllocator(
        ['s', 't', 'u'].map(name => createServer(name)),
      );
      reportNoGrants(fixture);
      const {allocator, offered} = fixture;
      const out = new Map<string, {grant: Grant; owner: string}>();
      const received = new Map<string, number>();
      const take = (owner: string, grants: readonly Grant[]) => {
        for (const grant of grants) out.set(grant.grant, {grant, owner});
        received.set(owner, (received.get(owner) ?? 0) + grants.length);
      };
      let now = 0;
      for (const {owner, waiting, settles, outcome, passMs} of steps) {
        now += passMs;
        const mine = [...out.values()].find(each => each.owner === owner);
        if (settles && mine !== undefined) {
          out.delete(mine.grant.grant);
          const message = {owner, ends: [createEnd(mine.grant, outcome, 50)]};
          take(owner, allocator.settle(message, now).grants);
        } else {
          const pools = [createDemand({x: waiting}, received.get(owner) ?? 0)];
          take(owner, allocator.demand({owner, pools}, now).grants);
        }
        for (const [to, grant] of offered.splice(0)) take(to, [grant]);
        for (const {name, slots} of fixture.servers) {
          const used = [...out.values()].filter(
            ({grant}) => grant.server === name,
          );
          assert.ok(used.length <= slots, `${used.length} of ${name}`);
        }
      }
    }),
    {seed: SEED},
  );
});

test('never grants more resources than a worker has', () => {
  const need = fc.record({
    processors: fc.integer({min: 1, max: 12}),
    memoryMb: fc.integer({min: 1, max: 64}),
    accelerators: fc.nat(2),
  });
  fc.assert(
    fc.property(fc.array(need, {maxLength: 16}), needs => {
      const size = {processors: 16, memoryMb: 64, accelerators: 2};
      const fields = {kind: BackendKind.Worker, pool: 'worker', ...size};
      const fixture = openAllocator([createServer('w', fields)]);
      reportNoGrants(fixture);
      const demand = {
        ...createDemand({x: needs.length}),
        pool: 'worker',
        needs,
      };
      const {grants} = fixture.allocator.demand(
        {owner: 'a', pools: [demand]},
        0,
      );
      const sum = (pick: (each: (typeof needs)[number]) => number) =>
        grants.reduce((total, {needs: n}) => total + (n ? pick(n) : 0), 0);
      assert.ok(sum(n => n.processors) <= size.processors);
      assert.ok(sum(n => n.memoryMb) <= size.memoryMb);
      assert.ok(sum(n => n.accelerators) <= size.accelerators);
      assert.ok(needs.length === 0 || grants.length > 0);
    }),
    {seed: SEED},
  );
});

test('grants freed slots to teams by weight', () => {
  const fairness = {weights: {heavy: 3}, quotas: {}};
  const fixture = openAllocator([createServer('s')], {fairness});
  reportNoGrants(fixture);
  const {allocator, offered} = fixture;
  let now = 0;
  let free = allocator.demand(
    {owner: 'a', pools: [createDemand({light: 200})]},
    now,
  );
  allocator.demand({owner: 'b', pools: [createDemand({heavy: 200})]}, now);
  const served = {heavy: 0, light: 0};
  const running = [...free.grants];
  while (served.heavy + served.light < 120) {
    now += 1;
    const [next] = running.splice(0, 1);
    assert.ok(next);
    const isHeavy = next.team === 'heavy';
    served[isHeavy ? 'heavy' : 'light'] += 1;
    const ends = [createEnd(next, GrantEnd.Done, 10)];
    free = allocator.settle({owner: isHeavy ? 'b' : 'a', ends}, now);
    running.push(...free.grants, ...offered.splice(0).map(([, each]) => each));
  }
  assert.ok(Math.abs(served.heavy - 90) <= 6, `${served.heavy} of 120`);
});

test('a busy answer limits concurrency for a while', () => {
  const fixture = openAllocator([createServer('s', {slots: 2})]);
  reportNoGrants(fixture);
  const {allocator, offered} = fixture;
  const first = allocator.demand(
    {owner: 'a', pools: [createDemand({x: 2})]},
    0,
  ).grants;
  assert.equal(first.length, 2);
  const [busy] = first;
  assert.ok(busy);
  const ends = [createEnd(busy, GrantEnd.Busy)];
  const demand = [createDemand({x: 1}, 2)];
  const soon = allocator.settle({owner: 'a', ends, demand}, 1);
  assert.equal(soon.grants.length, 0);
  allocator.tick(150);
  assert.equal(offered.length, 1);
});

test('grants the fastest free server first', () => {
  const fixture = openAllocator([createServer('slow'), createServer('fast')]);
  reportNoGrants(fixture);
  const {allocator} = fixture;
  let now = 0;
  for (let received = 0; received < 40; now += 10) {
    const pools = [createDemand({x: 2}, received)];
    const {grants} = allocator.demand({owner: 'a', pools}, now);
    received += grants.length;
    const ends = grants.map(grant =>
      createEnd(grant, GrantEnd.Done, grant.server === 'fast' ? 50 : 200),
    );
    allocator.settle({owner: 'a', ends}, now);
  }
  const [first] = allocator.demand(
    {owner: 'b', pools: [createDemand({x: 1})]},
    now,
  ).grants;
  assert.equal(first?.server, 'fast');
});

test('small needs do not starve large ones', () => {
  const size = {processors: 8, memoryMb: 100, accelerators: 0};
  const fields = {kind: BackendKind.Worker, pool: 'worker', ...size};
  const fixture = openAllocator([createServer('w', fields)]);
  reportNoGrants(fixture);
  const {allocator, offered} = fixture;
  const demand = (processors: number, oldestMs: number) => ({
    pool: 'worker',
    teams: [{team: 'x', waiting: 1, oldestMs}],
    needs: [{processors, memoryMb: 1, accelerators: 0}],
  });
  const small = {owner: 'a', pools: [demand(1, 0)]};
  const [running] = allocator.demand(small, 0).grants;
  assert.ok(running);
  const large = {owner: 'b', pools: [demand(8, 2_000)]};
  assert.equal(allocator.demand(large, 1).grants.length, 0);
  assert.equal(allocator.demand(small, 2).grants.length, 0);
  const ends = [createEnd(running, GrantEnd.Done, 10)];
  allocator.settle({owner: 'a', ends}, 3);
  assert.deepEqual(
    offered.map(([owner]) => owner),
    ['b'],
  );
});
