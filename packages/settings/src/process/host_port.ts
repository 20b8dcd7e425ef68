/** Parses and formats `host:port` addresses. */
import {z} from 'zod';

const MAX_PORT = 65_535;

/** A host, as an IP address or a name, and a TCP port. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Parses `host:port` or `[ipv6]:port`; undefined if the text is neither. */
export function parseHostPort(text: string): HostPort | undefined {
  const match = /^(?:\[([0-9a-fA-F:.]+)\]|([^\s:[\]/]+)):([0-9]{1,5})$/.exec(
    text,
  );
  const host = match?.[1] ?? match?.[2];
  const port = Number(match?.[3]);
  if (host === undefined || port > MAX_PORT) return undefined;
  return {host, port};
}

/** Formats an address, with brackets around an IPv6 host. */
export function formatHostPort({host, port}: HostPort): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/** An address to listen on; port 0 lets the operating system choose. */
export const listenAddressSchema = createAddressSchema(0);

/** An address to connect to. */
export const remoteAddressSchema = createAddressSchema(1);

function createAddressSchema(minPort: number) {
  return z
    .string('expected an address as host:port')
    .transform((text, context) => {
      const address = parseHostPort(text);
      if (address !== undefined && address.port >= minPort) return address;
      context.addIssue({
        code: 'custom',
        message: `expected host:port with a port from ${minPort} to ${MAX_PORT}`,
      });
      return z.NEVER;
    });
}
