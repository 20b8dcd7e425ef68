import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GrantEnd, type Grant} from '@goldcrestpier/peers';
import {BackendKind} from '@goldcrestpier/protocol';
import fc from 'fast-check';
import {
  createServer,
  end,
  hearAll,
  openScene,
  wish,
} from './fixtures/holding_scene.js';

const SEED = 20_263;

test('one holder never has more grants out than a server has slots', () => {
  const step = fc.record({
    owner: fc.constantFrom('a', 'b'),
    waiting: fc.nat(12),
    settles: fc.boolean(),
    how: fc.constantFrom(...Object.values(GrantEnd)),
    passMs: fc.nat(20),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60}), steps => {
      const scene = openScene(['s', 't', 'u'].map(name => createServer(name)));
      hearAll(scene);
      const {holding, pushed} = scene;
      const out = new Map<string, {grant: Grant; owner: string}>();
      const received = new Map<string, number>();
      const take = (owner: string, grants: readonly Grant[]) => {
        for (const grant of grants) out.set(grant.grant, {grant, owner});
        received.set(owner, (received.get(owner) ?? 0) + grants.length);
      };
      let now = 0;
      for (const {owner, waiting, settles, how, passMs} of steps) {
        now += passMs;
        const mine = [...out.values()].find(each => each.owner === owner);
        if (settles && mine !== undefined) {
          out.delete(mine.grant.grant);
          const message = {owner, ends: [end(mine.grant, how, 50)]};
          take(owner, holding.settle(message, now).grants);
        } else {
          const pools = [wish({x: waiting}, received.get(owner) ?? 0)];
          take(owner, holding.demand({owner, pools}, now).grants);
        }
        for (const [to, grant] of pushed.splice(0)) take(to, [grant]);
        for (const {name, slots} of scene.servers) {
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

test('workers are never granted beyond what they have', () => {
  const need = fc.record({
    processors: fc.integer({min: 1, max: 12}),
    memoryMb: fc.integer({min: 1, max: 64}),
    accelerators: fc.nat(2),
  });
  fc.assert(
    fc.property(fc.array(need, {maxLength: 16}), needs => {
      const size = {processors: 16, memoryMb: 64, accelerators: 2};
      const fields = {kind: BackendKind.Worker, pool: 'worker', ...size};
      const scene = openScene([createServer('w', fields)]);
      hearAll(scene);
      const demand = {...wish({x: needs.length}), pool: 'worker', needs};
      const {grants} = scene.holding.demand({owner: 'a', pools: [demand]}, 0);
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

test('freed slots go to teams by weight', () => {
  const fairness = {weights: {heavy: 3}, quotas: {}};
  const scene = openScene([createServer('s')], {fairness});
  hearAll(scene);
  const {holding, pushed} = scene;
  let now = 0;
  let free = holding.demand({owner: 'a', pools: [wish({light: 200})]}, now);
  holding.demand({owner: 'b', pools: [wish({heavy: 200})]}, now);
  const served = {heavy: 0, light: 0};
  const running = [...free.grants];
  while (served.heavy + served.light < 120) {
    now += 1;
    const [next] = running.splice(0, 1);
    assert.ok(next);
    const isHeavy = next.team === 'heavy';
    served[isHeavy ? 'heavy' : 'light'] += 1;
    const ends = [end(next, GrantEnd.Done, 10)];
    free = holding.settle({owner: isHeavy ? 'b' : 'a', ends}, now);
    running.push(...free.grants, ...pushed.splice(0).map(([, each]) => each));
  }
  assert.ok(Math.abs(served.heavy - 90) <= 6, `${served.heavy} of 120`);
});

test('a busy answer lowers the belief for a while', () => {
  const scene = openScene([createServer('s', {slots: 2})]);
  hearAll(scene);
  const {holding, pushed} = scene;
  const first = holding.demand({owner: 'a', pools: [wish({x: 2})]}, 0).grants;
  assert.equal(first.length, 2);
  const [busy] = first;
  assert.ok(busy);
  const ends = [end(busy, GrantEnd.Busy)];
  const demand = [wish({x: 1}, 2)];
  const soon = holding.settle({owner: 'a', ends, demand}, 1);
  assert.equal(soon.grants.length, 0);
  holding.tick(150);
  assert.equal(pushed.length, 1);
});

test('the fastest free server is granted first', () => {
  const scene = openScene([createServer('slow'), createServer('fast')]);
  hearAll(scene);
  const {holding} = scene;
  let now = 0;
  for (let received = 0; received < 40; now += 10) {
    const pools = [wish({x: 2}, received)];
    const {grants} = holding.demand({owner: 'a', pools}, now);
    received += grants.length;
    const ends = grants.map(grant =>
      end(grant, GrantEnd.Done, grant.server === 'fast' ? 50 : 200),
    );
    holding.settle({owner: 'a', ends}, now);
  }
  const [first] = holding.demand(
    {owner: 'b', pools: [wish({x: 1})]},
    now,
  ).grants;
  assert.equal(first?.server, 'fast');
});

test('large needs are not passed over for ever by small ones', () => {
  const size = {processors: 8, memoryMb: 100, accelerators: 0};
  const fields = {kind: BackendKind.Worker, pool: 'worker', ...size};
  const scene = openScene([createServer('w', fields)]);
  hearAll(scene);
  const {holding, pushed} = scene;
  const demand = (processors: number, oldestMs: number) => ({
    pool: 'worker',
    teams: [{team: 'x', waiting: 1, oldestMs}],
    needs: [{processors, memoryMb: 1, accelerators: 0}],
  });
  const small = {owner: 'a', pools: [demand(1, 0)]};
  const [running] = holding.demand(small, 0).grants;
  assert.ok(running);
  const large = {owner: 'b', pools: [demand(8, 2_000)]};
  assert.equal(holding.demand(large, 1).grants.length, 0);
  assert.equal(holding.demand(small, 2).grants.length, 0);
  const ends = [end(running, GrantEnd.Done, 10)];
  holding.settle({owner: 'a', ends}, 3);
  assert.deepEqual(
    pushed.map(([owner]) => owner),
    ['b'],
  );
});
