import type * as net from 'node:net';
import * as vitest from 'vitest';
import { ExchangeFixture, type ReplicaScript } from '../testing/ExchangeFixture.js';
import { events, notExecutedHead, responds, signedHead } from '../testing/replicaScripts.js';
import { withReplicas } from '../testing/withReplicas.js';

vitest.describe('exchange between a caller and a replica', () => {
  vitest.test(
    'does not complete an unframed response after a reset (guards against truncated responses that look complete)',
    async () => {
      const resets: ReplicaScript = (socket) => {
        socket.write(`${signedHead}Connection: close\r\n\r\nhalf`);
        socket.resetAndDestroy();
      };
      await withReplicas({ kind: 'nonIdempotent' }, [resets], async (fixture) => {
        for (let run = 0; run < 10; run += 1) {
          const response = await fixture.call();
          vitest.expect(response.status === 200 && response.complete, JSON.stringify(response)).toBe(false);
        }
      });
    },
  );

  vitest.test('completes an unframed response that ends with its connection', async () => {
    const closes: ReplicaScript = (socket) => socket.end(`${signedHead}Connection: close\r\n\r\nwhole`);
    await withReplicas({ kind: 'nonIdempotent' }, [closes], async (fixture) => {
      vitest.expect(await fixture.call()).toMatchObject({ status: 200, body: 'whole', complete: true });
    });
  });

  vitest.test('never relays the response to another request (guards against mixed-up responses)', async () => {
    const foreign: ReplicaScript = (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nx-attempt: other\r\nContent-Length: 5\r\n\r\nwrong');
    };
    await withReplicas({ kind: 'nonIdempotent' }, [foreign], async (fixture) => {
      vitest.expect(await fixture.call()).toMatchObject({ status: 502 });
    });
  });

  vitest.test(
    'does not relay a late duplicate response to the next caller (guards against mixed-up responses)',
    async () => {
      let requests = 0;
      const repeatsLate: ReplicaScript = (socket) => {
        requests += 1;
        // A duplicate of the first response arrives when the second request uses the connection.
        socket.write(`${signedHead}Content-Length: 5\r\n\r\n${requests === 1 ? 'first' : 'copy!'}`);
      };
      await withReplicas({ kind: 'stream' }, [repeatsLate], async (fixture) => {
        vitest.expect(await fixture.call()).toMatchObject({ status: 200, body: 'first' });
        const next = await fixture.call({ headers: { 'x-attempt': 'a2' } });
        vitest.expect(next).toMatchObject({ status: 502, complete: true });
        vitest.expect(next.body).not.toContain('copy');
      });
    },
  );

  vitest.test(
    'closes a connection with bytes after a response (guards against responses without a request)',
    async () => {
      const extra: ReplicaScript = (socket) => {
        socket.write(`${signedHead}Content-Length: 5\r\n\r\nwhole`);
        setTimeout(() => {
          if (!socket.destroyed) {
            socket.write(`${signedHead}Content-Length: 5\r\n\r\nextra`);
          }
        }, 20);
      };
      await withReplicas({ kind: 'stream' }, [extra], async (fixture) => {
        for (let run = 0; run < 3; run += 1) {
          vitest.expect(await fixture.call()).toMatchObject({ status: 200, body: 'whole' });
          await new Promise((resolve) => setTimeout(resolve, 50));
        }
      });
    },
  );

  vitest.test('sends a non-idempotent request once (guards against a payment that runs twice)', async () => {
    const hangsUp: ReplicaScript = (socket) => socket.destroy();
    await withReplicas({ kind: 'nonIdempotent' }, [hangsUp, hangsUp], async (fixture) => {
      vitest.expect(await fixture.call()).toMatchObject({ status: 502 });
      vitest.expect(fixture.requestHeads.length).toBe(1);
    });
  });

  vitest.test('sends a request to another replica after a refusal', async () => {
    const refuses: ReplicaScript = (socket) => {
      socket.write('HTTP/1.1 503 Full\r\nx-attempt: a1\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n');
    };
    await withReplicas({ kind: 'nonIdempotent' }, [refuses, responds], async (fixture) => {
      vitest.expect(await fixture.call()).toMatchObject({ status: 200, body: 'whole' });
    });
  });

  vitest.test(
    'does not charge the retry budget for an unreachable replica (guards against refusals after a crash)',
    async () => {
      for (const headers of [{}, { 'x-model': 'm' }]) {
        await using fixture = new ExchangeFixture({ kind: 'nonIdempotent' });
        fixture.retrySlack = 0;
        await fixture.addUnreachableReplica();
        await fixture.addReplica(responds);
        await fixture.open();
        for (let run = 0; run < 3; run += 1) {
          vitest.expect(await fixture.call({ headers })).toMatchObject({ status: 200, body: 'whole' });
        }
      }
    },
  );

  vitest.test(
    'queues a request while its model is on an unreachable replica (guards against immediate refusals)',
    async () => {
      await using fixture = new ExchangeFixture({ kind: 'stream', latencyTargetMs: 400 });
      await fixture.addUnreachableReplica();
      await fixture.open();
      const startedMs = performance.now();
      vitest.expect(await fixture.call({ headers: { 'x-model': 'm' } })).toMatchObject({ status: 503 });
      vitest.expect(performance.now() - startedMs).toBeGreaterThan(300);
    },
  );

  vitest.test(
    'retries an idempotent request if the replica does not respond (guards against late responses)',
    async () => {
      const unresponsive: ReplicaScript = () => undefined;
      await withReplicas({ latencyTargetMs: 100 }, [unresponsive, responds], async (fixture) => {
        vitest.expect(await fixture.call()).toMatchObject({ status: 200, body: 'whole' });
      });
    },
  );

  vitest.test(
    'resumes a stream after its last complete event (guards against missing or duplicate events)',
    async () => {
      const script: ReplicaScript = (socket, head) => {
        const isResumed = head.includes('last-event-id: 2');
        socket.write(`${signedHead}Transfer-Encoding: chunked\r\n\r\n`);
        sendChunk(socket, isResumed ? events(3, 4) : `${events(1, 2)}id: 3\nda`);
        if (isResumed) {
          socket.write('0\r\n\r\n');
        } else {
          setTimeout(() => socket.resetAndDestroy(), 20);
        }
      };
      const route = { kind: 'stream', resumable: true } as const;
      await withReplicas(route, [script, script], async (fixture) => {
        vitest.expect(await fixture.call()).toMatchObject({ status: 200, body: events(1, 4), complete: true });
      });
    },
  );

  vitest.test(
    'cuts a broken stream that is not resumable (guards against truncated streams that look complete)',
    async () => {
      const breaks: ReplicaScript = (socket) => {
        socket.write(`${signedHead}Transfer-Encoding: chunked\r\n\r\n`);
        sendChunk(socket, events(1, 2));
        setTimeout(() => socket.destroy(), 20);
      };
      await withReplicas({ kind: 'stream' }, [breaks, breaks], async (fixture) => {
        vitest.expect(await fixture.call()).toMatchObject({ status: 200, complete: false });
        vitest.expect(fixture.requestHeads.length).toBe(1);
      });
    },
  );

  vitest.test('cancels the attempt when the caller disconnects (guards against unused work)', async () => {
    let closed = false;
    const slow: ReplicaScript = (socket) => socket.once('close', () => (closed = true));
    await withReplicas({ kind: 'nonIdempotent' }, [slow], async (fixture) => {
      await fixture.call({}, 50);
      await vitest.vi.waitFor(() => {
        vitest.expect(closed).toBe(true);
      });
    });
  });

  vitest.test('refuses streams that may outlast a stop (guards against streams cut at the stop limit)', async () => {
    await withReplicas({ kind: 'stream' }, [responds], async (fixture) => {
      fixture.stopping = true;
      fixture.longestRequestMs = 4_000;
      const response = await fixture.call();
      vitest.expect(response).toMatchObject({ status: 503, headers: { 'retry-after': '0.05', connection: 'close' } });
      vitest.expect(fixture.requestHeads).toEqual([]);
    });
  });

  vitest.test(
    'refuses a waiting stream before a stop ends (guards against requests without any response)',
    async () => {
      await withReplicas({ kind: 'stream', latencyTargetMs: 3_000 }, [responds], async (fixture) => {
        const pending = fixture.call({ headers: { 'x-model': 'absent' } });
        await new Promise((resolve) => setTimeout(resolve, 150));
        fixture.longestRequestMs = 4_000;
        vitest.expect(await pending).toMatchObject({ status: 503, headers: { 'retry-after': '0.05' } });
      });
    },
  );

  vitest.test('sends no request once the process is exiting (guards against payments cut by the exit)', async () => {
    await withReplicas({ kind: 'nonIdempotent' }, [responds], async (fixture) => {
      fixture.longestRequestMs = 0;
      vitest.expect(await fixture.call()).toMatchObject({ status: 503 });
      vitest.expect(fixture.requestHeads).toEqual([]);
    });
  });

  vitest.test('responds at the timeout of the route (guards against callers that wait longer)', async () => {
    const unresponsive: ReplicaScript = () => undefined;
    await withReplicas({ kind: 'nonIdempotent', timeoutMs: 200 }, [unresponsive], async (fixture) => {
      const startedMs = performance.now();
      vitest.expect(await fixture.call()).toMatchObject({ status: 504 });
      vitest.expect(performance.now() - startedMs).toBeLessThan(700);
    });
  });

  vitest.test(
    'rejects requests with oversized headers or without a route (guards against unbounded memory use)',
    async () => {
      await withReplicas({}, [responds], async (fixture) => {
        const long = { 'x-long': 'x'.repeat(3_000) };
        vitest.expect(await fixture.call({ headers: long })).toMatchObject({ status: 431 });
        vitest.expect(await fixture.call({ path: '/none/' })).toMatchObject({ status: 404 });
      });
    },
  );
});

