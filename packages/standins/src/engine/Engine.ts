import * as timers from 'node:timers/promises';
import * as common from '@jayhaven/common';
import { FaultInjector } from '../FaultInjector.js';
import { HttpStandIn, sendNotFound, type Call } from '../http/HttpStandIn.js';
import { RandomSource } from '../RandomSource.js';
import { AcceleratorMemory } from './AcceleratorMemory.js';
import { BatchScheduler } from './BatchScheduler.js';
import { CheckpointCache } from './CheckpointCache.js';
import { CompletionService } from './CompletionService.js';
import { EngineRecords } from './EngineRecords.js';
import { LoadReports } from './LoadReports.js';
import { ModelRepository, type OrderResponse } from './ModelRepository.js';
import { adapterSchema, controlSchema, fencingSchema, parametersSchema, repositorySchema } from './orderSchema.js';
import { PrefixCache } from './PrefixCache.js';
import type { EngineOptions, EngineRecordList, OrderRecord } from './Types.js';

/** Model engine: completions with continuous batching, a model repository, adapters, load reports and cache events. */
export class Engine extends HttpStandIn {
  private readonly _memory: AcceleratorMemory;
  private readonly _records: EngineRecords;
  private readonly _repository: ModelRepository;
  private readonly _scheduler: BatchScheduler;
  private readonly _completions: CompletionService;
  private readonly _reports: LoadReports;
  private readonly _prefixes: PrefixCache;
  private readonly _checkpoints: CheckpointCache;
  private readonly _fencing: 'checked' | 'ignored';
  private readonly _faults;
  private _highestToken = 0;

  private constructor(private readonly _options: EngineOptions) {
    super();
    const random = new RandomSource(_options.seed ?? 1);
    const accelerators = _options.accelerators ?? [80e9];
    this._fencing = _options.fencing ?? 'checked';
    this._faults = {
      failLoads: new FaultInjector(random),
      crossAnswers: new FaultInjector(random),
      hangLoads: false,
      truncateStreams: null as number | null,
      truncateCleanly: false,
      delayOrdersMs: 0,
      silent: false,
    };
    const onChange = (): void => {
      this._reportLoad();
    };
    this._memory = new AcceleratorMemory(accelerators);
    this._records = new EngineRecords(accelerators, this._fencing);
    this._reports = new LoadReports(_options.loadLagMs ?? 0);
    this._checkpoints = new CheckpointCache(_options.memoryCacheBytes ?? 200e9, _options.diskCacheBytes ?? 2e12);
    this._prefixes = new PrefixCache(
      _options.prefixCacheEntries ?? 1000,
      _options.cacheEventLagMs ?? 0,
      _options.cacheEventLoss ?? 0,
      random,
    );
    this._scheduler = new BatchScheduler(
      _options.slots ?? 16,
      _options.queueLimit ?? 64,
      _options.tokenMs ?? 10,
      onChange,
    );
    this._repository = new ModelRepository({
      options: _options,
      memory: this._memory,
      checkpoints: this._checkpoints,
      records: this._records,
      faults: this._faults,
      onChange,
      endRequests: (entry) => {
        this._completions.endRequests(entry);
      },
    });
    this._completions = new CompletionService({
      scheduler: this._scheduler,
      repository: this._repository,
      prefixes: this._prefixes,
      records: this._records,
      faults: this._faults,
      firstTokenMs: _options.firstTokenMs ?? 20,
    });
    this._reportLoad();
  }

  /** Starts an engine with nothing loaded. */
  public static async open(options: EngineOptions = {}): Promise<Engine> {
    const engine = new Engine(options);
    await engine.listen(options);
    return engine;
  }

  /** The records, as `GET /control/records` returns them. */
  public get records(): EngineRecordList {
    return this._records.list();
  }

  protected override stop(): void {
    this._repository.stop();
    this._scheduler.stop();
  }

  protected override async handle(call: Call): Promise<void> {
    if (call.path === '/control') {
      this._control(call);
      return;
    }
    if (call.path === '/control/records') {
      const endedFrom = call.query.get('ended_from');
      const list = endedFrom === null ? this._records.list() : this._records.listFrom(Number(endedFrom));
      common.sendJson(call.response, 200, list);
      return;
    }
    if (this._faults.silent) {
      return;
    }
    switch (`${call.method} ${call.path}`) {
      case 'POST /v1/chat/completions':
        this._completions.handle(call, true);
        break;
      case 'POST /v1/completions':
        this._completions.handle(call, false);
        break;
      case 'POST /v2/repository/index':
        common.sendJson(call.response, 200, this._repository.index());
        break;
      case 'GET /v2/load':
        common.sendJson(call.response, 200, this._reports.current(Date.now()));
        break;
      case 'GET /v2/cache-events':
        common.sendJson(call.response, 200, this._prefixes.eventsFrom(Number(call.query.get('from') ?? 0), Date.now()));
        break;
      default:
        await this._order(call);
    }
  }

