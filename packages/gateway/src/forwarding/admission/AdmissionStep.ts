import type { Instant } from '../../Types.js';
import type { RequestStage } from '../OpenRequests.js';
import type { StepDecision, StepRequest } from './Types.js';

/**
 * A decision that a request passes between its route and its replica, such as the check of a key or of a quota. A step
 * has its own state, and is part of the chain only if the configuration or the settings ask for it.
 */
export abstract class AdmissionStep {
  /** What a request waits for at this step. */
  public abstract readonly stage: RequestStage;

  /** Decides on a request. It is called again after each `recheck` of a request that waits. */
  public abstract decide(request: StepRequest, now: Instant): StepDecision;

  /** Forgets a request that waits for this step, as its caller has left or its time is up. */
  public abstract withdraw(request: StepRequest): void;
}
