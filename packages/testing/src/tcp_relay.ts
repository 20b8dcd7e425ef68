/** TCP relay that can drop data or close its connections. */
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import type {Lifecycle} from '@goldcrestpier/runtime';

/** A running relay. */
export interface TcpRelay {
  readonly address: string;
  readonly port: number;
  /** Port on the loopback address to which connections are relayed. */
  targetPort: number;
  /** While true, data is discarded and connections stay open. */
  isDropping: boolean;
  /** Closes all current connections. */
  closeConnections(): void;
}

/** Starts a relay; `targetPort` may also be set later, before it is used. */
export async function startTcpRelay(
  lifecycle: Lifecycle,
  targetPort = 0,
): Promise<TcpRelay> {
  const sockets = new Set<Socket>();
  const forward = (from: Socket, to: Socket) => {
    sockets.add(from);
    from.on('data', data => {
      if (!relay.isDropping) to.write(data);
    });
    from.on('error', () => from.destroy());
    from.on('close', () => {
      sockets.delete(from);
      to.destroy();
    });
  };
  const server = createServer(clientSocket => {
    const targetSocket = connect(relay.targetPort, '127.0.0.1');
    forward(clientSocket, targetSocket);
    forward(targetSocket, clientSocket);
  });
  const closeConnections = () => {
    for (const socket of sockets) socket.destroy();
  };
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  lifecycle.own('relay', async () => {
    const closed = new Promise(resolve => server.close(resolve));
    closeConnections();
    await closed;
  });
  const {port} = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const relay: TcpRelay = {
    address,
    port,
    targetPort,
    isDropping: false,
    closeConnections,
  };
  return relay;
}
