/** Result of an operation whose failure is an expected outcome. Broken invariants throw instead. */
export type Outcome<Value, Failure> =
  { readonly ok: true; readonly value: Value } | { readonly ok: false; readonly failure: Failure };

/** Name of a partner, for example `solano`. */
export type PartnerName = string;
/** Name of a VM as the VM list gives it. */
export type VmName = string;
/** Name of a failure domain. */
export type FailureDomainName = string;
/** Address of a target, `ip:port`. */
export type TargetAddress = string;
/** Identifier of one start of a daemon process: `<daemon name>#<random>`. A restart gives a new one. */
export type Incarnation = string;

/** Time stamp that orders events over all processes (hybrid logical clock). */
export interface HybridTime {
  /** Wall clock, milliseconds since 1970. Never used in decisions. */
  readonly wallMs: number;
  /** Counter that orders events of the same millisecond. */
  readonly counter: number;
}

/** Urgency class of a request. Batch work may wait. */
export type Urgency = 'interactive' | 'batch';

/** One event of the time line. */
export interface TimelineEvent {
  readonly time: HybridTime;
  readonly daemon: string;
  /** Part of the daemon, for example `owner` or `router`. */
  readonly part: string;
  /** Event name, for example `loadDecided`. */
  readonly event: string;
  readonly request?: string;
  readonly model?: string;
  readonly replica?: number;
  /** Offset in the control topic, where the event belongs to a record. */
  readonly offset?: number;
  /** Further fields: rules with their figures, reasons, durations in milliseconds. */
  readonly detail?: Readonly<Record<string, string | number | boolean>>;
}

/** Says whether a refused or failed request was run by a target. */
export type Executed = 'no' | 'yes' | 'unknown';

/** Body of every error that a caller or an operator receives. */
export interface ErrorBody {
  readonly error: {
    /** Stable machine-readable name, for example `model_cold_no_time`. */
    readonly type: string;
    readonly message: string;
    readonly executed: Executed;
    /** When to come back, milliseconds. Also sent as `Retry-After` in seconds. */
    readonly retryAfterMs?: number;
    readonly requestId?: string;
  };
}
