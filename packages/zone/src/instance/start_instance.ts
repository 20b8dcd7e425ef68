/** Starts an instance with its listener for peers. */
import {
  createCallLink,
  LivenessMonitor,
  startCallServer,
} from '@goldcrestpier/peers';
import {LogPart} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {createZoneRouter, zoneMethods} from '../protocol/index.js';
import {Instance} from './instance.js';
import type {InstanceOptions} from './instance_options.js';
import type {OpenLink} from './links.js';

/** Not a secret: the platform's network restricts access to the listener. */
const PEER_TOKEN = 'zone';
/**
 * Silence after which a peer's connection is closed, in ms. The peer itself
 * closes it after 900 ms; messages that the network delayed for longer must not
 * count as new.
 */
const PEER_SILENCE_TIMEOUT_MS = 1_000;

const linkLimits = {
  connectMs: 400,
  silenceMs: 900,
  firstRetryMs: 50,
  longestRetryMs: 400,
};

/** Options of an instance that connects to its peers over the network. */
export type NetworkedOptions = Omit<InstanceOptions, 'openLink'>;

/** The listener for peers could not be opened. */
export interface InstanceFailure {
  readonly address: string;
  /** The error code of the operating system. */
  readonly code: string;
}

/** Starts an instance; fails if its listener can't be opened. */
export async function startInstance(
  options: NetworkedOptions,
): Promise<Result<Instance, InstanceFailure>> {
  const openLink = createOpenLink(options);
  const instance = new Instance({...options, openLink});
  const started = await startCallServer({
    listen: options.listen,
    token: PEER_TOKEN,
    router: createZoneRouter(instance),
    methods: zoneMethods,
    onPing: id => instance.recordPing(id),
    onOpened: id => instance.connections.recordOpened(id),
    onClosed: id => instance.connections.recordClosed(id),
    logger: options.logs.forPart(LogPart.Peers),
    lifecycle: options.lifecycle,
    limits: {silenceTimeoutMs: PEER_SILENCE_TIMEOUT_MS},
  });
  if (started.isErr()) {
    const {host, port, code} = started.error;
    return Err({address: `${host}:${port}`, code});
  }
  instance.start();
  return Ok(instance);
}

/** Creates the function that opens an instance's links to its peers. */
export function createOpenLink({
  id,
  logs,
}: Pick<InstanceOptions, 'id' | 'logs'>): OpenLink {
  const logger = logs.forPart(LogPart.Peers);
  const {silenceMs} = linkLimits;
  const silence = new LivenessMonitor({
    silenceTimeoutMs: silenceMs,
    canPing: true,
  });
  return (address, lifecycle) =>
    createCallLink(
      {
        address,
        token: PEER_TOKEN,
        self: id,
        logger,
        lifecycle,
        limits: linkLimits,
        livenessMonitor: silence,
      },
      zoneMethods,
    );
}
