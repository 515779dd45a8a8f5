import type {
  AdapterRecord,
  EngineRecordList,
  ModelRecord,
  OrderRecord,
  RequestRecord,
  ViolationRecord,
} from './Types.js';

/** Records of an engine's orders, state changes, violations and requests, for checks from outside the process. */
export class EngineRecords {
  private readonly _orders: OrderRecord[] = [];
  private readonly _models: ModelRecord[] = [];
  private readonly _adapters: AdapterRecord[] = [];
  private readonly _violations: ViolationRecord[] = [];
  private readonly _requests: RequestRecord[] = [];
  private readonly _active = new Set<RequestRecord>();
  private readonly _ended: RequestRecord[] = [];

  public constructor(
    private readonly _accelerators: readonly number[],
    private readonly _fencing: 'checked' | 'ignored',
  ) {}

  public addOrder(order: OrderRecord): void {
    this._orders.push(order);
  }

  public addModel(record: ModelRecord): void {
    this._models.push(record);
  }

  public addAdapter(record: AdapterRecord): void {
    this._adapters.push(record);
  }

  public addRequest(request: RequestRecord): RequestRecord {
    this._requests.push(request);
    this._active.add(request);
    return request;
  }

  /** Records the outcome of a request. Only the first call for a request has an effect. */
  public endRequest(request: RequestRecord, outcome: RequestRecord['outcome'], nowMs: number): void {
    if (this._active.delete(request)) {
      request.outcome = outcome;
      request.endedMs = nowMs;
      this._ended.push(request);
    }
  }

  /** Records a violation and writes it to standard error. */
  public addViolation(violation: ViolationRecord): void {
    this._violations.push(violation);
    process.stderr.write(`engine: VIOLATION ${violation.rule}: ${violation.message}\n`);
  }

  /** Returns all records; requests are in the order of their arrival. */
  public list(): EngineRecordList {
    return {
      accelerators: this._accelerators,
      fencing: this._fencing,
      orders: this._orders,
      models: this._models,
      adapters: this._adapters,
      violations: this._violations,
      requests: this._requests,
      endedRequests: this._ended.length,
    };
  }

  /** Returns all records, but only the active requests and those that ended after the first `endedFrom`. */
  public listFrom(endedFrom: number): EngineRecordList {
    return { ...this.list(), requests: [...this._ended.slice(endedFrom), ...this._active] };
  }
}
