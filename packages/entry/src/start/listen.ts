/** Opens listeners as resources of a life cycle. */
import {once} from 'node:events';
import type {Server} from 'node:http';
import type {Lifecycle} from '@goldcrestpier/runtime';

/** Where a listener listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Listens until the life cycle closes; rejects when the address is taken. */
export async function listen(
  server: Server,
  {host, port}: ListenAddress,
  lifecycle: Lifecycle,
): Promise<void> {
  server.listen(port, host);
  await once(server, 'listening');
  lifecycle.own(`listener ${host}:${port}`, async () => {
    server.close();
    server.closeIdleConnections();
    server.closeAllConnections();
    await once(server, 'close');
  });
}
