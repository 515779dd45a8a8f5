/** Address of a stand-in. Port 0 selects a free port. */
export interface ListenOptions {
  readonly host?: string;
  readonly port?: number;
}

/** `true`: every call is refused with 503. `hang`: calls are never answered. */
export type Outage = boolean | 'hang';

/** How often a fault is injected: always, never, with a probability below 1, or into the next n calls. */
export type FaultRate = boolean | number;
