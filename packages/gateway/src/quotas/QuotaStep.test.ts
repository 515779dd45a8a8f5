import * as metrics from 'prom-client';
import * as vitest from 'vitest';
import type { StepRequest } from '../forwarding/admission/Types.js';
import type { PermitSource } from '../rateLimits/ReplicaRateLimits.js';
import { silentLogger } from '../testing/SilentLogger.js';
import type { Route, Tenant } from '../Types.js';
import { DaemonQuotas } from './DaemonQuotas.js';
import { isQuotaAsk } from './isQuotaAsk.js';
import { QuotaAllocator } from './QuotaAllocator.js';
import { QuotaMetrics } from './QuotaMetrics.js';
import { QuotaStep } from './QuotaStep.js';

const quota = { unit: 'tokens', perSecond: 2_000, burst: 2_000, plainTokens: 1_000 } as const;
const tenant: Tenant = { name: 't', keyDigests: [], quota };

/** A daemon with a leader, whose messages are delivered by the test. */
class Fixture {
  public source: PermitSource = 'leader';
  public nowMs = 100_000;
  public rechecks = 0;
  public readonly quotas = new DaemonQuotas(
    'vm0',
    1,
    { permitSource: () => this.source, daemonCount: () => 3, random: () => 0.5 },
    new QuotaMetrics(new metrics.Registry()),
  );
  public readonly step = new QuotaStep(this.quotas);
  public readonly allocator = new QuotaAllocator(() => quota, silentLogger);

  public constructor() {
    this.allocator.reset(0);
  }

  public get now() {
    return { steadyMs: this.nowMs, wallMs: 1_000_000 + this.nowMs };
  }

  public request(tokens: number | undefined, of: Tenant | undefined = tenant): StepRequest {
    return {
      callerRequest: { attemptId: 'a', host: 'h', promptPartIds: [], ...(tokens !== undefined && { tokens }) },
      route: {} as Route,
      service: 's',
      tenant: of,
      timeLeftMs: () => 4_000,
      recheck: () => {
        this.rechecks += 1;
      },
    };
  }

  /** Sends the daemon's message, if there is one, and its answer, which arrives after a time. */
  public exchange(answerAfterMs = 0): number {
    const ask = this.quotas.takeAsk(this.now);
    const answer = ask === undefined ? undefined : this.allocator.answer(ask, this.nowMs);
    this.nowMs += answerAfterMs;
    if (answer !== undefined) {
      this.quotas.applyAnswer(answer, this.now);
      this.quotas.applyAnswer(answer, this.now);
    }
    return ask?.tenants.reduce((sum, { units }) => sum + units.length, 0) ?? 0;
  }
}

