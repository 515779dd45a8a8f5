import { RetryBudget, type RetryBudgetLimits } from './RetryBudget.js';

/** Daemons that are assumed while no leader tells how many there are. */
const assumedDaemonCount = 16;

/** The retry budgets of all services. */
export class RetryBudgets {
  private readonly _budgets = new Map<string, RetryBudget>();
  private _daemonCount = assumedDaemonCount;

  public constructor(private readonly _limits: RetryBudgetLimits) {}

  /** Takes over the number of daemons that share the budgets. */
  public setDaemonCount(count: number): void {
    this._daemonCount = Math.max(count, 1);
  }

  public recordRequest(service: string, nowMs: number): void {
    this._budget(service).recordRequest(nowMs);
  }

  public tryTakeRetry(service: string, nowMs: number): boolean {
    return this._budget(service).tryTakeRetry(nowMs, this._daemonCount);
  }

  private _budget(service: string): RetryBudget {
    const budget = this._budgets.get(service) ?? new RetryBudget(this._limits);
    this._budgets.set(service, budget);
    return budget;
  }
}