function sendChunk(socket: net.Socket, text: string): void {
  socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
}

vitest.describe('replicas that accept no more requests', () => {
  vitest.test(
    'get no request after announcing in a response that they leave (guards against requests to a leaving VM)',
    async () => {
      const leaves: ReplicaScript = (socket) => {
        socket.write(`${signedHead}x-leaving: 1\r\nContent-Length: 5\r\n\r\nwhole`);
      };
      await withReplicas({ kind: 'nonIdempotent' }, [leaves], async (fixture) => {
        vitest.expect(await fixture.call()).toMatchObject({ status: 200, body: 'whole' });
        vitest.expect(await fixture.call()).toMatchObject({ status: 503 });
        vitest.expect(fixture.requestHeads.length).toBe(1);
      });
    },
  );

  vitest.test(
    'get no request until their Retry-After time is over (guards against load on a full replica)',
    async () => {
      const turnsAway: ReplicaScript = (socket) => {
        socket.write(`${notExecutedHead}Retry-After: 4\r\nContent-Length: 0\r\n\r\n`);
      };
      await withReplicas({ kind: 'idempotent' }, [turnsAway], async (fixture) => {
        const first = await fixture.call();
        vitest.expect(first.status).toBe(503);
        vitest.expect(Number(first.headers['retry-after'])).toBeCloseTo(4, 1);
        await new Promise((resolve) => setTimeout(resolve, 600));
        for (let run = 0; run < 5; run += 1) {
          const { status, headers } = await fixture.call();
          vitest.expect(status).toBe(503);
          vitest.expect(Number(headers['retry-after'])).toBeLessThan(3.45);
        }
        vitest.expect(fixture.requestHeads.length).toBe(1);
        await new Promise((resolve) => setTimeout(resolve, 3_500));
        await fixture.call();
        vitest.expect(fixture.requestHeads.length).toBe(2);
      });
    },
  );

  vitest.test('are skipped in favour of other replicas', async () => {
    const turnsAway: ReplicaScript = (socket) => {
      socket.write(`${notExecutedHead}Retry-After: 5\r\nContent-Length: 0\r\n\r\n`);
    };
    await withReplicas({ kind: 'nonIdempotent' }, [turnsAway, responds], async (fixture) => {
      for (let run = 0; run < 4; run += 1) {
        vitest.expect(await fixture.call()).toMatchObject({ status: 200 });
      }
      vitest.expect(fixture.requestHeads.filter((head) => head.includes('x-replica: r0')).length).toBe(1);
    });
  });
});
