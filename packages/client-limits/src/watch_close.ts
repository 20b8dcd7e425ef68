/** Reports that the response to a request was sent, or that its connection closed. */
import type {IncomingMessage, ServerResponse} from 'node:http';

/**
 * Calls `onClose` once, when the response has been sent or its connection has
 * closed; returns a function that stops it. Of several requests in flight on one
 * connection, only the first one's response is closed with the connection.
 */
export function watchClose(
  {socket}: IncomingMessage,
  response: ServerResponse,
  onClose: () => void,
): () => void {
  let isWatching = true;
  const stop = () => {
    isWatching = false;
    response.off('close', close);
    socket.off('close', close);
  };
  const close = () => {
    // The socket's event calls it once more after that of the response.
    if (!isWatching) return;
    stop();
    onClose();
  };
  response.once('close', close);
  socket.once('close', close);
  return stop;
}
