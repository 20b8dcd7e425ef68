/** A relay between two sockets that can swallow bytes or cut connections. */
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import type {Lifecycle} from '@goldcrestpier/runtime';

/** A running relay. */
export interface TcpRelay {
  readonly address: string;
  readonly port: number;
  /** Where connections are taken on to. */
  targetPort: number;
  /** While true, bytes vanish and nobody is told. */
  swallow: boolean;
  /** Ends every connection. */
  cut(): void;
}

/** Starts a relay; its target may also be set before it is used. */
export async function startRelay(
  lifecycle: Lifecycle,
  targetPort = 0,
): Promise<TcpRelay> {
  const sockets = new Set<Socket>();
  const join = (from: Socket, to: Socket) => {
    sockets.add(from);
    from.on('data', data => {
      if (!relay.swallow) to.write(data);
    });
    from.on('error', () => from.destroy());
    from.on('close', () => {
      sockets.delete(from);
      to.destroy();
    });
  };
  const server = createServer(near => {
    const far = connect(relay.targetPort, '127.0.0.1');
    join(near, far);
    join(far, near);
  });
  const cut = () => {
    for (const socket of sockets) socket.destroy();
  };
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  lifecycle.own('relay', async () => {
    const closed = new Promise(resolve => server.close(resolve));
    cut();
    await closed;
  });
  const {port} = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const relay: TcpRelay = {address, port, targetPort, swallow: false, cut};
  return relay;
}
