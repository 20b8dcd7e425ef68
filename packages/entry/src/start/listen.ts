/** Opens HTTP listeners as resources of a lifecycle. */
import {once} from 'node:events';
import type {Server} from 'node:http';
import type {Lifecycle} from '@goldcrestpier/runtime';

/** Address of a listener. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Listens until the lifecycle closes; rejects if the address is in use. */
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
