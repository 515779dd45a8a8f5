import type { CallerRequest } from '../contracts/RequestCodec.js';
import type { StreamOrigins } from '../streams/Types.js';
import type { Replica, Route } from '../Types.js';

/** Whether a request may be dispatched: `late` and `unknown` are taken-up streams whose version is not known. */
export type ContinuationResult = 'ready' | 'unknown' | 'late';

/** Keeps the stream of one request at the software version that began it, over replicas and over attempts of its caller. */
export class StreamContinuation {
  private _version: string | undefined;
  private _endSearch: () => void = () => undefined;
  private _isSearching = false;

  public constructor(private readonly _origins: StreamOrigins) {}

  /** Software version at which the stream goes on; undefined while no event of it has been passed on. */
  public get requiredVersion(): string | undefined {
    return this._version;
  }

  /** True while it is being found out at which version the stream goes on. */
  public get isSearching(): boolean {
    return this._isSearching;
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
    this._isSearching = true;
    const timer = setTimeout(() => {
      this.stop();
      onResult('late');
    }, longestWaitMs);
    this._endSearch = () => {
      clearTimeout(timer);
    };
    const cancel = this._origins.findOrigin({ service, ...(attemptId !== undefined && { attemptId }) }, (answer) => {
      clearTimeout(timer);
      this._isSearching = false;
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

  /**
   * Records which replica begins the stream, before its first event is passed on. Calls `onStored` once the event may be
   * passed on; at once if the stream has begun before or cannot be taken up. Calls `onFailed` if it must not be passed on.
   */
  public recordFirstEvent(
    attemptId: string,
    route: Route,
    service: string,
    replica: Replica,
    onStored: () => void,
    onFailed: () => void,
  ): void {
    if (this._version !== undefined || !mayBeTakenUp(route)) {
      onStored();
      return;
    }
    this._version = replica.softwareVersion;
    this._origins.begin({ attemptId, service, version: replica.softwareVersion }, onStored, onFailed);
  }

  /** Ends the search. */
  public stop(): void {
    this._isSearching = false;
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
