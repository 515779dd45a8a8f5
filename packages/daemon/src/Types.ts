import type * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';

/** Why an append did not succeed. */
export type AppendFailure =
  | { readonly kind: 'rejected'; readonly rule: string; readonly message: string; readonly winner?: number }
  /** The record was not read back in time; it may still take effect. */
  | { readonly kind: 'unconfirmed'; readonly message: string }
  /** The record was not sent, because the log is down. */
  | { readonly kind: 'logUnavailable'; readonly message: string; readonly retryAfterMs: number };

/** A change of the replayed control state. */
export interface ControlChange {
  readonly record: decisions.ControlRecord;
  readonly verdict: decisions.Verdict;
  readonly state: decisions.ControlState;
}

/** How current the control state of the daemon is. */
export interface LagStatus {
  readonly appliedOffset: number;
  /** Highest offset that any peer or the log has reported. */
  readonly highestSeenOffset: number;
  readonly source: 'log' | 'peers' | 'none';
  readonly lagging: boolean;
  readonly logAvailable: boolean;
}

/** The replayed control topic. */
export interface ControlLog {
  readonly incarnation: common.Incarnation;
  readonly state: decisions.ControlState;
  readonly lag: LagStatus;
  readonly onChange: (listener: (change: ControlChange) => void) => common.Unsubscribe;
  /** Appends a record and resolves once it has been read back and replayed. */
  append(
    body: decisions.ControlRecordBody,
    timeoutMs: number,
  ): Promise<common.Outcome<{ readonly offset: number }, AppendFailure>>;
}

/** Client of the idempotency claims. */
export interface ClaimsClient {
  acquire(request: ClaimRequest): Promise<common.Outcome<decisions.ClaimAnswer, ClaimFailure>>;
  complete(key: string, attempt: string, status: number, answer: decisions.StoredAnswer | undefined): Promise<boolean>;
  /** Releases the key; only for an attempt that wrote no byte to a target. */
  release(key: string, attempt: string): Promise<boolean>;
  /** Marks the outcome of the attempt as permanently unknown. */
  abandon(key: string, attempt: string): Promise<boolean>;
}

export interface ClaimRequest {
  /** `<partner>/<service>/<caller's key>`. */
  readonly key: string;
  /** Hash of method, path and body. */
  readonly fingerprint: string;
  readonly attempt: string;
  readonly timeoutMs: number;
}

/** No claim was decided in time; the attempt must not be sent. */
export interface ClaimFailure {
  readonly message: string;
  readonly retryAfterMs: number;
}

/** Requests a loaded replica from the owner of the cell. */
export interface WakeRequest extends decisions.ModelVersion {
  readonly adapter?: string;
  readonly urgency: common.Urgency;
  /** Longest remaining time of the waiting requests, milliseconds. */
  readonly remainingMs: number;
  readonly waiting: number;
}

export type WakeAnswer =
  /** A replica is ready, loading, or queued for loading. */
  | { readonly kind: 'expected'; readonly readyInMs: number }
  /** The replica cannot be loaded in time; callers are refused at once. */
  | { readonly kind: 'refused'; readonly type: string; readonly message: string; readonly retryAfterMs: number };

export interface WakeFailure {
  readonly kind: 'noOwner' | 'logUnavailable';
  readonly message: string;
  readonly retryAfterMs: number;
}

/** Use of a model since the last report. */
export interface UsageEntry extends decisions.ModelVersion {
  readonly adapter?: string;
  readonly arrivals: number;
  readonly inFlight: number;
}

/** Client of the owner of the cell, which runs in this daemon or another. */
export interface OwnerClient {
  wake(request: WakeRequest): Promise<common.Outcome<WakeAnswer, WakeFailure>>;
  reportUsage(entries: readonly UsageEntry[]): void;
}

/** Load digests and reachability of targets that this daemon routes to. */
export interface LoadView {
  /** Subscribes to a target; the subscription lasts 10 s after the last call. */
  subscribe(target: common.TargetAddress): void;
  digest(target: common.TargetAddress): decisions.LoadDigest | undefined;
  /** Whether peers or the VM list report a VM as leaving, even before the record is replayed. */
  isLeaving(vm: common.VmName): boolean;
}

/** Members of the daemon group and calls to them. */
export interface Peers {
  readonly members: readonly PeerMember[];
  readonly onMembersChanged: (listener: () => void) => common.Unsubscribe;
  /** JSON-RPC call; `self` is served locally. */
  call(
    incarnation: common.Incarnation,
    method: string,
    parameters: unknown,
    timeoutMs: number,
  ): Promise<common.Outcome<unknown, PeerFailure>>;
  /** Registers the handler of a method. */
  handle(method: string, handler: (parameters: unknown, caller: common.Incarnation) => Promise<unknown>): void;
  /** Sets the leaving VMs that heartbeats report. */
  setLeavingHints(vms: readonly common.VmName[]): void;
  readonly onLeavingHints: (listener: (vms: readonly common.VmName[]) => void) => common.Unsubscribe;
  /** Bytes on the sockets between daemons since the start, HTTP headers included. */
  readonly traffic?: { readonly sentBytes: number; readonly receivedBytes: number };
}

