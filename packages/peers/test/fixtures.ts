/** Handlers that answer, and messages that are well formed. */
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
/** Long enough for a busy machine. */
export const TIMEOUT_MS = 20_000;

/** Names one job. */
export const query = {session: 'east.a.0123456789ab.1', key: 'k', waitMs: 0};

/** A life cycle that closes with the test, and must close cleanly. */
export function createLifecycle(context: TestContext): Lifecycle {
  const lifecycle = new Lifecycle('test');
  context.after(async () => {
    assert.deepEqual(await lifecycle.close(), []);
  });
  return lifecycle;
}

/** A heartbeat of one instance. */
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

/** Handlers that answer each call in the plainest way. */
export function createHandlers(changes: Partial<PeerHandlers> = {}) {
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
    ...changes,
  };
  return handlers;
}

/** Starts a listener on a free port unless `changes` names one. */
export async function startServer(
  lifecycle: Lifecycle,
  changes: Partial<PeerServerOptions> = {},
): Promise<PeerServer> {
  const started = await startPeerServer({
    listen: {host: '127.0.0.1', port: 0},
    token: TOKEN,
    handlers: createHandlers(),
    logger: silentLogger,
    lifecycle,
    ...changes,
  });
  return started.unwrap();
}

/** Starts a link to a server, or to `changes.address`. */
export function startLink(
  lifecycle: Lifecycle,
  port: number,
  changes: Partial<PeerLinkOptions> = {},
): PeerLink {
  return createPeerLink({
    address: `127.0.0.1:${port}`,
    token: TOKEN,
    self: 'east.tests.0123456789ab',
    logger: silentLogger,
    lifecycle,
    ...changes,
  });
}

/** Waits until `condition` holds; fails after a generous time. */
export async function waitFor(
  what: string,
  condition: () => boolean,
): Promise<void> {
  const end = Date.now() + TIMEOUT_MS;
  while (!condition()) {
    if (Date.now() > end) throw new Error(`waited in vain: ${what}`);
    await sleep(5);
  }
}

/** A running server and a connected link to it. */
export async function startPair(
  lifecycle: Lifecycle,
  serverChanges: Partial<PeerServerOptions> = {},
  linkChanges: Partial<PeerLinkOptions> = {},
): Promise<{server: PeerServer; link: PeerLink}> {
  const server = await startServer(lifecycle, serverChanges);
  const link = startLink(lifecycle, server.port, linkChanges);
  await waitFor('a connection', () => link.isConnected());
  return {server, link};
}
