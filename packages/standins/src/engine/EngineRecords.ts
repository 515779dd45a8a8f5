import type {
  AdapterRecord,
  EngineRecordList,
  ModelRecord,
  OrderRecord,
  RequestRecord,
  ViolationRecord,
} from './Types.js';

/** Everything an outside observer needs to check an engine's history. */
export class EngineRecords {
  private readonly _orders: OrderRecord[] = [];
  private readonly _models: ModelRecord[] = [];
  private readonly _adapters: AdapterRecord[] = [];
  private readonly _violations: ViolationRecord[] = [];
  private readonly _requests: RequestRecord[] = [];

  public constructor(
    private readonly _accelerators: readonly number[],
    private readonly _fencing: 'checked' | 'ignored',
  ) {}

  public addOrder(order: OrderRecord): void {
    this._orders.push(order);
  }

  public addModel(change: ModelRecord): void {
    this._models.push(change);
  }

  public addAdapter(change: AdapterRecord): void {
    this._adapters.push(change);
  }

  public addRequest(request: RequestRecord): RequestRecord {
    this._requests.push(request);
    return request;
  }

  /** Records a broken rule, and writes it to standard error. */
  public addViolation(violation: ViolationRecord): void {
    this._violations.push(violation);
    process.stderr.write(`engine: VIOLATION ${violation.rule}: ${violation.message}\n`);
  }

  public list(): EngineRecordList {
    return {
      accelerators: this._accelerators,
      fencing: this._fencing,
      orders: this._orders,
      models: this._models,
      adapters: this._adapters,
      violations: this._violations,
      requests: this._requests,
    };
  }
}
