/** Types shared by the components of the gateway. They are independent of any platform's names and formats. */

/** IP address and port of a peer or target. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** A point in time on two clocks. Suspension of the VM stops the steady clock but not the wall clock. */
export interface Instant {
  /** Monotonic clock, milliseconds. */
  readonly steadyMs: number;
  /** Time of day, milliseconds since 1970. */
  readonly wallMs: number;
}

/**
 * How a request may be repeated. An idempotent request may run more than once, a non-idempotent one at most once. A
 * stream is non-idempotent unless its route is resumable.
 */
export type RequestKind = 'idempotent' | 'nonIdempotent' | 'stream';

/** A service that receives a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A route of the operators' configuration. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Path prefix that begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Longest time that a caller is kept waiting, milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer, or the first event of a stream, is on time, milliseconds. */
  readonly latencyTargetMs: number;
  /** Largest number of replicas that one request is sent to. */
  readonly maximumAttempts: number;
  /** Rank of the route; 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** True if a broken stream may be resumed at another replica after the last complete event. */
  readonly resumable: boolean;
  /** Longest pause between two events of a stream that is on time, milliseconds. */
  readonly eventGapMs: number;
  /** True if requests need no key although the configuration has tenants. */
  readonly isKeyless: boolean;
}

/** What a tenant may use over all daemons together. */
export interface TenantQuota {
  /** What the figures count: requests, or prompt tokens plus the largest number of output tokens. */
  readonly unit: 'requests' | 'tokens';
  /** Units per second. */
  readonly perSecond: number;
  /** Units beyond the rate that a tenant may use at once after it has used less. */
  readonly burst: number;
  /** Tokens that a request without token counts counts as. */
  readonly plainTokens: number;
}

/** A customer whose requests carry a key. */
export interface Tenant {
  readonly name: string;
  /** SHA-256 digests of its keys, hexadecimal. */
  readonly keyDigests: readonly string[];
  /** Rank of its requests, which goes before that of their routes; 0 is the most urgent. */
  readonly priority?: number;
  /** Absent without a limit. */
  readonly quota?: TenantQuota;
}

/** A model that the replicas of a service may hold. */
export interface ModelSpecification {
  readonly name: string;
  readonly weightMegabytes: number;
  readonly adapterMegabytes: number;
  /** Load times by the location of the weights, milliseconds. */
  readonly loadMs: Readonly<Record<WeightTier, number>>;
}

/** Source of the weights of a load, fastest first. */
export type WeightTier = 'memory' | 'disk' | 'store';

/** Limits of the model replicas of a service. */
export interface EngineSpecification {
  /** Accelerator memory for weights and adapters, megabytes. */
  readonly weightMegabytes: number;
  readonly adapterSlots: number;
  /** Loads from the weight store a second over all replicas. */
  readonly storeLoadsPerSecond: number;
  readonly models: ReadonlyMap<string, ModelSpecification>;
}

/** A service of the operators' configuration. `engine` is absent for plain services. */
export interface Service {
  readonly name: string;
  readonly engine?: EngineSpecification;
}

/** Limits on the requests of callers. */
export interface CallerLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operators' configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly callerLimits: CallerLimits;
  /** Tenants; empty if requests need no keys. */
  readonly tenants: readonly Tenant[];
  /** Whether requests need keys; by default they do if there are tenants. */
  readonly requiresKeys?: boolean;
}

/** A model in the accelerator memory of a replica, with its adapters. */
export interface LoadedModel {
  readonly name: string;
  readonly adapters: readonly string[];
}

/** A replica as its own record describes it. */
export interface Replica {
  readonly id: string;
  readonly service: string;
  readonly address: Address;
  readonly failureDomain: string;
  /** Version of the replica's software, not of its models. A stream goes on only at the version that began it. */
  readonly softwareVersion: string;
  /** Largest number of requests that the replica runs at once. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Start of the replica's process, milliseconds since 1970. A restart under the same id has another one. */
  readonly bornMs: number;
  /** Number of orders accepted since the start. */
  readonly orderSequence: number;
  readonly models: readonly LoadedModel[];
  /** Models whose weights are in the replica's host memory. */
  readonly inMemory: readonly string[];
  /** Models whose weights are on the replica's disk. */
  readonly onDisk: readonly string[];
}

/** A model with an optional adapter, as a request names it. */
export interface ModelReference {
  readonly model: string;
  readonly adapter?: string;
}
