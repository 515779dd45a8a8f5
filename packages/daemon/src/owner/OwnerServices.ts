import type * as decisions from '@jayhaven/decisions';
import type { ControlPlane, DaemonContext } from '../Types.js';
import type { EngineClient } from './EngineClient.js';

/** Whether this daemon may send orders now. */
export interface LeaseView {
  /** Claim under which this daemon owns the cell with a lease that has not passed; undefined otherwise. */
  currentClaim(): decisions.ClaimOffset | undefined;
}

/** What the parts of the owner share. */
export interface OwnerServices {
  readonly context: DaemonContext;
  readonly control: ControlPlane;
  readonly engines: EngineClient;
  readonly lease: LeaseView;
}
