/** Addresses as people write them, `host:port`. */
import {z} from 'zod';

const HIGHEST_PORT = 65_535;

/** A host by number or name, and a TCP port. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Reads `host:port` or `[ipv6]:port`; undefined when it is neither. */
export function parseHostPort(text: string): HostPort | undefined {
  const match = /^(?:\[([0-9a-fA-F:.]+)\]|([^\s:[\]/]+)):([0-9]{1,5})$/.exec(
    text,
  );
  const host = match?.[1] ?? match?.[2];
  const port = Number(match?.[3]);
  if (host === undefined || port > HIGHEST_PORT) return undefined;
  return {host, port};
}

/** The text form, with brackets round an IPv6 host. */
export function formatHostPort({host, port}: HostPort): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/** An address to listen on; port 0 lets the system choose. */
export const listenAddressSchema = createAddressSchema(0);

/** An address to connect to. */
export const remoteAddressSchema = createAddressSchema(1);

function createAddressSchema(lowestPort: number) {
  return z
    .string('expected an address as host:port')
    .transform((text, context) => {
      const address = parseHostPort(text);
      if (address !== undefined && address.port >= lowestPort) return address;
      context.addIssue({
        code: 'custom',
        message: `expected host:port with a port from ${lowestPort} to ${HIGHEST_PORT}`,
      });
      return z.NEVER;
    });
}
