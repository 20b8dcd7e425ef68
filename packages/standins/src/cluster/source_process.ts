/**
 * Finds the process that opened a connection on this machine, so that a relay
 * can select the link between that process's zone and the target's. Linux only.
 */
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';
import type {Socket} from 'node:net';

const CONNECTIONS_FILE = '/proc/net/tcp';
const LOCAL_ADDRESS_FIELD = 1;
const REMOTE_ADDRESS_FIELD = 2;
const INODE_FIELD = 9;

/** Returns which of `pids` opened the accepted `socket`, if any. */
export function findSourceProcess(
  socket: Socket,
  pids: readonly number[],
): number | undefined {
  const inode = findInode(socket.remotePort ?? 0, socket.localPort ?? 0);
  if (inode === undefined) return undefined;
  return pids.find(pid => ownsSocket(pid, `socket:[${inode}]`));
}

/** Inode of the socket that connects from `sourcePort` to `targetPort`. */
function findInode(sourcePort: number, targetPort: number): string | undefined {
  const [from, to] = [formatPort(sourcePort), formatPort(targetPort)];
  for (const line of readFileSync(CONNECTIONS_FILE, 'utf8').split('\n')) {
    const fields = line.trim().split(/\s+/);
    if (!fields[LOCAL_ADDRESS_FIELD]?.endsWith(from)) continue;
    if (!fields[REMOTE_ADDRESS_FIELD]?.endsWith(to)) continue;
    return fields[INODE_FIELD];
  }
  return undefined;
}

function formatPort(port: number): string {
  return `:${port.toString(16).toUpperCase().padStart(4, '0')}`;
}

function ownsSocket(pid: number, link: string): boolean {
  const folder = `/proc/${pid}/fd`;
  try {
    return readdirSync(folder).some(fd => readLink(`${folder}/${fd}`) === link);
  } catch {
    // The process has exited in the meantime.
    return false;
  }
}

function readLink(path: string): string | undefined {
  try {
    return readlinkSync(path);
  } catch {
    // The descriptor has been closed in the meantime.
    return undefined;
  }
}
