import type * as common from '@jayhaven/common';
import type * as http from 'node:http';
import type { Clock } from '../Clock.js';
import type { RouteTable } from '../configuration/RouteTable.js';
import type { RequestCodec } from '../contracts/RequestCodec.js';
import type { ReplicaDirectory } from '../replicas/ReplicaDirectory.js';
import type { RetryBudgets } from '../retries/RetryBudgets.js';
import type { ReplicaLoads } from '../routing/ReplicaLoads.js';
import type { ModelReference, Replica, Route } from '../Types.js';
import type { WaitingRequests } from '../waiting/WaitingRequests.js';
import type { RequestLog } from './RequestLog.js';

/** What an exchange uses of its daemon. */
export interface ExchangeContext {
  readonly codec: RequestCodec;
  readonly clock: Clock;
  readonly log: common.Logger;
  readonly requestLog: RequestLog;
  readonly failureDomain: string;
  readonly directory: ReplicaDirectory;
  readonly loads: ReplicaLoads;
  readonly waitingRoom: WaitingRequests;
  readonly budgets: RetryBudgets;
  readonly agent: http.Agent;
  routes(): RouteTable | undefined;
  /** Expected time until a model is ready; undefined while no leader tells. */
  readyInMs(model: string): number | undefined;
  /** Random part of a replica's cost when it is chosen, slots. */
  randomSlots(): number;
  /** Says that a replica leaves, as it said in an answer. */
  replicaLeaves(replica: Replica): void;
  /** Counts a request for the leader. */
  recordArrival(target: ModelReference, route: Route): void;
  /** Says that a request began to wait. */
  waitingChanged(): void;
  /** True once the daemon stops; answers then close their connections. */
  isStopping(): boolean;
  /** Longest time that a request may take which is accepted now, milliseconds; limited while the daemon stops. */
  longestRequestMs(nowMs: number): number;
}
