/** A tenant's part of a request for quota. */
export interface TenantAsk {
  readonly tenant: string;
  /** Units of each request that waits for the answer, in order. */
  readonly units: readonly number[];
  /** Units that the daemon expects to use soon beyond those; absent without such an expectation. */
  readonly spare?: number;
}

/** A daemon's request for quota, sent to the leader when requests of tenants need it. */
export interface QuotaAsk {
  readonly daemon: string;
  /** Start of the daemon's process, so that the numbers of a former one are not compared with these. */
  readonly incarnation: number;
  /** Number of the message. The leader ignores one that it has received before. */
  readonly sequence: number;
  readonly tenants: readonly TenantAsk[];
  /**
   * Units that the daemon used without a leader since its last answer, by tenant. Only in the first message to a leader,
   * which replaces what the leader has assumed for the daemon.
   */
  readonly usedAlone?: Readonly<Record<string, number>>;
}

/** Decision on one request: it may run after a delay, or its units accrue only after a longer wait, milliseconds. */
export type QuotaDecision = { readonly delayMs: number } | { readonly waitMs: number };

/** A tenant's part of an answer. */
export interface TenantAnswer {
  readonly tenant: string;
  /** Decisions on the requests, in the order of the message that is answered. */
  readonly decisions: readonly QuotaDecision[];
  /** Credit for further requests, units. */
  readonly spare?: number;
}

/** The leader's answer to a request for quota. */
export interface QuotaAnswer {
  readonly sequence: number;
  readonly incarnation: number;
  /**
   * True soon after the leader's term began: its token buckets began empty, so a wait is no sign of a quota that is used
   * up, and requests that have the time should wait and ask again.
   */
  readonly isSettling?: boolean;
  readonly tenants: readonly TenantAnswer[];
}
