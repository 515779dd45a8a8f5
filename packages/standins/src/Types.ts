/** Address of a stand-in; port 0 picks a free one. */
export interface ListenOptions {
  readonly host?: string;
  readonly port?: number;
}

/** `true`: every call is refused with 503. `hang`: calls are never answered. */
export type Outage = boolean | 'hang';

/** How often a fault strikes: always, with a probability below 1, or for the next n calls. */
export type FaultRate = boolean | number;
