/**
 * Sockets that read into one buffer, which all of them share. By default the
 * runtime allocates 64 KB for each read, which stay until the garbage is collected:
 * a thousand clients that are closed as soon as they send leave 64 MB behind.
 */
import {Socket} from 'node:net';

const BUFFER_BYTES = 65_536;
const sharedBuffer = Buffer.allocUnsafeSlow(BUFFER_BYTES);

/** An accepted socket with the handle of its connection, which types don't list. */
interface SocketWithHandle {
  _handle: unknown;
}

/**
 * Moves an accepted connection to a socket that calls `onBytes` with what it reads;
 * the bytes are valid during the call only. Nothing may have been read before. It
 * detaches the handle as the runtime does when it passes a socket to another process.
 */
export function readShared(
  accepted: Socket,
  onBytes: (bytes: Buffer) => void,
): Socket {
  const internals = accepted as unknown as SocketWithHandle;
  const handle = internals._handle;
  internals._handle = null;
  const options = {
    handle,
    allowHalfOpen: true,
    onread: {
      buffer: sharedBuffer,
      callback(length: number, buffer: Buffer) {
        onBytes(buffer.subarray(0, length));
        return true;
      },
    },
  };
  const socket = new Socket(options);
  accepted.destroy();
  return socket;
}
