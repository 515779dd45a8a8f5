import * as net from 'node:net';

/** Absolute URL of a path at an address; an IPv6 address stands in brackets. */
export function httpUrl(address: { readonly host: string; readonly port: number }, path: string): string {
  const { host, port } = address;
  return `http://${net.isIPv6(host) ? `[${host}]` : host}:${port}${path}`;
}
