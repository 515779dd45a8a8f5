import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as common from '@jayhaven/common';
import * as zod from 'zod';
import { LoadReports } from '../engine/LoadReports.js';
import { FaultInjector } from '../FaultInjector.js';
import { HttpStandIn, breakConnection, type Call } from '../http/HttpStandIn.js';
import { RandomSource } from '../RandomSource.js';
import type { ListenOptions } from '../Types.js';

/** Options of the plain service stand-in. */
export interface PlainServiceOptions extends ListenOptions {
  /** Service name in the responses. */
  readonly name?: string;
  /** Time from the execution of a call to its response, milliseconds. */
  readonly answerMs?: number;
  /** Number of concurrent calls that the load reports state as capacity. */
  readonly slots?: number;
  /** Delay before a load report is visible, milliseconds. */
  readonly loadLagMs?: number;
  readonly seed?: number;
}

/** A call that the service executed. */
export interface ServiceCallRecord {
  readonly timeMs: number;
  readonly method: string;
  readonly path: string;
  readonly key: string | null;
  readonly requestId: string | null;
  readonly body: string;
  /** HTTP status; 0 if the connection was closed before the response. */
  status: number;
}

const faultRate = zod.union([zod.boolean(), zod.number().min(0)]).optional();
const controlSchema = zod.strictObject({
  answerMs: zod.number().min(0).optional(),
  closeBeforeAnswer: faultRate,
  closeKeepAlive: faultRate,
  fail: faultRate,
  silent: zod.boolean().optional(),
});

/** HTTP service whose calls have effects that must not be repeated. Records every call that it executed. */
export class PlainService extends HttpStandIn {
  private readonly _calls: ServiceCallRecord[] = [];
  private readonly _counts = new Map<string, number>();
  private readonly _closeBeforeAnswer: FaultInjector;
  private readonly _closeKeepAlive: FaultInjector;
  private readonly _fail: FaultInjector;
  private _answerMs: number;
  private readonly _sockets = new Set<net.Socket>();
  private readonly _reports: LoadReports;
  private _running = 0;
  private _silent = false;

  private constructor(private readonly _options: PlainServiceOptions) {
    super();
    const random = new RandomSource(_options.seed ?? 1);
    this._closeBeforeAnswer = new FaultInjector(random);
    this._closeKeepAlive = new FaultInjector(random);
    this._fail = new FaultInjector(random);
    this._answerMs = _options.answerMs ?? 0;
    this._reports = new LoadReports(_options.loadLagMs ?? 0);
    this._reportLoad(0);
  }

  /** Starts the service. */
  public static async open(options: PlainServiceOptions = {}): Promise<PlainService> {
    const service = new PlainService(options);
    await service.listen(options);
    return service;
  }

  /** The executed calls. */
  public get calls(): readonly ServiceCallRecord[] {
    return this._calls;
  }

  /** Number of open connections. */
  public get openConnections(): number {
    return this._sockets.size;
  }

  protected override stop(): void {
    this._silent = true;
  }

  protected override async handle(call: Call): Promise<void> {
    if (call.path === '/control') {
      this._control(call);
    } else if (call.path === '/control/records') {
      const calls = this._calls.slice(Number(call.query.get('from') ?? 0));
      common.sendJson(call.response, 200, { calls, counts: Object.fromEntries(this._counts) });
    } else if (call.path === '/v2/load' && call.method === 'GET') {
      if (!this._silent) {
        common.sendJson(call.response, 200, this._reports.current(Date.now()));
      }
    } else {
      this._reportLoad(1);
      await this._run(call);
      this._reportLoad(-1);
    }
  }

  private _reportLoad(change: number): void {
    this._running += change;
    const load = { running: this._running, waiting: 0, slots: this._options.slots ?? 64, free_bytes: [] };
    this._reports.add(load, Date.now());
  }

  private async _run(call: Call): Promise<void> {
    const record = this._record(call);
    if (this._answerMs > 0) {
      await timers.setTimeout(this._answerMs);
    }
    if (this._silent) {
      return;
    }
    if (this._closeBeforeAnswer.shouldInject()) {
      breakConnection(call);
      return;
    }
    record.status = this._fail.shouldInject() ? 500 : 200;
    if (this._closeKeepAlive.shouldInject()) {
      // The response announces keep-alive, so the client may already send its next request when the connection closes.
      call.response.on('finish', () => {
        setTimeout(() => call.request.socket.destroy(), 1);
      });
    }
    const { method, path, key } = record;
    const body = { service: this._options.name ?? 'service', method, path, key, count: this._countOf(key) };
    common.sendJson(call.response, record.status, record.status === 200 ? body : { error: { type: 'failed' }, key });
  }

  private _record(call: Call): ServiceCallRecord {
    const { socket } = call.request;
    if (!this._sockets.has(socket)) {
      this._sockets.add(socket);
      socket.once('close', () => {
        this._sockets.delete(socket);
      });
    }
    const key = headerOf(call, 'idempotency-key');
    if (key !== null) {
      this._counts.set(key, this._countOf(key) + 1);
    }
    const record: ServiceCallRecord = {
      timeMs: Date.now(),
      method: call.method,
      path: call.path,
      key,
      requestId: headerOf(call, 'x-request-id'),
      body: call.text,
      status: 0,
    };
    this._calls.push(record);
    return record;
  }

  private _countOf(key: string | null): number {
    return key === null ? 0 : (this._counts.get(key) ?? 0);
  }

  private _control(call: Call): void {
    if (call.method === 'POST') {
      const control = controlSchema.parse(call.body);
      this._answerMs = control.answerMs ?? this._answerMs;
      this._silent = control.silent ?? this._silent;
      this._closeBeforeAnswer.set(control.closeBeforeAnswer);
      this._closeKeepAlive.set(control.closeKeepAlive);
      this._fail.set(control.fail);
    }
    common.sendJson(call.response, 200, { calls: this._calls.length, keys: this._counts.size });
  }
}

function headerOf(call: Call, name: string): string | null {
  const value = call.request.headers[name];
  return typeof value === 'string' ? value : null;
}
