import * as harness from '../../harness/index.js';

/** Pause of each caller between two requests, milliseconds. */
const pauseMs = 20;

/** Closed-loop load: each caller sends its next request after the answer to the previous one, until stopped. */
export class SteadyLoad {
  private readonly _callers: Promise<void>[] = [];
  private readonly _results: harness.CallResult[] = [];
  private _stopped = false;

  /** Starts callers; `send` gets the caller's number and the number of its request. */
  public start(callers: number, send: (caller: number, request: number) => Promise<harness.CallResult>): void {
    for (let caller = 0; caller < callers; caller += 1) {
      this._callers.push(this._run((request) => send(caller, request)));
    }
  }

  /** Results so far. */
  public get results(): readonly harness.CallResult[] {
    return this._results;
  }

  /** Waits for the last answers and returns every result. */
  public async stop(): Promise<readonly harness.CallResult[]> {
    this._stopped = true;
    await Promise.all(this._callers);
    return this._results;
  }

  private async _run(send: (request: number) => Promise<harness.CallResult>): Promise<void> {
    for (let request = 1; !this._stopped; request += 1) {
      this._results.push(await send(request));
      await harness.delay(pauseMs);
    }
  }
}
