/** Contexts for tests of the control plane: settings with short times, and no output. */
import * as common from '@jayhaven/common';
import type { ControlPlane, DaemonContext, DaemonSettings } from '../../Types.js';

const silent: common.Logger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
  child: () => silent,
};

/** Settings of a daemon on a free port. */
export function testSettings(
  name: string,
  logUrl: string,
  change: {
    readonly listen?: DaemonSettings['listen'];
    readonly platform?: Partial<DaemonSettings['platform']>;
    readonly owner?: Partial<DaemonSettings['owner']>;
    readonly seedPeers?: DaemonSettings['seedPeers'];
    readonly partners?: DaemonSettings['partners'];
  } = {},
): DaemonSettings {
  const local = { host: '127.0.0.1', port: 0 };
  return {
    daemon: { name, vm: `vm-${name}`, failureDomain: 'a', cell: 'main', logLevel: 'silent' },
    listen: change.listen ?? { callers: local, peers: local, operators: local },
    platform: {
      logUrl,
      vmListUrl: '',
      topicPrefix: 'test-',
      claimPartitions: 2,
      logRetentionMs: 86_400_000,
      logTimeoutMs: 1000,
      ...change.platform,
    },
    owner: {
      leaseMs: 6000,
      renewMs: 2000,
      loadsPerSecond: 4,
      maximumConcurrentLoads: 4,
      maximumAdaptersInTransit: 30,
      orderDeliveryMs: 1000,
      ...change.owner,
    },
    limits: {
      maximumBodyBytes: 1e6,
      maximumHeaderBytes: 16_384,
      maximumDeadlineMs: 60_000,
      maximumWaitingRequests: 100,
      retryBudget: 0.2,
      idempotencyWindowMs: 86_400_000,
    },
    stop: { announceMs: 0, limitMs: 1000 },
    seedPeers: change.seedPeers ?? [],
    partners: change.partners ?? ['solano', 'cascade'],
    callers: [],
    operators: [],
  };
}

/** Context of a daemon in a test. */
export function testContext(settings: DaemonSettings): DaemonContext {
  return {
    settings,
    logger: silent,
    timeline: { record: () => undefined },
    clock: new common.HybridClock(),
    now: () => performance.now(),
    wallNow: () => Date.now(),
  };
}

/** Polls a condition until it holds; throws after the timeout. */
export async function until(what: string, holds: () => boolean, timeoutMs = 10_000): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs;
  while (!holds()) {
    if (performance.now() > deadlineMs) {
      throw new Error(`not within ${timeoutMs} ms: ${what}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

/** Names of the daemons that a control plane sees as joined. */
export function joinedDaemons(plane: ControlPlane): readonly string[] {
  return [...plane.log.state.daemons.values()]
    .filter(({ state }) => state === 'joined')
    .map(({ daemon }) => daemon)
    .sort();
}
