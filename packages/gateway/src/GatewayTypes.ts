import type { EngineClient, MetadataStore, RequestCodec } from './contracts/index.js';
import type { LeaseTimes } from './leadership/Lease.js';
import type { RetryBudgetLimits } from './retries/RetryBudget.js';
import type { Address } from './Types.js';

/** What a gateway daemon needs to know of its installation. */
export interface GatewaySettings {
  readonly name: string;
  readonly failureDomain: string;
  readonly callers: Address;
  readonly peers: Address;
  readonly seeds: readonly Address[];
  /** Processor time that this VM has a second, seconds. A VM with little leaves the lead to others. */
  readonly processorShare: number;
  readonly retryBudget: RetryBudgetLimits;
  readonly lease: LeaseTimes;
  /** Longest time that a stop may take, milliseconds. */
  readonly stopLimitMs: number;
}

/** The parts of a gateway that depend on the installation's platform. */
export interface GatewayPlatform {
  readonly store: MetadataStore;
  readonly engines: EngineClient;
  readonly codec: RequestCodec;
}
