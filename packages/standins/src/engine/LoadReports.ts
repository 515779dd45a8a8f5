/** A load report as `GET /v2/load` returns it. */
export interface LoadReport {
  readonly sequence: number;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Free memory of each accelerator, bytes. */
  readonly free_bytes: readonly number[];
}

/** Keeps past load reports, because an engine reports its load with a lag. */
export class LoadReports {
  private readonly _reports: { readonly timeMs: number; readonly report: LoadReport }[] = [];
  private _sequence = 0;

  public constructor(private readonly _lagMs: number) {}

  public add(load: Omit<LoadReport, 'sequence'>, nowMs: number): void {
    this._sequence += 1;
    this._reports.push({ timeMs: nowMs, report: { sequence: this._sequence, ...load } });
    this._dropOld(nowMs);
  }

  /** Returns the newest report whose age is at least the lag. */
  public current(nowMs: number): LoadReport | undefined {
    this._dropOld(nowMs);
    return this._reports[0]?.report;
  }

  private _dropOld(nowMs: number): void {
    while ((this._reports[1]?.timeMs ?? Number.POSITIVE_INFINITY) <= nowMs - this._lagMs) {
      this._reports.shift();
    }
  }
}
