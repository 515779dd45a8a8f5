import { RetryBudget, type RetryBudgetLimits } from './RetryBudget.js';

/** Number of daemons assumed before the leader sends it: the largest fleet that the design is meant for. */
const assumedDaemonCount = 430;

interface DaemonCount {
  readonly count: number;
  readonly receivedMs: number;
}

/** The retry budgets of all services. */
export class RetryBudgets {
  private readonly _budgets = new Map<string, RetryBudget>();
  /** Numbers of daemons received within the window, oldest first; each is smaller than the one before it. */
  private _counts: readonly DaemonCount[] = [];

  public constructor(private readonly _limits: RetryBudgetLimits) {}

  /**
   * Sets the number of daemons that share the budgets. A new leader counts only the daemons that have joined it, so the
   * largest number within the window applies.
   */
  public setDaemonCount(count: number, nowMs: number): void {
    const recent = this._counts.filter((one) => nowMs - one.receivedMs < this._limits.windowMs);
    this._counts = [...recent.filter((one) => one.count > count), { count, receivedMs: nowMs }];
  }

  /** Largest number of daemons within the window. */
  public get daemonCount(): number {
    return this._counts[0]?.count ?? assumedDaemonCount;
  }

  public recordRequest(service: string, nowMs: number): void {
    this._budget(service).recordRequest(nowMs);
  }

  public tryTakeRetry(service: string, nowMs: number): boolean {
    return this._budget(service).tryTakeRetry(nowMs, this.daemonCount);
  }

  private _budget(service: string): RetryBudget {
    const budget = this._budgets.get(service) ?? new RetryBudget(this._limits);
    this._budgets.set(service, budget);
    return budget;
  }
}
