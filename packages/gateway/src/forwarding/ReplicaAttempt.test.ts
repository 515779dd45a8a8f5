import * as net from 'node:net';
import * as vitest from 'vitest';
import { FakeCodec } from '../testing/FakeCodec.js';
import { sampleReplica } from '../testing/sampleReplica.js';
import { type AttemptFailure, ReplicaAttempt } from './ReplicaAttempt.js';

/** Sends a payment to a server, and returns why there is no usable response. */
function failureOfAttempt(server: net.Server, isReplicaUsable: boolean): Promise<AttemptFailure> {
  const address = { host: '127.0.0.1', port: (server.address() as net.AddressInfo).port };
  const request = {
    method: 'POST',
    path: '/p/x',
    headers: [],
    body: Buffer.from('payment'),
    callerRequest: { attemptId: 'a1', host: 'h', deadlineMs: 5_000, promptPartIds: [] },
    replica: sampleReplica({ address }),
    agent: false as const,
    onWrite: () => undefined,
    isReplicaUsable: () => isReplicaUsable,
  };
  return new Promise((resolve, reject) => {
    const unexpected = (): void => {
      reject(new Error('the head of a response was passed on'));
    };
    const listener = { onHead: unexpected, onFailure: resolve, onConnectionLost: unexpected };
    new ReplicaAttempt(request, new FakeCodec(), listener);
  });
}

vitest.describe('attempt at a replica', () => {
  vitest.test(
    'sends nothing to a replica that leaves while it is connected to (guards against requests chosen before a drain)',
    async () => {
      const received: Buffer[] = [];
      const server = net.createServer((socket) => {
        socket.on('error', () => undefined);
        socket.on('data', (bytes) => received.push(bytes));
      });
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
      const failure = await failureOfAttempt(server, false);
      vitest.expect(failure).toMatchObject({ kind: 'replicaLeft', mayHaveRun: false });
      await new Promise((resolve) => server.close(resolve));
      vitest.expect(received).toEqual([]);
    },
  );

  vitest.test.each(['000', '099', '600', '999'])(
    'passes on no head with status %s (guards against a load, a rate limit or a refusal that is trusted)',
    async (status) => {
      const server = net.createServer((socket) => {
        socket.on('error', () => undefined);
        socket.on('data', () =>
          socket.end(`HTTP/1.1 ${status} OK\r\nx-attempt: a1\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n`),
        );
      });
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
      const failure = await failureOfAttempt(server, true);
      vitest.expect(failure).toMatchObject({ kind: 'invalidAnswer', mayHaveRun: true });
      server.close();
    },
  );
});
