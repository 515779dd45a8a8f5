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

/** What placement knows beside the replayed state. */
export interface PlacementView {
  readonly state: ControlState;
  readonly policy: KeepAlivePolicy;
  usageOf(model: ModelVersion): ModelUsage;
  /** Expected load time on a target, from earlier loads there, milliseconds. */
  expectedLoadMs(settings: ModelSettings, target?: common.TargetAddress): number;
  /** When a replica became ready as far as the owner knows. */
  readySinceMs(replica: ReplicaId): number;
  /** Targets that get no new load now: decision pending, unreachable, or a model of unknown origin on them. */
  readonly blockedTargets: ReadonlySet<common.TargetAddress>;
  /** VMs called leaving before the record is replayed. */
  readonly leavingVms: ReadonlySet<common.VmName>;
  /** No replica is evicted before this time, because usage is not known yet. */
  readonly evictAfterMs: number;
  readonly nowMs: number;
}

/** A load that someone waits for. */
export interface PlacementRequest {
  readonly settings: ModelSettings;
  readonly urgency: common.Urgency;
  /** Longest time a waiter can still wait; Infinity for a load that nobody waits for. */
  readonly remainingMs: number;
  /** Replicas wanted in all. */
  readonly replicas: number;
}

/** Outcome of placement. */
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
  /** Room or a slot becomes free soon: ask again after the next change. */
  | {
      readonly kind: 'wait';
      readonly expectedMs: number;
      /** Nothing promises room: the load is refused after this time, milliseconds. */
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

/** An engine that may get a load. */
export interface CandidateTarget {
  readonly address: common.TargetAddress;
  readonly vm: common.VmName;
  readonly failureDomain: common.FailureDomainName;
  readonly acceleratorBytes: AcceleratorBytes;
}
