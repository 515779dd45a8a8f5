import type { WaitingRequest } from './WaitingRequests.js';

/** Differences in the time left below this do not matter, milliseconds: waiting requests are checked as often. */
const timeStepMs = 100;

/** What the order of waiting requests depends on. */
export type OrderedRequest = Pick<WaitingRequest, 'urgency' | 'lateAtMs' | 'leavesAtMs' | 'sizeBytes' | 'tenantName'>;

/**
 * The order in which waiting requests are dispatched: by urgency, then by the turns of their tenants, then by time left
 * and by size. Within one urgency each tenant with waiting requests gets the same number of turns (start-time fair
 * queueing), so that a tenant with many requests delays only itself. Without tenants all requests share the turns.
 */
export class TenantTurns {
  /** Turn of the last request that was served. A tenant that has had no requests does not accumulate turns. */
  private _currentTurn = 0;
  /** Next turn by tenant. */
  private readonly _nextTurns = new Map<string, number>();

  public order<Request extends OrderedRequest>(requests: readonly Request[], nowMs: number): readonly Request[] {
    const byTime = requests.map((request) => ({ request, dueStep: Math.floor(dueMs(request, nowMs) / timeStepMs) }));
    byTime.sort(
      (first, second) => first.dueStep - second.dueStep || first.request.sizeBytes - second.request.sizeBytes,
    );
    const ahead = new Map<string, number>();
    const withTurns = byTime.map(({ request }) => {
      const key = `${request.urgency} ${request.tenantName ?? ''}`;
      const position = ahead.get(key) ?? 0;
      ahead.set(key, position + 1);
      return { request, turn: this._nextTurn(request.tenantName) + position };
    });
    // The sort is stable: within a turn the requests stay in the order of time and size.
    withTurns.sort((first, second) => first.request.urgency - second.request.urgency || first.turn - second.turn);
    return withTurns.map(({ request }) => request);
  }

  /** Records that a waiting request of a tenant was dispatched. */
  public recordServed(tenantName: string | undefined): void {
    this._currentTurn = this._nextTurn(tenantName);
    this._nextTurns.set(tenantName ?? '', this._currentTurn + 1);
    for (const [name, turn] of this._nextTurns) {
      if (turn <= this._currentTurn) {
        this._nextTurns.delete(name);
      }
    }
  }

  private _nextTurn(tenantName: string | undefined): number {
    return Math.max(this._nextTurns.get(tenantName ?? '') ?? 0, this._currentTurn);
  }
}

/** The next time at which the caller loses something: its latency target, or once that is missed, the response. */
function dueMs({ lateAtMs, leavesAtMs }: OrderedRequest, nowMs: number): number {
  return lateAtMs > nowMs ? lateAtMs : leavesAtMs;
}
