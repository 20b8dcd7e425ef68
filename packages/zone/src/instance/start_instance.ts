/** Starts an instance with its listener for peers. */
import {startCallServer} from '@goldcrestpier/peers';
import {LogPart} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {createZoneRouter, zoneMethods} from '../protocol/index.js';
import {Instance} from './instance.js';
import type {InstanceOptions} from './instance_options.js';

/** No secret: the platform's network keeps others away from the listener. */
const PEER_TOKEN = 'zone';

/** The listener for peers could not be opened. */
export interface InstanceFailure {
  readonly address: string;
  /** The system's error code. */
  readonly code: string;
}

/** Starts an instance. */
export async function startInstance(
  options: InstanceOptions,
): Promise<Result<Instance, InstanceFailure>> {
  const instance = new Instance(options);
  const started = await startCallServer({
    listen: options.listen,
    token: PEER_TOKEN,
    router: createZoneRouter(instance),
    methods: zoneMethods,
    logger: options.logs.forPart(LogPart.Peers),
    lifecycle: options.lifecycle,
  });
  if (started.isErr()) {
    const {host, port, code} = started.error;
    return Err({address: `${host}:${port}`, code});
  }
  instance.start();
  return Ok(instance);
}
