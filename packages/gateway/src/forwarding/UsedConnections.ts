import type * as http from 'node:http';
import type * as net from 'node:net';
import type { Address } from '../Types.js';

/**
 * The connections that one request was sent on. A faulty replica may repeat its answer there, and the id of the request
 * does not tell the copy from the answer to a later send on the same connection.
 */
export class UsedConnections {
  private readonly _sockets = new WeakSet<net.Socket>();

  public add(socket: net.Socket): void {
    this._sockets.add(socket);
  }

  /** True if the agent could take one of these connections for the next request to the address. */
  public mayBeReused(agent: http.Agent, { host, port }: Address): boolean {
    const idle = agent.freeSockets[agent.getName({ host, port })] ?? [];
    return idle.some((socket) => this._sockets.has(socket));
  }
}
