import type { CallerRequest } from '../contracts/RequestCodec.js';
import type { StreamOrigins } from '../streams/Types.js';
import type { Replica, Route } from '../Types.js';

/** Whether a request may be dispatched: `late` and `unknown` are taken-up streams whose version is not known. */
export type ContinuationResult = 'ready' | 'unknown' | 'late';

/** Keeps the stream of one request at the software version that began it, over replicas and over attempts of its caller. */
export class StreamContinuation {
  private _version: string | undefined;
  private _endSearch: () => void = () => undefined;

  public constructor(private readonly _origins: StreamOrigins) {}

  /** Software version at which the stream goes on; undefined while no event of it has been passed on. */
  public get requiredVersion(): string | undefined {
    return this._version;
  }

  /**
   * Finds out at which version the request goes on, if it takes a broken stream up; waits at most `longestWaitMs` for it.
   * Calls `onResult` once, at once for any other request.
   */
  public begin(
    request: CallerRequest,
    route: Route,
    service: string,
    longestWaitMs: number,
    onResult: (result: ContinuationResult) => void,
  ): void {
    if (request.lastEventId === undefined || !mayBeTakenUp(route)) {
      onResult('ready');
      return;
    }
    const attemptId = request.resumedAttemptId;
    const timer = setTimeout(() => {
      this.stop();
      onResult('late');
    }, longestWaitMs);
    this._endSearch = () => {
      clearTimeout(timer);
    };
    const cancel = this._origins.findOrigin({ service, ...(attemptId !== undefined && { attemptId }) }, (answer) => {
      clearTimeout(timer);
      if (answer.kind === 'known') {
        this._version = answer.version;
        this._record(attemptId, service, answer.version);
      }
      onResult(answer.kind === 'known' ? 'ready' : 'unknown');
    });
    this._endSearch = () => {
      clearTimeout(timer);
      cancel();
    };
  }

  /** Records that events of a replica are passed on to the caller. */
  public recordEvents(attemptId: string, route: Route, service: string, replica: Replica): void {
    if (this._version === undefined && mayBeTakenUp(route)) {
      this._version = replica.softwareVersion;
      this._record(attemptId, service, replica.softwareVersion);
    }
  }

  /** Ends the search. */
  public stop(): void {
    this._endSearch();
  }

  private _record(attemptId: string | undefined, service: string, version: string): void {
    if (attemptId !== undefined) {
      this._origins.record({ attemptId, service, version });
    }
  }
}

function mayBeTakenUp(route: Route): boolean {
  return route.kind === 'stream' && route.resumable;
}
