import type * as http from 'node:http';

/**
 * Closes the idle connections of an agent to an address. A request without a response shows that connections to it may have
 * gone silent, and each of the others would cost a further request its timeout.
 */
export function closeIdleConnections(agent: http.Agent, host: string, port: number): void {
  for (const socket of agent.freeSockets[agent.getName({ host, port })] ?? []) {
    socket.destroy();
  }
}