vitest.describe('QuotaStep', () => {
  vitest.test('asks nothing for requests without a quota (guards against messages of other installations)', () => {
    const fixture = new Fixture();
    const { keyDigests, name } = tenant;
    for (const of of [undefined, { keyDigests, name }]) {
      const request = { ...fixture.request(500), tenant: of };
      vitest.expect(fixture.step.decide(request, fixture.now)).toEqual({ kind: 'pass' });
    }
    vitest.expect(fixture.quotas.needsAsk(fixture.now)).toBe(false);
  });

  vitest.test('passes a request once the leader grants it (guards against requests that wait for ever)', () => {
    const fixture = new Fixture();
    const request = fixture.request(500);
    vitest.expect(fixture.step.decide(request, fixture.now)).toEqual({ kind: 'wait' });
    fixture.exchange();
    vitest.expect(fixture.rechecks).toBe(1);
    vitest.expect(fixture.step.decide(request, fixture.now)).toEqual({ kind: 'pass' });
  });

  vitest.test('refuses with the time at which the units accrue (guards against early times to come back)', () => {
    const fixture = new Fixture();
    const requests = Array.from({ length: 12 }, () => fixture.request(undefined));
    requests.forEach((request) => fixture.step.decide(request, fixture.now));
    vitest.expect(fixture.exchange()).toBe(12);
    const refused = requests
      .map((request) => fixture.step.decide(request, fixture.now))
      .find((one) => one.kind === 'reject');
    const response = { status: 429, outcome: 'refused', reason: 'the quota of the tenant is used up' };
    vitest.expect(refused).toMatchObject({ response });
    fixture.nowMs += refused?.response.retryAfterMs ?? 0;
    const later = fixture.request(undefined);
    fixture.step.decide(later, fixture.now);
    fixture.exchange();
    fixture.nowMs += 1;
    fixture.quotas.step(fixture.now);
    vitest.expect(fixture.step.decide(later, fixture.now)).toEqual({ kind: 'pass' });
  });

  vitest.test('withdraws a request from the tenant that it waited for (guards against quota used for nobody)', () => {
    const fixture = new Fixture();
    const request = { ...fixture.request(500), tenant };
    fixture.step.decide(request, fixture.now);
    const moved: StepRequest = Object.assign(request, { tenant: { name: 'other', keyDigests: [] } });
    vitest.expect(fixture.step.decide(moved, fixture.now)).toEqual({ kind: 'wait' });
    fixture.step.withdraw(moved);
    vitest.expect(fixture.quotas.needsAsk(fixture.now)).toBe(false);
  });

  vitest.test.each([
    {},
    { daemon: 'd', incarnation: 1, sequence: 1, tenants: [{ tenant: 't', units: ['a'] }] },
    { daemon: 'd', incarnation: 1, sequence: 1, tenants: [], usedAlone: { t: -5 } },
    { daemon: 'd', incarnation: 1, sequence: 1, tenants: [{ tenant: 't', units: [1], spare: null }] },
  ])('is not asked by a malformed message: %j (guards against clients that refill a quota)', (message) => {
    vitest.expect(isQuotaAsk(message)).toBe(false);
    vitest
      .expect(isQuotaAsk({ ...message, daemon: 'd', incarnation: 1, sequence: 1, tenants: [], usedAlone: {} }))
      .toBe(true);
  });

  vitest.test('never waits for units that a quota cannot hold (guards against waits until the deadline)', () => {
    const fixture = new Fixture();
    const decision = fixture.step.decide(fixture.request(50_000), fixture.now);
    vitest.expect(decision).toMatchObject({ kind: 'reject', response: { status: 429 } });
  });

  vitest.test('gives the grant of a caller that left to the next request (guards against lost units)', () => {
    const fixture = new Fixture();
    const other = fixture.request(500);
    fixture.step.decide(other, fixture.now);
    const sent = fixture.quotas.takeAsk(fixture.now);
    fixture.step.withdraw(other);
    const answer = sent && fixture.allocator.answer(sent, fixture.nowMs);
    if (answer !== undefined) {
      fixture.quotas.applyAnswer(answer, fixture.now);
      fixture.quotas.applyAnswer(answer, fixture.now);
    }
    vitest.expect(fixture.step.decide(fixture.request(500), fixture.now)).toEqual({ kind: 'pass' });
    // The repeated answer grants nothing more.
    vitest.expect(fixture.step.decide(fixture.request(500), fixture.now)).toEqual({ kind: 'wait' });
  });

  vitest.test('ignores a repeated message (guards against units taken twice)', () => {
    const fixture = new Fixture();
    fixture.step.decide(fixture.request(500), fixture.now);
    const ask = fixture.quotas.takeAsk(fixture.now);
    vitest.expect(ask && fixture.allocator.answer(ask, fixture.nowMs)).toBeDefined();
    vitest.expect(ask && fixture.allocator.answer(ask, fixture.nowMs)).toBeUndefined();
  });

  vitest.test('asks again if the answer is older than the credit (guards against use after a suspension)', () => {
    const fixture = new Fixture();
    const request = fixture.request(500);
    fixture.step.decide(request, fixture.now);
    fixture.exchange(800);
    vitest.expect(fixture.step.decide(request, fixture.now)).toEqual({ kind: 'wait' });
    vitest.expect(fixture.exchange()).toBe(1);
    vitest.expect(fixture.step.decide(request, fixture.now)).toEqual({ kind: 'pass' });
  });

  vitest.test('keeps requests for the next leader (guards against refusals for a missing leader)', () => {
    const fixture = new Fixture();
    fixture.source = 'none';
    const request = fixture.request(500);
    vitest.expect(fixture.step.decide(request, fixture.now)).toEqual({ kind: 'wait' });
    vitest.expect(fixture.exchange()).toBe(0);
    fixture.source = 'leader';
    fixture.quotas.leaderChanged();
    fixture.exchange();
    vitest.expect(fixture.step.decide(request, fixture.now)).toEqual({ kind: 'pass' });
  });

  vitest.test('charges what a daemon used without a leader (guards against use on both sides of a partition)', () => {
    const fixture = new Fixture();
    const ask = {
      daemon: 'vm1',
      incarnation: 1,
      sequence: 1,

      tenants: [],
      usedAlone: { t: 7_000 },
    };
    fixture.allocator.answer(ask, fixture.nowMs);
    fixture.step.decide(fixture.request(500), fixture.now);
    const next = fixture.quotas.takeAsk(fixture.now);
    const [decision] = (next && fixture.allocator.answer(next, fixture.nowMs)?.tenants[0]?.decisions) ?? [];
    vitest.expect(decision).toEqual({ delayMs: 250 });
  });

  vitest.test.each([
    [1, { delayMs: 0 }],
    [2, { delayMs: 500 }],
  ])(
    'returns assumed use only to the process that used it: incarnation %i (guards against use before a restart)',
    (incarnation, decision) => {
      const { allocator, nowMs } = new Fixture();
      const ask = { daemon: 'vm1', incarnation: 1, sequence: 1, tenants: [{ tenant: 't', units: [7_000] }] };
      allocator.answer(ask, nowMs);
      allocator.tick(new Set(['vm1']), nowMs);
      allocator.tick(new Set(['vm1']), nowMs + 2_000);
      const next = { ...ask, incarnation, sequence: 2, tenants: [{ tenant: 't', units: [1_500] }] };
      vitest.expect(allocator.answer(next, nowMs + 2_000)?.tenants[0]?.decisions).toEqual([decision]);
    },
  );

  vitest.test(
    'gets spare credit only while the bucket is half full (guards against credit that others wait for)',
    () => {
      const { allocator, nowMs } = new Fixture();
      const ask = {
        daemon: 'vm1',
        incarnation: 1,
        sequence: 1,
        tenants: [{ tenant: 't', units: [3_000], spare: 1_000 }],
      };
      vitest.expect(allocator.answer(ask, nowMs)?.tenants[0]?.spare).toBe(200);
      const next = { ...ask, sequence: 2, tenants: [{ tenant: 't', units: [1_500], spare: 1_000 }] };
      vitest.expect(allocator.answer(next, nowMs + 500)?.tenants[0]?.spare).toBeUndefined();
    },
  );
});
