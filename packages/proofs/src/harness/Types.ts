import type * as common from '@jayhaven/common';

/** Flags of a stand-in, without the leading dashes. */
export type Flags = Readonly<Record<string, string | number>>;

/** Keys of one settings section, in snake case. */
export type SettingsSection = Readonly<Record<string, string | number>>;

/** Name and failure domain of a daemon. */
export interface DaemonPlacement {
  /** `entry-1` and so on if not given. */
  readonly name?: string;
  readonly failureDomain?: string;
}

/** An engine on a VM of its own. */
export interface EnginePlacement {
  readonly failureDomain?: string;
  /** Memory of each accelerator, bytes. */
  readonly accelerators?: readonly number[];
  readonly fencing?: 'checked' | 'ignored';
  readonly flags?: Flags;
}

/** A plain service on a VM of its own. */
export interface ServicePlacement {
  /** Name in the callers' path. */
  readonly name: string;
  readonly failureDomain?: string;
  readonly flags?: Flags;
}

/** Which connections go through fault proxies. */
export interface ProxyOptions {
  /** One proxy for each daemon's connections to the log. */
  readonly log?: boolean;
  /** One proxy for each daemon's connections to the VM list. */
  readonly vmList?: boolean;
  /** One proxy for the calls to each daemon from other daemons. */
  readonly peers?: boolean;
  /** One proxy for the connections to each target. */
  readonly targets?: boolean;
}

/** Shape of a cluster under test. */
export interface ClusterOptions {
  readonly daemons: number | readonly DaemonPlacement[];
  readonly engines?: readonly EnginePlacement[];
  readonly services?: readonly ServicePlacement[];
  readonly partners?: readonly common.PartnerName[];
  readonly log?: Flags;
  readonly vmList?: Flags;
  readonly weightStore?: Flags;
  /** Flags of every engine; an engine's own flags take precedence. */
  readonly engine?: Flags;
  readonly proxies?: ProxyOptions;
  /** Settings of every daemon by section; they override the harness's values. */
  readonly settings?: Readonly<Record<string, SettingsSection>>;
  readonly seed?: number;
  /** Program of the daemons; the workspace's own build if not given. */
  readonly daemonScript?: string;
}

/** Value of the configuration key `partner/models/model`. */
export interface ModelConfiguration {
  readonly version?: string;
  readonly weightBytes: readonly number[];
  readonly cacheBytes?: number;
  readonly expectedLoadMilliseconds?: number;
}

/** Value of the configuration key `partner/services/service`. */
export interface ServiceConfiguration {
  /** `METHOD /prefix` of calls that may be repeated. */
  readonly idempotentRoutes?: readonly string[];
  readonly deadlineMilliseconds?: number;
}
