import type * as decisions from '@jayhaven/decisions';
import type { ControlPlane, DaemonContext } from '../Types.js';
import type { EngineClient } from './EngineClient.js';

/** Whether this daemon may send orders now. */
export interface LeaseView {
  /** Claim under which this daemon owns the cell; undefined without a claim or once the lease has expired. */
  currentClaim(): decisions.ClaimOffset | undefined;
}

/** Dependencies that the classes of the owner share. */
export interface OwnerServices {
  readonly context: DaemonContext;
  readonly control: ControlPlane;
  readonly engines: EngineClient;
  readonly lease: LeaseView;
}
