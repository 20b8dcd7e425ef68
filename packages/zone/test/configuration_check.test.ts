import assert from 'node:assert/strict';
import {test} from 'node:test';
import {openSnapshots} from '@goldcrestpier/testing';
import {
  checkConfiguration,
  compareConfigurations,
  type Candidate,
} from '../src/check/index.js';
import type {CallerLimits, Queue} from '../src/ports/index.js';

const snapshots = openSnapshots(import.meta.url);
const program = {maxHeaderBytes: 65_536};
const limits: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 262_144,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

function createQueue(changes: Partial<Queue> = {}): Queue {
  return {
    name: changes.prefix ?? 'quotes',
    host: 'shop.example',
    prefix: '/quotes/',
    service: 'pricing',
    priority: 0,
    maxAttempts: 2,
    stretch: 1.6,
    targetMs: 60,
    timeoutMs: 1_500,
    ...changes,
  };
}

function createCandidate(
  queues: readonly Queue[],
  changes: Partial<Candidate> = {},
): Candidate {
  return {
    version: 4,
    queues: queues.map((queue, index) => ({index, queue})),
    lacksQueues: false,
    services: [],
    lacksServices: false,
    limits,
    ...changes,
  };
}

/** Lists the findings, each as its code, place, value and what it is against. */
function check(candidate: Candidate, inForce?: number): string[] {
  return checkConfiguration(candidate, inForce, program).map(
    ({code, place, found, against}) =>
      `${code} ${JSON.stringify(place)} ${JSON.stringify(found)} ${JSON.stringify(against)}`,
  );
}

// Guards against false alarms, by which scripts would stop a good configuration.
test('an ordinary configuration has no findings', () => {
  const queues = [
    createQueue(),
    createQueue({prefix: '/quotes/fast/'}),
    createQueue({prefix: '/quotes/abcdefabcdefabcd1/'}),
    createQueue({host: 'other.example', name: 'other'}),
  ];
  assert.deepEqual(check(createCandidate(queues), 3), []);
});

// Guards against routes of which no job is ever served passing the check.
test('queues that requests or jobs do not reach are found', () => {
  const of = (...all: Partial<Queue>[]) =>
    check(createCandidate(all.map(createQueue)));
  const digits = [...'0123456789abcdefABCDEF'];
  const taken = digits.map(digit => ({prefix: `/quotes/${digit}/`}));
  snapshots.match('unreachable', {
    sameMatch: of({}, {name: 'copy'}),
    prefixes: ['', 'quotes/', '/a?b/', '/a b/', '/ü/', '/\u0416/', '/a'].map(
      prefix => of({prefix}),
    ),
    hosts: ['', 'shop.example:80', '*.example', '[::1]'].map(host =>
      of({host}),
    ),
    // `/quotes/0/` is no beginning of an id, `/quotes/0` is one.
    notTaken: of({}, ...taken),
    someTaken: of({}, {prefix: '/quotes/ab'}),
    allTaken: of({}, ...digits.map(digit => ({prefix: `/quotes/${digit}`}))),
    allButOneTaken: of(
      {},
      ...digits.slice(1).map(digit => ({prefix: `/quotes/${digit}`})),
      ...digits.slice(1).map(digit => ({prefix: `/quotes/0${digit}`})),
    ).slice(0, 1),
  });
});

// Guards against times and sizes that end or refuse jobs unexpectedly.
test('contradicting limits, versions and names are found', () => {
  const ofQueue = (changes: Partial<Queue>) =>
    check(createCandidate([createQueue(changes)]));
  const ofLimits = (changes: Partial<CallerLimits>) =>
    check(createCandidate([createQueue()], {limits: {...limits, ...changes}}));
  const services = ['pricing', 'idle', 'pricing'].map((name, index) => ({
    index,
    name,
    fields: {},
  }));
  const queues = [createQueue(), createQueue({prefix: '/x/', service: 'new'})];
  snapshots.match('contradictions', {
    targetIsTimeout: ofQueue({targetMs: 1_500}),
    attempts: ofQueue({targetMs: 600, maxAttempts: 3}),
    attemptsThatFit: ofQueue({targetMs: 500, maxAttempts: 3}),
    stretch: ofQueue({stretch: 0.9}),
    timer: ofQueue({timeoutMs: 2 ** 31}),
    empty: ofQueue({name: '', service: ''}),
    headers: ofLimits({maxHeaderBytes: 65_537}),
    body: ofLimits({maxBodyBytes: 0.5}),
    timeouts: ofLimits({headerTimeoutMs: 15_001}),
    sameVersion: check(createCandidate([createQueue()]), 4),
    fraction: check(createCandidate([createQueue()], {version: 4.5}), 4),
    noQueues: check(createCandidate([])),
    sameName: check(
      createCandidate([
        createQueue(),
        createQueue({host: 'b', name: 'quotes'}),
      ]),
    ),
    services: check(createCandidate(queues, {services})),
    // The queue that could not be decoded may use the service.
    undecoded: check(createCandidate(queues, {services, lacksQueues: true})),
  });
});

// Guards against changes that the operator does not see before sending them.
test('differences are listed, and none that malformed entries may explain', () => {
  const service = (name: string, fields: Record<string, unknown>) => ({
    index: 0,
    name,
    fields,
  });
  const before = createCandidate(
    [createQueue({name: 'kept'}), createQueue({name: 'gone'})],
    {
      services: [
        service('pricing', {tls: {a: 1, b: [2]}, standby: true}),
        service('old', {}),
      ],
    },
  );
  const after = createCandidate(
    [
      createQueue({name: 'new'}),
      createQueue({name: 'kept', timeoutMs: 900, service: 'other'}),
    ],
    {
      services: [service('pricing', {tls: {b: [2], a: 1}, max_conns: 5})],
      limits: {...limits, idleTimeoutMs: 9_000},
    },
  );
  snapshots.match('differences', {
    all: compareConfigurations(before, after),
    malformed: compareConfigurations(before, {
      ...after,
      lacksQueues: true,
      lacksServices: true,
      limits: undefined,
    }),
    none: compareConfigurations(before, before),
  });
});
