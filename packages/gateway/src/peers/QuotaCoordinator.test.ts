import * as metrics from 'prom-client';
import * as vitest from 'vitest';
import { systemClock } from '../Clock.js';
import { pause } from '../pause.js';
import { DaemonQuotas } from '../quotas/DaemonQuotas.js';
import { QuotaAllocator } from '../quotas/QuotaAllocator.js';
import { QuotaMetrics } from '../quotas/QuotaMetrics.js';
import { QuotaTicket } from '../quotas/QuotaTicket.js';
import type { PermitSource } from '../rateLimits/ReplicaRateLimits.js';
import { silentLogger } from '../testing/SilentLogger.js';
import { PeerClient } from './PeerClient.js';
import { PeerServer } from './PeerServer.js';
import { QuotaCoordinator } from './QuotaCoordinator.js';

const quota = { unit: 'requests', perSecond: 20, burst: 20, plainTokens: 0 } as const;
const loopback = { host: '127.0.0.1', port: 0 };

/** A daemon that leads or follows another one, without the rest of a gateway. */
class Daemon implements AsyncDisposable {
  public readonly server = new PeerServer(loopback, systemClock, silentLogger);
  public readonly client = new PeerClient([], systemClock, silentLogger);
  public readonly coordinator: QuotaCoordinator;
  public readonly registry = new metrics.Registry();

  public constructor(name: string, source: PermitSource) {
    const context = { permitSource: () => source, daemonCount: () => 2, random: () => 0.5 };
    this.coordinator = new QuotaCoordinator(
      new DaemonQuotas(name, 1, context, new QuotaMetrics(this.registry)),
      new QuotaAllocator(() => quota, silentLogger),
      { server: this.server, client: this.client },
      () => (source === 'self' ? 7 : undefined),
      () => 2,
      systemClock,
    );
  }

  /** Enters a request and waits for its result. */
  public async enter(): Promise<string | undefined> {
    const ticket = new QuotaTicket(1, () => 1_000);
    this.coordinator.enter({ name: 't', quota }, ticket, systemClock.now());
    for (let waits = 0; waits < 100 && ticket.result === undefined; waits += 1) {
      await pause(10);
    }
    return ticket.result?.kind;
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this.coordinator[Symbol.asyncDispose]();
    await this.client[Symbol.asyncDispose]();
    await this.server[Symbol.asyncDispose]();
  }
}

vitest.describe('QuotaCoordinator', () => {
  vitest.test(
    'gets grants over a connection and at the leader (guards against requests that wait for ever)',
    async () => {
      await using leader = new Daemon('vm0', 'self');
      await using follower = new Daemon('vm1', 'leader');
      await leader.server.open();
      follower.client.setLeader({ host: loopback.host, port: leader.server.port });
      follower.client.maintainConnection(systemClock.now().steadyMs, true);
      while (leader.server.peerCount === 0) {
        await pause(5);
      }
      leader.coordinator.tick();
      vitest
        .expect(await Promise.all([leader.enter(), follower.enter(), follower.enter()]))
        .toEqual(['granted', 'granted', 'granted']);
    },
  );
});
