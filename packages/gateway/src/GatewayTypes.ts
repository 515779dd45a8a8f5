import type { EngineClient, MetadataStore, RequestCodec } from './contracts/index.js';
import type { LeaseTimes } from './leadership/Lease.js';
import type { RetryBudgetLimits } from './retries/RetryBudget.js';
import type { RevocationSettings } from './tenants/Types.js';
import type { Address } from './Types.js';

/** Settings of a gateway daemon. */
export interface GatewaySettings {
  readonly name: string;
  readonly failureDomain: string;
  readonly callers: Address;
  readonly peers: Address;
  readonly seeds: readonly Address[];
  /** Processor time available to this VM, seconds per second. Below 1, the VM delays its takeover of a free lease. */
  readonly processorShare: number;
  /** Memory of the VM, megabytes; undefined if unknown. */
  readonly memoryMegabytes?: number | undefined;
  /** Descriptors that the process may open; undefined if only the limit of the operating system applies. */
  readonly maximumDescriptors?: number | undefined;
  readonly retryBudget: RetryBudgetLimits;
  readonly lease: LeaseTimes;
  /** True if the whole system starts for the first time, so that the store has no records of it yet. */
  readonly isFirstStart: boolean;
  /** Time between two liveness reports of a replica, milliseconds. */
  readonly replicaLivenessMs: number;
  /** Longest time that a stop may take, milliseconds. */
  readonly stopLimitMs: number;
  readonly revocation: RevocationSettings;
}

/** The components of a gateway that depend on the installation's platform. */
export interface GatewayPlatform {
  readonly store: MetadataStore;
  readonly engines: EngineClient;
  readonly codec: RequestCodec;
}
