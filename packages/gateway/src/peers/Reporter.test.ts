import * as vitest from 'vitest';
import { ArrivalCounter } from '../placement/ArrivalCounter.js';
import { ReplicaLoads } from '../routing/ReplicaLoads.js';
import { SpeedReports } from '../speeds/SpeedReports.js';
import { WaitingRequests } from '../waiting/WaitingRequests.js';
import { Reporter } from './Reporter.js';
import type { DaemonReport } from './Types.js';

class ReporterFixture {
  public readonly reports: DaemonReport[] = [];
  public readonly waitingRequests = new WaitingRequests();
  public readonly arrivals = new ArrivalCounter();
  public readonly reporter: Reporter;

  public constructor(daemonCount: number) {
    const clock = { now: () => ({ steadyMs: Date.now(), wallMs: Date.now() }) };
    const sources = {
      waitingRequests: this.waitingRequests,
      arrivals: this.arrivals,
      loads: new ReplicaLoads(),
      speeds: new SpeedReports(),
      rateLimits: { takeReport: () => ({ demands: [], reportedAt: clock.now() }) },
    };
    const send = (report: DaemonReport): void => {
      this.reports.push(report);
    };
    this.reporter = new Reporter('vm', sources, send, () => daemonCount, clock);
  }

  /** Runs for a second with an arrival at each step. */
  public async runBusy(): Promise<void> {
    for (let step = 0; step < 100; step += 1) {
      this.arrivals.record({ model: 'm' }, 250, 2_000);
      this.reporter.reportIfDue();
      await vitest.vi.advanceTimersByTimeAsync(10);
    }
  }
}

vitest.describe('reports of a daemon', () => {
  vitest.beforeEach(() => {
    vitest.vi.useFakeTimers();
  });
  vitest.afterEach(() => {
    vitest.vi.useRealTimers();
  });

  vitest.test('become rarer with the number of daemons (guards against a leader overloaded with reports)', async () => {
    const small = new ReporterFixture(9);
    const large = new ReporterFixture(430);
    await small.runBusy();
    await large.runBusy();
    vitest.expect(small.reports.length).toBe(10);
    vitest.expect(large.reports.length).toBe(1);
  });

  vitest.test('are sent at once when requests begin to wait, one for many (guards against late loads)', async () => {
    const fixture = new ReporterFixture(195);
    await fixture.runBusy();
    const before = fixture.reports.length;
    const waitingRequest = {
      modelReference: { model: 'm' },
      requiredVersion: undefined,
      urgency: 0,
      lateAtMs: 0,
      leavesAtMs: 2_000,
      sizeBytes: 0,
      tenantName: undefined,
      limitedReplicaId: () => undefined,
      heldFor: () => undefined,
      redispatch: () => 'waits' as const,
    };
    for (let index = 0; index < 20; index += 1) {
      fixture.waitingRequests.add({ ...waitingRequest });
      fixture.reporter.scheduleUrgentReport();
    }
    await vitest.vi.advanceTimersByTimeAsync(60);
    vitest.expect(fixture.reports.length).toBe(before + 1);
    vitest.expect(fixture.reports.at(-1)?.waiting).toMatchObject([{ target: { model: 'm' }, count: 20 }]);
  });
});