  private async _order(call: Call): Promise<void> {
    const match = /^\/v2\/repository\/models\/(.+)\/(load|unload)$/.exec(call.path);
    if (call.method !== 'POST') {
      sendNotFound(call);
    } else if (match) {
      await this._repositoryOrder(call, decodeURIComponent(match[1] ?? ''), match[2] === 'load');
    } else if (call.path === '/v1/load_lora_adapter' || call.path === '/v1/unload_lora_adapter') {
      await this._adapterOrder(call, call.path === '/v1/load_lora_adapter');
    } else if (call.path === '/v2/fencing') {
      await this._raiseToken(call);
    } else {
      sendNotFound(call);
    }
  }

  private async _repositoryOrder(call: Call, name: string, load: boolean): Promise<void> {
    const parsed = repositorySchema.safeParse(call.body ?? {});
    if (!parsed.success) {
      sendInvalid(call, parsed.error.message);
      return;
    }
    const parameters = parsed.data.parameters ?? parametersSchema.parse({});
    const version = parameters.version ?? (load ? '1' : undefined);
    const order = { action: load ? 'load' : 'unload', name, ...(version === undefined ? {} : { version }) } as const;
    await this._execute(call, order, parameters.fencing_token, () => {
      if (!load) {
        return this._repository.unload(name, version, parameters.drain ?? false);
      }
      const weights = this._memory.distribute(parameters.bytes ?? 0, parameters.accelerators);
      const reservation = this._memory.distribute(parameters.reservation ?? 0, parameters.accelerators);
      const bytes = weights.map((weightBytes, index) => weightBytes + (reservation[index] ?? 0));
      return this._repository.load(name, version ?? '1', bytes);
    });
  }

  private async _adapterOrder(call: Call, load: boolean): Promise<void> {
    const parsed = adapterSchema.safeParse(call.body);
    if (!parsed.success) {
      sendInvalid(call, parsed.error.message);
      return;
    }
    const { lora_name, model, base_model_name, bytes, accelerators, fencing_token } = parsed.data;
    const [prefix = '', suffix] = lora_name.split(':');
    const adapter = suffix ?? prefix;
    const name = model ?? base_model_name ?? (suffix === undefined ? '' : prefix);
    const action = load ? 'loadAdapter' : 'unloadAdapter';
    await this._execute(call, { action, name: `${name}:${adapter}` }, fencing_token, () =>
      load
        ? this._repository.loadAdapter(name, adapter, this._memory.distribute(bytes ?? 0, accelerators))
        : this._repository.unloadAdapter(name, adapter),
    );
  }

  private async _raiseToken(call: Call): Promise<void> {
    const parsed = fencingSchema.safeParse(call.body);
    if (!parsed.success) {
      sendInvalid(call, parsed.error.message);
      return;
    }
    await this._execute(call, { action: 'raiseToken', name: '' }, parsed.data.fencing_token, () =>
      this._fencing === 'checked'
        ? { status: 200, body: { fencing_token: this._highestToken } }
        : { status: 404, body: { error: { type: 'not_supported', message: 'this engine ignores fencing tokens' } } },
    );
  }

  /** Executes an order. Checks the fencing token at execution, which may be later than the arrival of the order. */
  private async _execute(
    call: Call,
    order: Pick<OrderRecord, 'action' | 'name' | 'version'>,
    token: number | undefined,
    run: () => OrderResponse | Promise<OrderResponse>,
  ): Promise<void> {
    if (this._faults.delayOrdersMs > 0) {
      await timers.setTimeout(this._faults.delayOrdersMs);
    }
    const timeMs = Date.now();
    const stale = this._fencing === 'checked' && (token ?? 0) < this._highestToken;
    this._highestToken = Math.max(this._highestToken, token ?? 0);
    const response = stale ? this._staleToken() : await run();
    this._records.addOrder({ timeMs, ...order, token: token ?? null, status: response.status });
    common.sendJson(call.response, response.status, response.body);
  }

  private _staleToken(): OrderResponse {
    const error = { type: 'stale_fencing_token', message: 'a higher fencing token is in force' };
    return { status: 412, body: { error, fencing_token: this._highestToken } };
  }

  private _control(call: Call): void {
    if (call.method === 'POST') {
      const { failLoads, crossAnswers, checkpoints, ...values } = controlSchema.parse(call.body);
      this._faults.failLoads.set(failLoads);
      this._faults.crossAnswers.set(crossAnswers);
      Object.assign(this._faults, withoutUndefined(values));
      for (const [checkpoint, tier] of Object.entries(checkpoints ?? {})) {
        this._checkpoints.place(checkpoint, tier);
      }
    }
    common.sendJson(call.response, 200, {
      ...this._faults,
      failLoads: this._faults.failLoads.rate,
      crossAnswers: this._faults.crossAnswers.rate,
      highestToken: this._highestToken,
      usedBytes: this._memory.usedBytes,
      running: this._scheduler.running,
      waiting: this._scheduler.waiting,
    });
  }

  private _reportLoad(): void {
    const { running, waiting } = this._scheduler;
    const slots = this._options.slots ?? 16;
    this._reports.add({ running, waiting, slots, free_bytes: this._memory.freeBytes }, Date.now());
  }
}

function sendInvalid(call: Call, message: string): void {
  common.sendJson(call.response, 400, { error: { type: 'invalid_request_error', message } });
}

function withoutUndefined(values: Readonly<Record<string, unknown>>): Record<string, unknown> {
  return Object.fromEntries(Object.entries(values).filter(([, value]) => value !== undefined));
}
