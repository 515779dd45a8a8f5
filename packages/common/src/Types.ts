/** Result of an operation whose failure is an expected outcome. Broken invariants throw instead. */
export type Outcome<Value, Failure> =
  { readonly ok: true; readonly value: Value } | { readonly ok: false; readonly failure: Failure };

/** Name of a partner, for example `solano`. */
export type PartnerName = string;
/** Name of a VM, as in the VM list. */
export type VmName = string;
/** Name of a failure domain. */
export type FailureDomainName = string;
/** Address of a target, `ip:port`. */
export type TargetAddress = string;
/** Identifier of one run of a daemon process: `<daemon name>#<random>`. Each start creates a new one. */
export type Incarnation = string;

/** Timestamp that orders the events of all processes (hybrid logical clock). */
export interface HybridTime {
  /** Wall clock, milliseconds since 1970. Never used in decisions. */
  readonly wallMs: number;
  /** Counter that orders events of the same millisecond. */
  readonly counter: number;
}

/** Urgency class of a request. Batch requests may wait. */
export type Urgency = 'interactive' | 'batch';

/** An event of the timeline. */
export interface TimelineEvent {
  readonly time: HybridTime;
  readonly daemon: string;
  /** Component of the daemon, for example `owner` or `router`. */
  readonly part: string;
  /** Event name, for example `loadDecided`. */
  readonly event: string;
  readonly request?: string;
  readonly model?: string;
  readonly replica?: number;
  /** Offset of the record in the control topic, if the event belongs to a record. */
  readonly offset?: number;
  /** Additional fields: rules with their figures, reasons, durations in milliseconds. */
  readonly detail?: Readonly<Record<string, string | number | boolean>>;
}

/** Whether a target executed a request that was refused or failed. */
export type Executed = 'no' | 'yes' | 'unknown';

/** Body of every error that a caller or an operator receives. */
export interface ErrorBody {
  readonly error: {
    /** Stable machine-readable name, for example `model_cold_no_time`. */
    readonly type: string;
    readonly message: string;
    readonly executed: Executed;
    /** Time after which the caller may retry, milliseconds. Also sent as `Retry-After`, in seconds. */
    readonly retryAfterMs?: number;
    readonly requestId?: string;
  };
}
