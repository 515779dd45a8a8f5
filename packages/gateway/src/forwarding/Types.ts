import type * as common from '@jayhaven/common';
import type * as http from 'node:http';
import type { Clock } from '../Clock.js';
import type { RouteTable } from '../configuration/RouteTable.js';
import type { CrashGuard } from '../crashes/CrashGuard.js';
import type { CrashMetrics } from '../crashes/CrashMetrics.js';
import type { CrashObserver } from '../crashes/CrashObserver.js';
import type { RequestCodec } from '../contracts/RequestCodec.js';
import type { CallerMemory } from '../memory/CallerMemory.js';
import type { ReplicaRateLimits } from '../rateLimits/ReplicaRateLimits.js';
import type { ReplicaDirectory } from '../replicas/ReplicaDirectory.js';
import type { RetryBudgets } from '../retries/RetryBudgets.js';
import type { ChoiceMetrics } from '../routing/ChoiceMetrics.js';
import type { ReplicaLoads } from '../routing/ReplicaLoads.js';
import type { SpeedReports } from '../speeds/SpeedReports.js';
import type { StreamOrigins } from '../streams/Types.js';
import type { TenantKeys } from '../tenants/TenantKeys.js';
import type { Address, Instant, ModelReference, Replica, Route } from '../Types.js';
import type { WaitingMetrics } from '../waiting/WaitingMetrics.js';
import type { WaitingRequests } from '../waiting/WaitingRequests.js';
import type { AdmissionStep } from './admission/AdmissionStep.js';
import type { OpenRequests } from './OpenRequests.js';
import type { RequestLog } from './RequestLog.js';
import type { StartWait } from './StartWait.js';

/** The services of the daemon that an exchange uses. */
export interface ExchangeContext {
  readonly codec: RequestCodec;
  readonly clock: Clock;
  readonly log: common.Logger;
  readonly requestLog: RequestLog;
  readonly failureDomain: string;
  readonly directory: ReplicaDirectory;
  readonly loads: ReplicaLoads;
  /** Collects the event gaps of streams, from which the leader estimates the speeds of replicas. */
  readonly speedReports: Pick<SpeedReports, 'record'>;
  readonly choiceMetrics: ChoiceMetrics;
  readonly waitingRequests: WaitingRequests;
  readonly waitingMetrics: WaitingMetrics;
  readonly retryBudgets: RetryBudgets;
  readonly rateLimits: ReplicaRateLimits;
  readonly crashGuard: CrashGuard;
  readonly crashObserver: CrashObserver;
  readonly crashMetrics: CrashMetrics;
  readonly streams: StreamOrigins;
  readonly agent: http.Agent;
  /** Ends once the configuration and the replicas have been read. */
  readonly startWait: StartWait;
  readonly openRequests: OpenRequests;
  /** Memory for bodies of requests. */
  readonly callerMemory: CallerMemory;
  /** Admission steps before the body of a request is read, and those before it is dispatched. */
  readonly admission: {
    readonly beforeBody: readonly AdmissionStep[];
    readonly beforeDispatch: readonly AdmissionStep[];
    /** Keys that requests of tenants are checked against at each new configuration. */
    readonly tenantKeys?: TenantKeys;
  };
  routes(): RouteTable | undefined;
  /** Expected time until a model is ready; undefined while no leader provides an estimate. */
  readyInMs(model: string): number | undefined;
  /** True if an idle connection to a replica is kept. */
  hasIdleConnection(address: Address): boolean;
  /** Random number from 0 to below 1 for the choice among replicas. */
  random(): number;
  /** True until this daemon knows the estimates of its first leader. */
  awaitsFirstLeader(): boolean;
  /** Time over which a model that becomes ready takes the requests that wait for it, milliseconds. */
  returnSpreadMs(model: string): number;
  /** True if the records of the replicas are up to date but for a short time, by both clocks. */
  knowsReplicas(now: Instant): boolean;
  /** Marks a replica as leaving after it announced that in a response. */
  markReplicaLeaving(replica: Replica): void;
  /** Counts a request in the demand that is reported to the leader. */
  recordArrival(modelReference: ModelReference, route: Route): void;
  /** Notifies the daemon that a request began to wait. */
  notifyWaitStarted(): void;
  /** True once the daemon is stopping; responses then close their connections. */
  isStopping(): boolean;
  /** Maximum duration of a request accepted now, milliseconds; finite only while the daemon is stopping. */
  longestRequestMs(nowMs: number): number;
}