export interface PeerMember {
  readonly incarnation: common.Incarnation;
  readonly daemon: string;
  readonly failureDomain: common.FailureDomainName;
  readonly suspected: boolean;
  readonly self: boolean;
}

export interface PeerFailure {
  /** `refused`: nothing listens on the peer's port, so its process is gone. */
  readonly kind: 'refused' | 'unreachable' | 'timeout' | 'error';
  readonly message: string;
}

/** Ring buffer of time-line events of this daemon. */
export interface TimelineRecorder {
  record(event: Omit<common.TimelineEvent, 'time' | 'daemon'>): void;
}

/** Shared context of every component of the daemon. */
export interface DaemonContext {
  readonly settings: DaemonSettings;
  readonly logger: common.Logger;
  readonly timeline: TimelineRecorder;
  readonly clock: common.HybridClock;
  /** Monotonic time for leases and deadlines, milliseconds. */
  readonly now: () => number;
  /** Wall clock, milliseconds since 1970. */
  readonly wallNow: () => number;
}

/** Validated settings of a daemon process. Times in milliseconds. */
export interface DaemonSettings {
  readonly daemon: {
    readonly name: string;
    readonly vm: string;
    readonly failureDomain: string;
    readonly cell: string;
    readonly logLevel: string;
  };
  readonly listen: {
    readonly callers: decisions.Address;
    readonly peers: decisions.Address;
    readonly operators: decisions.Address;
    /** Where other daemons reach the peer port, if not at `peers` (address translation). */
    readonly advertisedPeers?: decisions.Address;
  };
  readonly platform: {
    /** Base URL of the log service. */
    readonly logUrl: string;
    /** URL of the VM list. */
    readonly vmListUrl: string;
    readonly topicPrefix: string;
    readonly claimPartitions: number;
    readonly logRetentionMs: number;
    readonly logTimeoutMs: number;
  };
  readonly owner: {
    readonly leaseMs: number;
    readonly renewMs: number;
    readonly loadsPerSecond: number;
    readonly maximumConcurrentLoads: number;
    readonly maximumAdaptersInTransit: number;
    readonly orderDeliveryMs: number;
  };
  readonly limits: {
    readonly maximumBodyBytes: number;
    readonly maximumHeaderBytes: number;
    readonly maximumDeadlineMs: number;
    readonly maximumWaitingRequests: number;
    /** Retries per request on average, as a share of requests, 0 to 1. */
    readonly retryBudget: number;
    readonly idempotencyWindowMs: number;
  };
  readonly stop: {
    /** Time to keep accepting after readiness fails, so that the load balancer detects it. */
    readonly announceMs: number;
    readonly limitMs: number;
  };
  /** Peer addresses of other daemons from which this daemon catches up while the log is down. */
  readonly seedPeers: readonly decisions.Address[];
  readonly partners: readonly common.PartnerName[];
  readonly callers: readonly Credential[];
  readonly operators: readonly Credential[];
}

/** A caller or operator, identified by the SHA-256 of its bearer key. */
export interface Credential {
  readonly name: string;
  readonly partner: common.PartnerName;
  readonly keySha256: string;
}

/** The replayed log, the daemon group and the claims. */
export interface ControlPlane extends AsyncDisposable {
  readonly incarnation: common.Incarnation;
  readonly log: ControlLog;
  readonly peers: Peers;
  readonly claims: ClaimsClient;
  /**
   * Fires when another daemon has reported this incarnation gone: its orders count as settled and its records have no
   * effect.
   * The process must exit and start again as a new incarnation.
   */
  readonly onRemoved?: (listener: () => void) => common.Unsubscribe;
  /** Writes `daemonLeft` and stops heartbeats. */
  leave(): Promise<void>;
}

/** State of the owner as shown to operators. */
export interface OwnerStatus {
  readonly cell: string;
  readonly isOwner: boolean;
  readonly owner: common.Incarnation | null;
  readonly claim: number | null;
  readonly queuedLoads: readonly {
    readonly model: string;
    readonly urgency: common.Urgency;
    readonly waitedMs: number;
  }[];
  readonly loadsPerSecond: number;
}

/** Ownership of the cell, orders to engines, VM list and load reports. */
export interface OwnerComponent extends AsyncDisposable {
  readonly client: OwnerClient;
  readonly loads: LoadView;
  status(): OwnerStatus;
  /** Releases ownership and settles the orders of this daemon before a planned stop. */
  release(): Promise<void>;
}

/** State of the waiting requests as shown to operators. */
export interface FrontStatus {
  readonly inFlight: number;
  readonly draining: boolean;
  readonly waiting: readonly {
    readonly partner: common.PartnerName;
    readonly model: string;
    readonly count: number;
    readonly oldestMs: number;
  }[];
}

/** The callers' interface. */
export interface FrontComponent extends AsyncDisposable {
  /** Bound port of the callers' interface. */
  readonly port: number;
  /** Fails readiness, keeps accepting for the announced time, and resolves when no request is in flight. */
  drain(): Promise<{ readonly unfinished: number }>;
  status(): FrontStatus;
}
