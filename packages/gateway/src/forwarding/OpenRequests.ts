/** Where a request is on its way: what it waits for before it is sent, or the part of its attempt that is in progress. */
export type RequestStage = 'tables' | 'key' | 'quota' | 'body' | 'origin' | 'dispatch' | 'replica' | 'response';

/** A request that has been received and whose response is not complete. */
export interface OpenRequest {
  stage(): RequestStage;
  /** Time until its deadline, milliseconds; infinite while it is not known. */
  timeLeftMs(nowMs: number): number;
  /** True once a replica may have run it. */
  mayHaveRun(): boolean;
  /** Ends the request because the daemon stops: refuses it, or aborts it if a replica may have run it. */
  endForStop(): void;
}

/** Time before the end of the process at which the requests at replicas get their final response, milliseconds. */
const finalResponseMs = 100;

/**
 * The requests of a daemon that have no complete response yet, whatever they wait for. A daemon that stops ends them here,
 * so that no wait for another process outlasts its own.
 */
export class OpenRequests {
  private readonly _requests = new Set<OpenRequest>();
  private _abortedCount = 0;

  /** Number of requests that the stop has ended although a replica may have run them. */
  public get abortedCount(): number {
    return this._abortedCount;
  }

  public add(request: OpenRequest): void {
    this._requests.add(request);
  }

  public remove(request: OpenRequest): void {
    this._requests.delete(request);
  }

  /**
   * Ends the requests that may take longer than the process goes on, milliseconds: those that no replica has got at once,
   * so that their callers have time to go elsewhere, and the others when the process is about to end. Returns the numbers
   * of ended requests by their stage.
   */
  public endOverlong(longestMs: number, nowMs: number): StageCounts {
    const isFinal = longestMs <= finalResponseMs;
    const ended = [...this._requests].filter((request) => {
      return request.timeLeftMs(nowMs) > longestMs && (isFinal || !request.mayHaveRun());
    });
    const counts = countByStage(ended);
    for (const request of ended) {
      this._abortedCount += request.mayHaveRun() ? 1 : 0;
      request.endForStop();
    }
    return counts;
  }
}

/** Numbers of requests by their stage. */
export type StageCounts = Readonly<Partial<Record<RequestStage, number>>>;

function countByStage(requests: readonly OpenRequest[]): StageCounts {
  const counts: Partial<Record<RequestStage, number>> = {};
  for (const request of requests) {
    const stage = request.stage();
    counts[stage] = (counts[stage] ?? 0) + 1;
  }
  return counts;
}
