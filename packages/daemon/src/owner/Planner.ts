import * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type { UsageEntry, WakeRequest } from '../Types.js';
import { AdapterPlanner } from './AdapterPlanner.js';
import { LoadPlanner } from './LoadPlanner.js';
import { Planning } from './Planning.js';
import type { WakeResult } from './schemas.js';
import type { OwnerServices } from './OwnerServices.js';
import type { FailedLoad, FinishedLoad } from './Types.js';
import { answerWake } from './WakeAnswers.js';

/** Interval of the rules that look at every model, milliseconds; use is reported no more often. */
const upkeepIntervalMs = 1_000;
/** Interval at which blocked loads are tried again, milliseconds. */
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
  /** Load times are facts about targets, so they outlive a term of ownership. */
  private readonly _loadTimes = new decisions.LoadTimes();
  private _planning: Planning | undefined;
  private _stepPosted = false;
  private _stopped = false;

  public constructor(
    private readonly _services: OwnerServices,
    private readonly _leavingVms: () => ReadonlySet<common.VmName>,
  ) {
    super();
    const decided = (): void => {
      this._postStep();
    };
    this._loads = new LoadPlanner(_services, decided);
    this._adapters = new AdapterPlanner(_services, decided);
    this._unsubscribe = _services.control.log.onChange((change) => {
      if (change.verdict.kind === 'accepted') {
        this._postStep();
      }
    });
    this.postEvery(retryIntervalMs, () => ({ kind: 'retry' }));
    this.postEvery(upkeepIntervalMs, () => ({ kind: 'upkeep' }));
  }

  /** Queue and pace of the current term. */
  public get planning(): Planning | undefined {
    return this._services.lease.currentClaim() === this._planning?.claim ? this._planning : undefined;
  }

  /** Whether a decision is on its way to the log. */
  public get isDeciding(): boolean {
    const { pendingLoads, pendingUnloads } = this._planning ?? {};
    return (pendingLoads?.size ?? 0) + (pendingUnloads?.size ?? 0) > 0 || this._adapters.isDeciding;
  }

  /** Answers a daemon that needs a model. */
  public wake(request: WakeRequest): Promise<WakeResult> {
    return new Promise((resolve) => {
      if (!this.post({ kind: 'wake', request, reply: resolve })) {
        resolve({ kind: 'notOwner' });
      }
    });
  }

  /** Decides nothing more. */
  public stop(): void {
    this._stopped = true;
  }

  public override async [Symbol.asyncDispose](): Promise<void> {
    this._unsubscribe();
    await super[Symbol.asyncDispose]();
  }

  protected override handle(message: PlannerMessage): void {
    const nowMs = this._services.context.now();
    const planning = this._currentPlanning(nowMs);
    if (planning === undefined) {
      this._stepPosted = false;
      if (message.kind === 'wake') {
        message.reply({ kind: 'notOwner' });
      }
      return;
    }
    switch (message.kind) {
      case 'wake':
        this._wake(planning, message.request, message.reply, nowMs);
        break;
      case 'usage':
        planning.usage.record(message.daemon, message.entries, nowMs);
        break;
      case 'loaded':
        planning.noteLoaded(message.load);
        break;
      case 'failed':
        planning.noteFailed(message.load, nowMs);
        break;
      case 'stray':
        planning.noteStray(message.target, message.present);
        break;
      case 'upkeep':
        this._upkeep(planning, nowMs);
        break;
      case 'step':
        this._stepPosted = false;
        this._step(planning, nowMs);
        break;
      case 'retry':
        this._step(planning, nowMs);
        break;
    }
  }

  private _wake(planning: Planning, request: WakeRequest, reply: (result: WakeResult) => void, nowMs: number): void {
    // Without the log nothing is decided; the caller looks at the log itself and refuses its waiters.
    if (!this._services.control.log.lag.logAvailable) {
      reply({ kind: 'notOwner' });
      return;
    }
    reply(answerWake(this._services, planning, this._adapters, request, nowMs));
    this._step(planning, nowMs);
  }

  /** Starts a new term when this daemon has a new claim. */
  private _currentPlanning(nowMs: number): Planning | undefined {
    const claim = this._services.lease.currentClaim();
    if (claim === undefined || this._stopped) {
      return undefined;
    }
    if (this._planning?.claim !== claim) {
      this._planning = new Planning(this._services, claim, nowMs, this._loadTimes);
      this._adapters.clear();
    }
    return this._planning;
  }

  private _step(planning: Planning, nowMs: number): void {
    if (!this._services.control.log.lag.logAvailable) {
      return;
    }
    planning.leavingVms = this._leavingVms();
    planning.observe(this._services.control.log.state, nowMs);
    this._loads.decideLoads(planning, nowMs);
    this._adapters.decide(planning, nowMs);
  }

  private _upkeep(planning: Planning, nowMs: number): void {
    if (!this._services.control.log.lag.logAvailable) {
      return;
    }
    planning.leavingVms = this._leavingVms();
    const view = planning.view(nowMs);
    for (const wish of decisions.chooseLoads(view)) {
      const { settings, urgency, replicas, reason } = wish;
      planning.queue.add({ settings, urgency, replicas, remainingMs: Infinity, waiting: 0, cause: reason }, nowMs);
    }
    for (const choice of decisions.chooseUnloads(view)) {
      this._loads.decideUnload(planning, choice.replica, choice.reason);
    }
    for (const choice of decisions.chooseAdapterUnloads(view)) {
      this._adapters.decideUnload(planning, choice.replica, choice.adapter);
    }
    this._step(planning, nowMs);
  }

  private _postStep(): void {
    if (!this._stepPosted) {
      this._stepPosted = this.post({ kind: 'step' });
    }
  }
}
