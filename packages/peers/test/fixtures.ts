/** Fixtures: handlers, valid messages, and servers with links to them. */
import assert from 'node:assert/strict';
import type {TestContext} from 'node:test';
import {Lifecycle, silentLogger, sleep} from '@goldcrestpier/runtime';
import {
  createPeerLink,
  MemberState,
  RelayAnswerKind,
  startPeerServer,
  type Heartbeat,
  type PeerHandlers,
  type PeerLink,
  type PeerLinkOptions,
  type PeerServer,
  type PeerServerOptions,
} from '../src/index.js';

export const TOKEN = 'a token of the tests';
/** Generous timeout, in ms, so that a busy machine does not fail a test. */
export const TIMEOUT_MS = 20_000;

/** Query for a job, valid for all calls that identify one. */
export const jobQuery = {session: 'east.a.0123456789ab.1', key: 'k', waitMs: 0};

/** Creates a lifecycle that is closed after the test and must close cleanly. */
export function createLifecycle(context: TestContext): Lifecycle {
  const lifecycle = new Lifecycle('test');
  context.after(async () => {
    assert.deepEqual(await lifecycle.close(), []);
  });
  return lifecycle;
}

/** Creates a valid heartbeat of one instance. */
export function createHeartbeat(instance = 'a', sentAt = 1): Heartbeat {
  return {
    from: {
      incarnation: `east.${instance}.0123456789ab`,
      zone: 'east',
      instance,
      peerAddress: '127.0.0.1:1',
      state: MemberState.Live,
      weight: 1,
    },
    sentAt,
    settingsRevision: 0,
    successors: [],
    grantsInUse: [],
    spare: [],
  };
}

/** Creates handlers that answer each call with a minimal valid answer. */
export function createHandlers(overrides: Partial<PeerHandlers> = {}) {
  const ended = {kind: RelayAnswerKind.Ended as const};
  const handlers: PeerHandlers = {
    heartbeat: message => Promise.resolve(message),
    submit: () => Promise.resolve(ended),
    read: () => Promise.resolve(ended),
    cancel: () => Promise.resolve(ended),
    endSession: () => Promise.resolve(ended),
    handOver: () => Promise.resolve(),
    readSettings: ({knownRevision}) =>
      Promise.resolve({revision: knownRevision}),
    demand: () => Promise.resolve({grants: []}),
    settle: () => Promise.resolve({grants: []}),
    offer: () => Promise.resolve(),
    inspect: () =>
      Promise.resolve({incarnation: 'east.a.0', jobs: [], servers: []}),
    ...overrides,
  };
  return handlers;
}

/** Starts a listener, on a free port unless `overrides` sets one. */
export async function startServer(
  lifecycle: Lifecycle,
  overrides: Partial<PeerServerOptions> = {},
): Promise<PeerServer> {
  const started = await startPeerServer({
    listen: {host: '127.0.0.1', port: 0},
    token: TOKEN,
    handlers: createHandlers(),
    logger: silentLogger,
    lifecycle,
    ...overrides,
  });
  return started.unwrap();
}

/** Starts a link to a local port, or to `overrides.address` if given. */
export function startLink(
  lifecycle: Lifecycle,
  port: number,
  overrides: Partial<PeerLinkOptions> = {},
): PeerLink {
  return createPeerLink({
    address: `127.0.0.1:${port}`,
    token: TOKEN,
    self: 'east.tests.0123456789ab',
    logger: silentLogger,
    lifecycle,
    ...overrides,
  });
}

/** Polls until `condition` is true; throws after `TIMEOUT_MS`. */
export async function waitFor(
  description: string,
  condition: () => boolean,
): Promise<void> {
  const end = Date.now() + TIMEOUT_MS;
  while (!condition()) {
    if (Date.now() > end) throw new Error(`timed out: ${description}`);
    await sleep(5);
  }
}

/** Starts a server and a link, and waits until the link is connected. */
export async function startPair(
  lifecycle: Lifecycle,
  serverOverrides: Partial<PeerServerOptions> = {},
  linkOverrides: Partial<PeerLinkOptions> = {},
): Promise<{server: PeerServer; link: PeerLink}> {
  const server = await startServer(lifecycle, serverOverrides);
  const link = startLink(lifecycle, server.port, linkOverrides);
  await waitFor('a connection', () => link.isConnected());
  return {server, link};
}
