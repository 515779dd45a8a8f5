import * as common from '@jayhaven/common';
import * as zod from 'zod';
import { HttpStandIn, sendNotFound, type Call } from '../http/HttpStandIn.js';
import { RandomSource } from '../RandomSource.js';
import type { ListenOptions, Outage } from '../Types.js';
import { TransferPool } from './TransferPool.js';

/** Maximum number of concurrent adapter transfers at full speed. */
const adaptersAtFullSpeed = 30;
const minimumAdapterMs = 5;
const maximumAdapterMs = 10;

/** Options of the weight store stand-in. */
export interface WeightStoreOptions extends ListenOptions {
  /** Maximum number of concurrent loads at full speed. */
  readonly concurrent?: number;
  /** Speed of one load. */
  readonly bytesPerSecond?: number;
  /** Maximum number of loads that start per second; further ones wait. */
  readonly loadsPerSecond?: number;
  readonly seed?: number;
}

const controlSchema = zod.strictObject({
  slowdown: zod.number().positive().optional(),
  outage: zod.union([zod.boolean(), zod.literal('hang')]).optional(),
});

/** Rate-limited weight store. Responds at the end of the simulated transfer, without weights. */
export class WeightStore extends HttpStandIn {
  private readonly _modelTransfers: TransferPool;
  private readonly _adapterTransfers = new TransferPool(adaptersAtFullSpeed);
  private readonly _random: RandomSource;
  private readonly _timers = new Set<NodeJS.Timeout>();
  private readonly _counters = { loads: 0, adapterLoads: 0, bytes: 0, cancelled: 0, mostInTransit: 0 };
  private _outage: Outage = false;
  private _slowdown = 1;
  private _nextStartMs = 0;

  private constructor(private readonly _options: WeightStoreOptions) {
    super();
    this._modelTransfers = new TransferPool(_options.concurrent ?? 4);
    this._random = new RandomSource(_options.seed ?? 1);
  }

  /** Starts the weight store. */
  public static async open(options: WeightStoreOptions = {}): Promise<WeightStore> {
    const store = new WeightStore(options);
    await store.listen(options);
    return store;
  }

  protected override stop(): void {
    for (const timer of this._timers) {
      clearTimeout(timer);
    }
    this._modelTransfers.stop();
    this._adapterTransfers.stop();
  }

  protected override handle(call: Call): void {
    const name = /^\/weights\/(.+)$/.exec(call.path)?.[1];
    if (call.path === '/control') {
      this._control(call);
    } else if (name === undefined || call.method !== 'GET') {
      sendNotFound(call);
    } else if (this._outage === true) {
      common.sendJson(call.response, 503, { error: { type: 'outage', message: 'the weight store is down' } });
    } else if (!this._outage) {
      this._transfer(call, decodeURIComponent(name));
    }
  }

  private _transfer(call: Call, name: string): void {
    const bytes = Number(call.query.get('bytes') ?? 0);
    const startedMs = performance.now();
    const finish = (): void => {
      this._counters.bytes += bytes;
      common.sendJson(call.response, 200, { name, bytes, durationMs: performance.now() - startedMs });
    };
    if (call.query.get('kind') === 'adapter') {
      this._counters.adapterLoads += 1;
      const durationMs = minimumAdapterMs + this._random.next() * (maximumAdapterMs - minimumAdapterMs);
      this._run(call, this._adapterTransfers, durationMs, finish);
      return;
    }
    const durationMs = (bytes / (this._options.bytesPerSecond ?? 20e9)) * 1000;
    this._startWithinRateLimit(startedMs, () => {
      this._counters.loads += 1;
      this._run(call, this._modelTransfers, durationMs, finish);
    });
  }

  private _run(call: Call, pool: TransferPool, durationMs: number, finish: () => void): void {
    if (call.request.socket.destroyed) {
      this._counters.cancelled += 1;
      return;
    }
    const cancel = pool.start(durationMs, performance.now(), finish);
    this._counters.mostInTransit = Math.max(this._counters.mostInTransit, this._modelTransfers.inTransit);
    call.response.on('close', () => {
      if (!call.response.writableFinished) {
        this._counters.cancelled += 1;
        cancel();
      }
    });
  }

  /** Starts a load when the limit of loads per second allows it. Up to one second's quota may start in a burst. */
  private _startWithinRateLimit(nowMs: number, start: () => void): void {
    const spacingMs = 1000 / (this._options.loadsPerSecond ?? 5);
    const burstMs = Math.max(0, 1000 - spacingMs);
    const scheduledMs = Math.max(nowMs, this._nextStartMs);
    const delayMs = scheduledMs - burstMs - nowMs;
    this._nextStartMs = scheduledMs + spacingMs;
    if (delayMs < 1) {
      start();
      return;
    }
    const timer = setTimeout(() => {
      this._timers.delete(timer);
      start();
    }, delayMs);
    this._timers.add(timer);
  }

  private _control(call: Call): void {
    if (call.method === 'POST') {
      const control = controlSchema.parse(call.body);
      this._outage = control.outage ?? this._outage;
      this._slowdown = control.slowdown ?? this._slowdown;
      this._modelTransfers.setSlowdown(this._slowdown, performance.now());
      this._adapterTransfers.setSlowdown(this._slowdown, performance.now());
    }
    common.sendJson(call.response, 200, {
      ...this._counters,
      inTransit: this._modelTransfers.inTransit,
      adaptersInTransit: this._adapterTransfers.inTransit,
      slowdown: this._slowdown,
      outage: this._outage,
    });
  }
}
