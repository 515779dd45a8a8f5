import type * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { Address, Replica } from '../Types.js';
import { AttemptObservation } from './AttemptObservation.js';
import type { CrashGuard } from './CrashGuard.js';
import type { CrashReport, UnansweredRequest } from './Types.js';

/** Unanswered requests of one replica that are reported at most. */
const maximumRequests = 64;

interface LostRequest extends UnansweredRequest {
  readonly trialParts: readonly string[] | undefined;
}

interface LostReplica {
  readonly lostMs: number;
  readonly requests: LostRequest[];
}

/** What the observer needs of the daemon. */
export interface CrashObserverContext {
  /** True if nothing listens at an address any more. */
  hasEnded(address: Address): Promise<boolean>;
  /** True if the replica was about to leave, so that its end is planned. */
  isLeaving(replica: Replica): boolean;
  report(report: CrashReport): void;
}

/**
 * Observes attempts at replicas. Once a connection is lost before its request was answered, it finds out whether the
 * replica has ended, and reports that with the parts of all such requests.
 */
export class CrashObserver {
  private readonly _lost = new Map<string, LostReplica>();

  public constructor(
    private readonly _guard: CrashGuard,
    private readonly _context: CrashObserverContext,
    private readonly _clock: Clock,
    private readonly _log: common.Logger,
  ) {}

  /** Starts to observe an attempt with these parts; `trialParts` are those that it tries. */
  public observe(
    replica: Replica,
    parts: readonly string[],
    trialParts: readonly string[] | undefined,
  ): AttemptObservation {
    if (trialParts !== undefined) {
      this._guard.startTrial(trialParts);
    }
    return new AttemptObservation(parts, trialParts, this._guard, () => {
      this._recordLost(replica, { parts, isTrial: trialParts !== undefined, trialParts });
    });
  }

  private _recordLost(replica: Replica, request: LostRequest): void {
    const nowMs = this._clock.now().steadyMs;
    this._guard.suspect(request.parts, nowMs);
    const key = `${replica.id} ${replica.bornMs}`;
    const lost = this._lost.get(key);
    if (lost !== undefined) {
      lost.requests.push(request);
      return;
    }
    const started: LostReplica = { lostMs: nowMs, requests: [request] };
    this._lost.set(key, started);
    void this._context.hasEnded(replica.address).then((hasEnded) => {
      this._lost.delete(key);
      this._conclude(replica, started, hasEnded && !this._context.isLeaving(replica));
    });
  }

  private _conclude({ id, bornMs }: Replica, { lostMs, requests }: LostReplica, isCrash: boolean): void {
    if (isCrash) {
      const reported = requests.slice(0, maximumRequests).map(({ parts, isTrial }) => ({ parts, isTrial }));
      this._log.warn('Replica ended with unanswered requests.', { replica: id, bornMs, requests: reported });
      const ageMs = this._clock.now().steadyMs - lostMs;
      this._context.report({ replicaId: id, bornMs, ageMs, requests: reported });
    } else {
      this._guard.clearOwnSuspicions(requests.flatMap(({ parts }) => parts));
    }
    for (const { trialParts } of requests) {
      if (trialParts !== undefined) {
        this._guard.endTrial(trialParts);
      }
    }
  }
}
