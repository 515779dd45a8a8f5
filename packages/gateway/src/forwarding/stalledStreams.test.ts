import * as vitest from 'vitest';
import type { ReplicaScript } from '../testing/ExchangeFixture.js';
import { chunk, events, signedHead, writeRepeatedly } from '../testing/replicaScripts.js';
import { withReplicas } from '../testing/withReplicas.js';

vitest.describe('slow and stalled streams', () => {
  const route = { kind: 'stream', resumable: true, eventGapMs: 60, latencyTargetMs: 200 } as const;

  vitest.test(
    'are resumed elsewhere if bytes but no complete events arrive (guards against endless stalls)',
    async () => {
      const trickles: ReplicaScript = (socket) => {
        socket.write(`${signedHead}Transfer-Encoding: chunked\r\n\r\n${chunk(events(1, 1))}`);
        void writeRepeatedly(socket, chunk('x'));
      };
      const resumes: ReplicaScript = (socket) => {
        const body = events(2, 3);
        socket.write(`${signedHead}Content-Length: ${body.length}\r\n\r\n${body}`);
      };
      await withReplicas(route, [trickles, resumes], async (fixture) => {
        vitest.expect(await fixture.call()).toMatchObject({ body: events(1, 3), complete: true });
        vitest.expect(fixture.requestHeads[1]).toContain('last-event-id: 1');
      });
    },
  );

  vitest.test(
    'wait for a paused replica if no other one can go on (guards against cutting healthy streams)',
    async () => {
      const pauses: ReplicaScript = (socket) => {
        socket.write(`${signedHead}Transfer-Encoding: chunked\r\n\r\n${chunk(events(1, 1))}`);
        setTimeout(() => socket.write(`${chunk(events(2, 2))}0\r\n\r\n`), 1_500);
      };
      await withReplicas(route, [pauses], async (fixture) => {
        const response = await fixture.call({ headers: { 'x-model': 'm' } });
        vitest.expect(response).toMatchObject({ status: 200, body: events(1, 2), complete: true });
        vitest.expect(fixture.requestHeads.length).toBe(1);
      });
    },
  );

  vitest.test('continue after the record of their replica is removed (guards against cancelled work)', async () => {
    const slow: ReplicaScript = (socket) => {
      socket.write(`${signedHead}Transfer-Encoding: chunked\r\n\r\n${chunk(events(1, 1))}`);
      setTimeout(() => socket.write(`${chunk(events(2, 2))}0\r\n\r\n`), 250);
    };
    await withReplicas(route, [slow], async (fixture) => {
      const response = fixture.call();
      await new Promise((resolve) => setTimeout(resolve, 100));
      fixture.removeRecords();
      vitest.expect(await response).toMatchObject({ status: 200, body: events(1, 2), complete: true });
      vitest.expect(fixture.requestHeads.length).toBe(1);
    });
  });

  vitest.test(
    'are not cut while events arrive within the inactivity timeout (guards against cutting healthy streams)',
    async () => {
      const slow: ReplicaScript = (socket) => {
        socket.write(`${signedHead}Transfer-Encoding: chunked\r\n\r\n`);
        let id = 0;
        const timer = setInterval(() => {
          id += 1;
          socket.write(id <= 8 ? chunk(events(id, id)) : '0\r\n\r\n');
          if (id > 8) {
            clearInterval(timer);
          }
        }, 250);
      };
      await withReplicas(route, [slow, slow], async (fixture) => {
        vitest.expect(await fixture.call()).toMatchObject({ body: events(1, 8), complete: true });
        vitest.expect(fixture.requestHeads.length).toBe(1);
      });
    },
  );
});
