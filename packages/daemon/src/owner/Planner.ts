import * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type { UsageEntry, WakeRequest } from '../Types.js';
import { AdapterPlanner } from './AdapterPlanner.js';
import { LoadPlanner } from './LoadPlanner.js';
import { OwnershipTerm } from './OwnershipTerm.js';
import type { WakeResult } from './schemas.js';
import type { OwnerServices } from './OwnerServices.js';
import type { FailedLoad, FinishedLoad } from './Types.js';
import { answerWake } from './answerWake.js';

/** Interval of the autoscaling rules, which check every model, milliseconds; usage is reported no more often. */
const autoscalingIntervalMs = 1_000;
/** Interval at which blocked loads are retried, milliseconds. */
const retryIntervalMs = 50;

type PlannerMessage =
  | { readonly kind: 'wake'; readonly request: WakeRequest; readonly reply: (result: WakeResult) => void }
  | { readonly kind: 'usage'; readonly daemon: common.Incarnation; readonly entries: readonly UsageEntry[] }
  | { readonly kind: 'step' }
  | { readonly kind: 'retry' }
  | { readonly kind: 'upkeep' }
  | { readonly kind: 'loaded'; readonly load: FinishedLoad }
  | { readonly kind: 'failed'; readonly load: FailedLoad }
  | { readonly kind: 'stray'; readonly target: common.TargetAddress; readonly present: boolean };

/** Decides loads and unloads while this daemon owns the cell. */
export class Planner extends common.Task<PlannerMessage> {
  private readonly _loads: LoadPlanner;
  private readonly _adapters: AdapterPlanner;
  private readonly _unsubscribe: common.Unsubscribe;
  /** Load times describe targets, so they outlive a term of ownership. */
  private readonly _loadTimes = new decisions.LoadTimes();
  private _term: OwnershipTerm | undefined;
  private _stepPosted = false;
  private _stopped = false;

  public constructor(
    private readonly _services: OwnerServices,
    private readonly _leavingVms: () => ReadonlySet<common.VmName>,
  ) {
    super();
    const onDecided = (): void => {
      this._postStep();
    };
    this._loads = new LoadPlanner(_services, onDecided);
    this._adapters = new AdapterPlanner(_services, onDecided);
    this._unsubscribe = _services.control.log.onChange((change) => {
      if (change.verdict.kind === 'accepted') {
        this._postStep();
      }
    });
    this.postEvery(retryIntervalMs, () => ({ kind: 'retry' }));
    this.postEvery(autoscalingIntervalMs, () => ({ kind: 'upkeep' }));
  }

  /** State of the current term; undefined if this daemon does not own the cell. */
  public get term(): OwnershipTerm | undefined {
    return this._services.lease.currentClaim() === this._term?.claim ? this._term : undefined;
  }

  /** Whether a decision is being appended to the log. */
  public get hasPendingDecisions(): boolean {
    const { pendingLoads, pendingUnloads } = this._term ?? {};
    return (pendingLoads?.size ?? 0) + (pendingUnloads?.size ?? 0) > 0 || this._adapters.hasPendingDecisions;
  }

  /** Answers the wake request of a daemon that needs a model. */
  public wake(request: WakeRequest): Promise<WakeResult> {
    return new Promise((resolve) => {
      if (!this.post({ kind: 'wake', request, reply: resolve })) {
        resolve({ kind: 'notOwner' });
      }
    });
  }

  /** Stops deciding loads and unloads. */
  public stop(): void {
    this._stopped = true;
  }

  public override async [Symbol.asyncDispose](): Promise<void> {
    this._unsubscribe();
    await super[Symbol.asyncDispose]();
  }

  protected override handle(message: PlannerMessage): void {
    const nowMs = this._services.context.now();
    const term = this._currentTerm(nowMs);
    if (term === undefined) {
      this._stepPosted = false;
      if (message.kind === 'wake') {
        message.reply({ kind: 'notOwner' });
      }
      return;
    }
    switch (message.kind) {
      case 'wake':
        this._wake(term, message.request, message.reply, nowMs);
        break;
      case 'usage':
        term.usage.record(message.daemon, message.entries, nowMs);
        break;
      case 'loaded':
        term.recordLoaded(message.load);
        break;
      case 'failed':
        term.recordFailed(message.load, nowMs);
        break;
      case 'stray':
        term.recordStray(message.target, message.present);
        break;
      case 'upkeep':
        this._autoscale(term, nowMs);
        break;
      case 'step':
        this._stepPosted = false;
        this._step(term, nowMs);
        break;
      case 'retry':
        this._step(term, nowMs);
        break;
    }
  }

  private _wake(term: OwnershipTerm, request: WakeRequest, reply: (result: WakeResult) => void, nowMs: number): void {
    // Without the log nothing can be decided; the caller detects the outage itself and refuses its waiting requests.
    if (!this._services.control.log.lag.logAvailable) {
      reply({ kind: 'notOwner' });
      return;
    }
    reply(answerWake(this._services, term, this._adapters, request, nowMs));
    this._step(term, nowMs);
  }

  /** Starts a new term when this daemon has a new claim. */
  private _currentTerm(nowMs: number): OwnershipTerm | undefined {
    const claim = this._services.lease.currentClaim();
    if (claim === undefined || this._stopped) {
      return undefined;
    }
    if (this._term?.claim !== claim) {
      this._term = new OwnershipTerm(this._services, claim, nowMs, this._loadTimes);
      this._adapters.clear();
    }
    return this._term;
  }

  private _step(term: OwnershipTerm, nowMs: number): void {
    if (!this._services.control.log.lag.logAvailable) {
      return;
    }
    term.leavingVms = this._leavingVms();
    term.observe(this._services.control.log.state, nowMs);
    this._loads.decideLoads(term, nowMs);
    this._adapters.decide(term, nowMs);
  }

  private _autoscale(term: OwnershipTerm, nowMs: number): void {
    if (!this._services.control.log.lag.logAvailable) {
      return;
    }
    term.leavingVms = this._leavingVms();
    const view = term.view(nowMs);
    for (const load of decisions.chooseLoads(view)) {
      const { settings, urgency, replicas, reason } = load;
      term.queue.add({ settings, urgency, replicas, remainingMs: Infinity, waiting: 0, cause: reason }, nowMs);
    }
    for (const choice of decisions.chooseUnloads(view)) {
      this._loads.decideUnload(term, choice.replica, choice.reason);
    }
    for (const choice of decisions.chooseAdapterUnloads(view)) {
      this._adapters.decideUnload(term, choice.replica, choice.adapter);
    }
    this._step(term, nowMs);
  }

  private _postStep(): void {
    if (!this._stepPosted) {
      this._stepPosted = this.post({ kind: 'step' });
    }
  }
}
