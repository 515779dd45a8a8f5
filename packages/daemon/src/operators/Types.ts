import type * as common from '@jayhaven/common';
import type { Timeline } from '../timeline/index.js';
import type {
  ControlPlane,
  Credential,
  FrontComponent,
  FrontStatus,
  LagStatus,
  OwnerComponent,
  OwnerStatus,
} from '../Types.js';

/** Components of the daemon that the operators' interface reads and controls. */
export interface OperatorDependencies {
  readonly controlPlane: ControlPlane;
  readonly owner: Pick<OwnerComponent, 'status'>;
  readonly front: Pick<FrontComponent, 'status'>;
  readonly timeline: Timeline;
  /** Starts the graceful stop of this daemon; called at most once per `POST /v1/drain`. */
  readonly drain: () => void;
}

/** The operators' interface. */
export interface OperatorsComponent extends AsyncDisposable {
  /** The bound port. */
  readonly port: number;
}

/** Response of a daemon to `status.read`. Wall-clock times in milliseconds since 1970. */
export interface DaemonStatus {
  readonly daemon: string;
  readonly incarnation: common.Incarnation;
  readonly vm: common.VmName;
  readonly failureDomain: common.FailureDomainName;
  readonly cell: string;
  readonly startedAtMs: number;
  readonly lag: LagStatus;
  /** When the last record was applied. */
  readonly appliedAtMs: number;
  readonly owner: OwnerStatus;
  readonly front: FrontStatus;
  /** Records that replay rejected since the start, by rule. */
  readonly rejectedRecords: Readonly<Record<string, number>>;
  /** Edits that this daemon refused before they were appended, by type. */
  readonly refusedEdits: Readonly<Record<string, number>>;
  /** When each requested configuration version came into force here; absent if it is not in force. */
  readonly versionTimes: Readonly<Record<string, number>>;
}

/** Response of a daemon to `timeline.read`. */
export interface TimelineResponse {
  readonly daemon: string;
  readonly events: readonly common.TimelineEvent[];
  /** Whether older matching events were omitted. */
  readonly truncated: boolean;
}

/** A member that gave no valid response. */
export interface UnresponsiveMember {
  readonly daemon: string;
  readonly incarnation: common.Incarnation;
  readonly reason: string;
}

/** Responses of all members to one call. */
export interface ClusterResponses<Result> {
  readonly responses: readonly Result[];
  readonly unresponsive: readonly UnresponsiveMember[];
}

/** An authenticated request. */
export interface OperatorRequest {
  readonly operator: Credential;
  readonly query: Readonly<Record<string, string>>;
  readonly body: unknown;
}

/** A response with a JSON body. */
export interface OperatorResponse {
  readonly status: number;
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** One operation of the interface. */
export interface Route {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly run: (request: OperatorRequest) => OperatorResponse | Promise<OperatorResponse>;
}
