import type { Tenant } from '../../Types.js';
import type { Clock } from '../../Clock.js';
import type { LocalResponse } from '../admitRequest.js';
import type { RequestStage } from '../OpenRequests.js';
import type { AdmissionStep } from './AdmissionStep.js';
import type { StepRequest } from './Types.js';

/** Receives the result of a run: one call, unless the run is stopped. */
export interface AdmissionListener {
  onPassed(): void;
  onRejected(response: LocalResponse): void;
}

/** Takes one request through a list of admission steps, in order. */
export class AdmissionRun {
  private _steps: readonly AdmissionStep[] = [];
  private _index = 0;
  private _listener: AdmissionListener | undefined;
  private _tenant: Tenant | undefined;
  private readonly _request: StepRequest;

  public constructor(
    request: Omit<StepRequest, 'tenant' | 'recheck'>,
    private readonly _clock: Clock,
  ) {
    const tenant = (): Tenant | undefined => this._tenant;
    this._request = {
      ...request,
      get tenant() {
        return tenant();
      },
      recheck: () => {
        this._proceed();
      },
    };
  }

  /** Tenant of the request, once a step has found it. */
  public get tenant(): Tenant | undefined {
    return this._tenant;
  }

  /** Stage of the step that decides on the request or that it waits for; undefined once it has passed all of them. */
  public get stage(): RequestStage | undefined {
    return this._listener === undefined ? undefined : this._steps[this._index]?.stage;
  }

  /** Sets the tenant again, as a new configuration states it. */
  public replaceTenant(tenant: Tenant): void {
    this._tenant = tenant;
  }

  /** Runs the steps. A run may be started again with further steps after it has passed. */
  public start(steps: readonly AdmissionStep[], listener: AdmissionListener): void {
    this._steps = steps;
    this._index = 0;
    this._listener = listener;
    this._proceed();
  }

  /** Ends the run without a result. */
  public stop(): void {
    if (this._listener !== undefined) {
      this._listener = undefined;
      this._steps[this._index]?.withdraw(this._request);
    }
  }

  private _proceed(): void {
    while (this._listener !== undefined) {
      const step = this._steps[this._index];
      if (step === undefined) {
        this._takeListener()?.onPassed();
        return;
      }
      const decision = step.decide(this._request, this._clock.now());
      if (decision.kind === 'wait') {
        return;
      }
      if (decision.kind === 'reject') {
        this._takeListener()?.onRejected(decision.response);
        return;
      }
      this._tenant = decision.tenant ?? this._tenant;
      this._index += 1;
    }
  }

  private _takeListener(): AdmissionListener | undefined {
    const listener = this._listener;
    this._listener = undefined;
    return listener;
  }
}
