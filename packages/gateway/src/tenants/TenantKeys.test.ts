import * as metrics from 'prom-client';
import * as vitest from 'vitest';
import { systemClock } from '../Clock.js';
import type { StepDecision, StepRequest } from '../forwarding/admission/Types.js';
import { silentLogger } from '../testing/SilentLogger.js';
import type { Configuration } from '../Types.js';
import { keyDigest } from './keyDigest.js';
import { KeyMetrics } from './KeyMetrics.js';
import { KeyStep } from './KeyStep.js';
import { KeyWatch } from './KeyWatch.js';
import { TenantKeys } from './TenantKeys.js';

const withinMs = 100;
const tokens = { unit: 'tokens', perSecond: 1, burst: 1, plainTokens: 1 } as const;
const first = { name: 'first', keyDigests: [keyDigest('k1'), keyDigest('shared')] };
const second = { name: 'second', keyDigests: [keyDigest('shared'), keyDigest('k2')], quota: tokens };

class Fixture {
  public readonly registry = new metrics.Registry();
  public readonly errors: unknown[] = [];
  public readonly events: string[] = [];
  public readonly keys: TenantKeys;
  public readonly watch: KeyWatch;
  /** Called at each new configuration before the key is checked. */
  public onFired = (): void => undefined;

  public constructor(endsStreams = false, state = { hasBegun: false, isStream: false }) {
    const log = { ...silentLogger, error: (...line: unknown[]) => this.errors.push(line) };
    this.keys = new TenantKeys({ endsStreams, withinMs }, new KeyMetrics(this.registry), log);
    const request = {
      state: () => state,
      onTenant: ({ name }: { readonly name: string }) => this.events.push(name),
      onRejected: ({ status }: { readonly status: number }) => this.events.push(String(status)),
      onEnded: () => this.events.push('ended'),
    };
    this.watch = new KeyWatch(this.keys, request, systemClock);
    this.keys.onChanged(() => {
      this.onFired();
    });
    this.watch.start('k1');
  }

  public apply(tenants: Configuration['tenants'], requiresKeys?: boolean): void {
    this.keys.apply({ version: 1, tenants, requiresKeys } as Configuration);
  }

  public decide(callerRequest: object, isKeyless = false): StepDecision {
    return new KeyStep(this.keys).decide({ callerRequest, route: { isKeyless } } as unknown as StepRequest);
  }
}

vitest.describe('API keys', () => {
  vitest.beforeEach(() => void vitest.vi.useFakeTimers());
  vitest.afterEach(() => void vitest.vi.useRealTimers());

  vitest.test.each([
    ['missing', {}, 401],
    ['unknown', { credential: 'k1 ' }, 401],
    ['repeated', { hasSeveralCredentials: true }, 400],
  ])('are rejected if %s, where needed (guards against use without a key)', async (reason, headers, status) => {
    const fixture = new Fixture();
    vitest.expect(fixture.decide(headers)).toEqual({ kind: 'pass' });
    fixture.apply([], true);
    vitest.expect(fixture.decide(headers)).toMatchObject({ response: { status } });
    fixture.apply([first]);
    vitest.expect(fixture.decide(headers, true)).toEqual({ kind: 'pass' });
    vitest.expect(fixture.decide(headers)).toMatchObject({ response: { status } });
    vitest.expect(await fixture.registry.metrics()).toContain(`rejected_keys_total{reason="${reason}"} 2`);
  });

  vitest.test('belong to the first tenant and are not logged (guards against two tenants of a key)', () => {
    const fixture = new Fixture();
    fixture.apply([first, second]);
    const hasMalformedTokens = true;
    vitest
      .expect(fixture.decide({ credential: 'shared', hasMalformedTokens }))
      .toEqual({ kind: 'pass', tenant: first });
    vitest
      .expect(fixture.decide({ credential: 'k2', hasMalformedTokens }))
      .toMatchObject({ response: { status: 400 } });
    vitest.expect(JSON.stringify(fixture.errors)).toContain('[{"tenant":"first","otherTenant":"second"}]');
    vitest.expect(JSON.stringify(fixture.errors)).not.toMatch(/shared|[0-9a-f]{64}/);
  });

  vitest.test.each([
    [['401', '401'], true, { hasBegun: false, isStream: true }],
    [[], false, { hasBegun: true, isStream: true }],
    [[], true, { hasBegun: true, isStream: false }],
    [['ended'], true, { hasBegun: true, isStream: true }],
  ])('that are removed have the effect %j (guards against use after that)', (expected, endsStreams, state) => {
    const fixture = new Fixture(endsStreams, state);
    fixture.apply([second]);
    vitest.vi.advanceTimersByTime(withinMs);
    vitest.expect(fixture.watch.rejectIfRevoked()).toBe(!state.hasBegun);
    vitest.expect(fixture.events).toEqual(expected);
  });

  vitest.test('have no effect on a request that just ended (guards against the end of a later one)', () => {
    const fixture = new Fixture(true, { hasBegun: true, isStream: true });
    fixture.onFired = () => {
      fixture.watch.stop();
    };
    fixture.apply([second]);
    vitest.vi.advanceTimersByTime(withinMs);
    vitest.expect(fixture.events).toEqual([]);
  });

  vitest.test('that return, or are not needed, end no stream (guards against streams ended for no reason)', () => {
    const fixture = new Fixture(true, { hasBegun: true, isStream: true });
    for (const tenants of [[second], [first], [second], []]) {
      fixture.apply(tenants);
    }
    vitest.vi.advanceTimersByTime(2 * withinMs);
    vitest.expect(fixture.events).toEqual(['first']);
  });
});
