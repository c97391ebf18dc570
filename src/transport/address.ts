/** Addresses of the form `host:port`. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits at the last colon, so that an IPv6 host keeps its own. */
export function splitAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
