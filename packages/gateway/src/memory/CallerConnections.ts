import type * as http from 'node:http';
import type * as net from 'node:net';
import { CallerConnection, type ConnectionState } from './CallerConnection.js';
import type { CallerMemory } from './CallerMemory.js';
import type { ClientLimitMetrics } from './ClientLimitMetrics.js';

/** Interval at which the memory of the connections is measured, milliseconds. */
const measureMs = 250;
/**
 * Requests of one connection that may be in progress. Node.js parses a read of 64 KiB at once, which may hold a thousand
 * requests. Callers seldom send more than a few without reading the responses.
 */
const maximumRequestsPerConnection = 32;
/** Share of the requests in progress above which only the first request of a connection is accepted. */
const pipelinedShare = 0.5;

/** Share of the connections or requests above which stalled ones are looked for. */
const crowdedShare = 0.75;
/** Time without progress after which a connection in use may be closed for another one, milliseconds. */
const stalledAfterMs = 1_000;

/** Limits of the connections of callers. */
export interface CallerConnectionLimits {
  readonly maximumConnections: number;
  readonly maximumRequests: number;
}

/** Whether a request is served, refused with 503, or ignored as its connection has been closed. */
export type RequestAdmission = 'accepted' | 'refused' | 'ignored';

/** The connections of callers. Closes some when there are too many, or when they hold too much memory. */
export class CallerConnections implements Disposable {
  private readonly _connections = new Map<net.Socket, CallerConnection>();
  /** Connections without a request in progress; those that made progress longest ago come first. */
  private readonly _unused: Readonly<Record<Exclude<ConnectionState, 'serving'>, Set<CallerConnection>>> = {
    new: new Set(),
    idle: new Set(),
  };
  /** Connections whose body or response makes no progress, as of the last measurement; the longest time comes last. */
  private _stalled: CallerConnection[] = [];
  private _requestCount = 0;
  private _maximumHeaderBytes = Number.POSITIVE_INFINITY;
  private readonly _timer: NodeJS.Timeout;

  public constructor(
    private readonly _limits: CallerConnectionLimits,
    private readonly _memory: CallerMemory,
    private readonly _metrics: ClientLimitMetrics,
    private readonly _nowMs: () => number,
    private readonly _refuseHead: (socket: net.Socket) => void,
  ) {
    this._timer = setInterval(() => {
      this.measure(this._nowMs());
    }, measureMs);
    this._timer.unref();
  }

  /** Number of open connections. */
  public get size(): number {
    return this._connections.size;
  }

  public setMaximumHeaderBytes(bytes: number): void {
    this._maximumHeaderBytes = bytes;
  }

  /** Adds a connection. If there are too many, the one that is needed least is closed. */
  public open(socket: net.Socket): void {
    if (this._connections.size >= this._limits.maximumConnections && !this._closeLeastNeeded()) {
      this._metrics.count('connections');
      socket.destroy();
      return;
    }
    const connection = new CallerConnection(socket, this._nowMs(), (released) => {
      this._metrics.count('connectionStalled');
      this._close(released);
    });
    this._connections.set(socket, connection);
    this._unused.new.add(connection);
    this._memory.budget.add(connection);
    socket.once('close', () => {
      this._remove(connection);
      // Node.js closes only the response whose turn it is; without an event the others would count as in progress forever.
      setImmediate(() => {
        connection.closeResponses();
      });
    });
  }

  /** Records a request until its response is closed, and decides whether it is served. */
  public admitRequest(request: http.IncomingMessage, response: http.ServerResponse): RequestAdmission {
    const connection = this._connections.get(request.socket);
    if (connection === undefined) {
      return 'ignored';
    }
    if (connection.requestCount >= maximumRequestsPerConnection) {
      // Node.js would keep each further request of the connection until the responses before it have been sent.
      this._metrics.count('pipelinedRequests');
      this._close(connection);
      return 'ignored';
    }
    this._begin(connection, response);
    const { maximumRequests } = this._limits;
    const limit = connection.requestCount > 1 ? maximumRequests * pipelinedShare : maximumRequests;
    if (this._requestCount > limit) {
      this._metrics.count('requests');
      const stalled = connection.requestCount === 1 ? this._takeStalled() : undefined;
      if (stalled === undefined) {
        return 'refused';
      }
      this._close(stalled);
    }
    return 'accepted';
  }

  /** Measures what the connections hold, and closes those that hold too much. */
  public measure(nowMs: number): void {
    const { budget } = this._memory;
    for (const connection of this._connections.values()) {
      budget.change(connection, connection.measure(nowMs));
      if (connection.headBytes > this._maximumHeaderBytes) {
        this._metrics.count('headTooLarge');
        this._refuseHead(connection.socket);
      }
    }
    budget.enforce(nowMs);
    this._stalled = this._isCrowded ? this._findStalled(nowMs) : [];
    this._metrics.setMemory(budget.usedBytes);
  }

  public [Symbol.dispose](): void {
    clearInterval(this._timer);
  }

  private get _isCrowded(): boolean {
    const { maximumConnections, maximumRequests } = this._limits;
    return (
      this._connections.size >= maximumConnections * crowdedShare ||
      this._requestCount >= maximumRequests * crowdedShare
    );
  }

  private _findStalled(nowMs: number): CallerConnection[] {
    return [...this._connections.values()]
      .filter(
        (connection) =>
          connection.state === 'serving' && connection.isStoppable && connection.stalledMs(nowMs) >= stalledAfterMs,
      )
      .sort((a, b) => a.stalledMs(nowMs) - b.stalledMs(nowMs));
  }

  private _begin(connection: CallerConnection, response: http.ServerResponse): void {
    this._requestCount += 1;
    this._setState(connection, 'serving');
    connection.beginRequest(response, this._nowMs());
    response.once('close', () => {
      this._requestCount -= 1;
      connection.endRequest(response, this._nowMs());
      if (connection.requestCount === 0 && this._connections.has(connection.socket)) {
        this._setState(connection, 'idle');
      }
    });
  }

  private _setState(connection: CallerConnection, state: ConnectionState): void {
    if (connection.state !== 'serving') {
      this._unused[connection.state].delete(connection);
    }
    connection.state = state;
    if (state !== 'serving') {
      this._unused[state].add(connection);
    }
  }

  /** Closes the connection that is needed least; false if all of them are in service. */
  private _closeLeastNeeded(): boolean {
    const [newest] = this._unused.new;
    const [idle] = this._unused.idle;
    const closed = newest ?? this._takeStalled() ?? idle;
    if (closed === undefined) {
      return false;
    }
    this._metrics.count('connections');
    this._close(closed);
    return true;
  }

  private _takeStalled(): CallerConnection | undefined {
    for (;;) {
      const connection = this._stalled.pop();
      if (connection === undefined || (connection.isStoppable && this._connections.has(connection.socket))) {
        return connection;
      }
    }
  }

  private _close(connection: CallerConnection): void {
    this._remove(connection);
    connection.socket.destroy();
  }

  private _remove(connection: CallerConnection): void {
    this._connections.delete(connection.socket);
    this._memory.budget.remove(connection);
    if (connection.state !== 'serving') {
      this._unused[connection.state].delete(connection);
    }
  }
}
