import * as http from 'node:http';
import * as net from 'node:net';
import * as metrics from 'prom-client';
import * as vitest from 'vitest';
import { silentLogger } from '../testing/SilentLogger.js';
import { CallerConnections, type RequestAdmission } from './CallerConnections.js';
import { CallerMemory } from './CallerMemory.js';
import { ClientLimitMetrics } from './ClientLimitMetrics.js';

const budgetBytes = 1024 * 1024;
const request = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';

/** A server that admits requests and answers none of them. */
class Fixture implements AsyncDisposable {
  public readonly admissions: RequestAdmission[] = [];
  private readonly _registry = new metrics.Registry();
  private readonly _metrics = new ClientLimitMetrics(this._registry, silentLogger, () => performance.now());
  private readonly _memory = new CallerMemory(budgetBytes, this._metrics, () => performance.now());
  private readonly _server: http.Server;
  private readonly _connections: CallerConnections;
  private readonly _sockets: net.Socket[] = [];

  public constructor(maximumConnections: number, maximumRequests: number) {
    const limits = { maximumConnections, maximumRequests };
    this._connections = new CallerConnections(
      limits,
      this._memory,
      this._metrics,
      () => performance.now(),
      (socket) => socket.destroy(),
    );
    this._server = http.createServer((incoming, response) => {
      this.admissions.push(this._connections.admitRequest(incoming, response));
    });
    this._server.on('connection', (socket) => {
      this._connections.open(socket);
    });
  }

  public async open(): Promise<void> {
    await new Promise<void>((resolve) => this._server.listen(0, '127.0.0.1', resolve));
  }

  public get size(): number {
    return this._connections.size;
  }

  public async connect(text = ''): Promise<net.Socket> {
    const socket = net.connect((this._server.address() as net.AddressInfo).port, '127.0.0.1');
    socket.on('error', () => undefined);
    this._sockets.push(socket);
    await new Promise((resolve) => socket.once('connect', resolve));
    socket.write(text);
    return socket;
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this._sockets) {
      socket.destroy();
    }
    this._connections[Symbol.dispose]();
    this._memory[Symbol.dispose]();
    await new Promise((resolve) => this._server.close(resolve));
  }
}

vitest.describe('CallerConnections', () => {
  vitest.test(
    'forget pipelined requests of a closed connection (guards against requests that count forever)',
    async () => {
      await using fixture = new Fixture(10, 6);
      await fixture.open();
      const socket = await fixture.connect(request.repeat(3));
      await vitest.vi.waitFor(() => {
        vitest.expect(fixture.admissions).toEqual(['accepted', 'accepted', 'accepted']);
      });
      socket.destroy();
      await vitest.vi.waitFor(() => {
        vitest.expect(fixture.size).toBe(0);
      });
      await fixture.connect(request.repeat(3));
      await vitest.vi.waitFor(() => {
        vitest.expect(fixture.admissions.slice(3)).toEqual(['accepted', 'accepted', 'accepted']);
      });
    },
  );

  vitest.test('refuse further requests of a connection first (guards against callers without a turn)', async () => {
    await using fixture = new Fixture(10, 4);
    await fixture.open();
    await fixture.connect(request.repeat(3));
    await vitest.vi.waitFor(() => {
      vitest.expect(fixture.admissions).toEqual(['accepted', 'accepted', 'refused']);
    });
    await fixture.connect(request);
    await vitest.vi.waitFor(() => {
      vitest.expect(fixture.admissions.at(-1)).toBe('accepted');
      vitest.expect(fixture.admissions).toHaveLength(4);
    });
  });

  vitest.test('close a connection with too many requests (guards against requests without bound)', async () => {
    await using fixture = new Fixture(10, 1_000);
    await fixture.open();
    const socket = await fixture.connect(request.repeat(40));
    await new Promise((resolve) => socket.once('close', resolve));
    vitest.expect(fixture.admissions.filter((admission) => admission === 'accepted')).toHaveLength(32);
  });

  vitest.test('close the oldest one without a request for a new one (guards against a full daemon)', async () => {
    await using fixture = new Fixture(2, 10);
    await fixture.open();
    const serving = await fixture.connect(request);
    await vitest.vi.waitFor(() => {
      vitest.expect(fixture.admissions).toEqual(['accepted']);
    });
    const unused = await fixture.connect();
    const closed = new Promise((resolve) => unused.once('close', resolve));
    await fixture.connect(request);
    await closed;
    await vitest.vi.waitFor(() => {
      vitest.expect(fixture.admissions).toEqual(['accepted', 'accepted']);
    });
    vitest.expect(serving.destroyed).toBe(false);
  });
});
