import type * as common from '@jayhaven/common';
import type { KeepAlivePolicy } from '../policy/KeepAlivePolicy.js';
import type { ModelUsage } from '../policy/Types.js';
import type {
  AcceleratorBytes,
  ControlState,
  DecisionReason,
  ModelSettings,
  ModelVersion,
  ReplicaId,
} from '../Types.js';

/** Replayed state and observations of the owner that placement decisions are based on. */
export interface PlacementView {
  readonly state: ControlState;
  readonly policy: KeepAlivePolicy;
  usageOf(model: ModelVersion): ModelUsage;
  /** Expected load time in milliseconds; with a target, based on earlier loads on that target. */
  expectedLoadMs(settings: ModelSettings, target?: common.TargetAddress): number;
  /** Time at which a replica became ready, as far as the owner has observed it. */
  readySinceMs(replica: ReplicaId): number;
  /** Targets without new loads: a decision is pending, or they are unreachable or hold a model of unknown origin. */
  readonly blockedTargets: ReadonlySet<common.TargetAddress>;
  /** VMs that were reported as leaving, possibly before the record about it is replayed. */
  readonly leavingVms: ReadonlySet<common.VmName>;
  /** No replica is evicted before this time, because usage is not known yet. */
  readonly evictAfterMs: number;
  readonly nowMs: number;
}

/** Request to load one more replica of a model. */
export interface PlacementRequest {
  readonly settings: ModelSettings;
  readonly urgency: common.Urgency;
  /** Longest remaining time of the waiting requests, milliseconds; Infinity if no request waits. */
  readonly remainingMs: number;
  /** Desired total number of replicas. */
  readonly replicas: number;
}

/** Result of placing a replica. */
export type Placement =
  | { readonly kind: 'served'; readonly replica: ReplicaId; readonly state: 'loading' | 'ready' }
  | {
      readonly kind: 'load';
      readonly target: common.TargetAddress;
      readonly bytes: AcceleratorBytes;
      readonly ordinal: number;
      readonly expectedMs: number;
      readonly reason: DecisionReason;
    }
  | {
      readonly kind: 'evict';
      readonly target: common.TargetAddress;
      readonly victims: readonly ReplicaId[];
      readonly reason: DecisionReason;
    }
  /** Memory or a replica slot is expected to become free; placement is repeated after the next change of state. */
  | {
      readonly kind: 'wait';
      readonly expectedMs: number;
      /** Time after which the load is refused, milliseconds; set if it is uncertain that memory becomes free. */
      readonly waitLimitMs?: number;
      readonly reason: DecisionReason;
    }
  | {
      readonly kind: 'refuse';
      readonly type: 'model_no_room' | 'model_cold_no_time' | 'model_never_fits';
      readonly message: string;
      readonly retryAfterMs: number;
      readonly reason: DecisionReason;
    };

/** Engine that a replica may be loaded on. */
export interface CandidateTarget {
  readonly address: common.TargetAddress;
  readonly vm: common.VmName;
  readonly failureDomain: common.FailureDomainName;
  readonly acceleratorBytes: AcceleratorBytes;
}
