import * as metrics from 'prom-client';
import * as vitest from 'vitest';
import { silentLogger } from '../testing/SilentLogger.js';
import type { BodyReservation } from './BodyReservation.js';
import { CallerMemory } from './CallerMemory.js';
import { ClientLimitMetrics } from './ClientLimitMetrics.js';

const kibibyte = 1024;
const totalBytes = 1_024 * kibibyte;

class Fixture implements Disposable {
  public nowMs = 0;
  public readonly events: string[] = [];
  public readonly registry = new metrics.Registry();
  public readonly memory = new CallerMemory(
    totalBytes,
    new ClientLimitMetrics(this.registry, silentLogger, () => this.nowMs),
    () => this.nowMs,
  );

  public constructor() {
    vitest.vi.useFakeTimers();
  }

  public open(name: string): BodyReservation {
    return this.memory.openBody({
      onGranted: () => this.events.push(`${name} granted`),
      onRefused: (refusal) => this.events.push(`${name} ${refusal}`),
    });
  }

  public pass(durationMs: number): void {
    this.nowMs += durationMs;
    vitest.vi.advanceTimersByTime(durationMs);
  }

  public [Symbol.dispose](): void {
    this.memory[Symbol.dispose]();
    vitest.vi.useRealTimers();
  }
}

vitest.describe('CallerMemory', () => {
  vitest.test('reads a paused body on once another has ended (guards against bodies that wait forever)', () => {
    using fixture = new Fixture();
    const first = fixture.open('first');
    const second = fixture.open('second');
    vitest.expect(first.reserve(600 * kibibyte)).toBe(true);
    vitest.expect(second.reserve(500 * kibibyte)).toBe(false);
    fixture.pass(100);
    vitest.expect(fixture.events).toEqual([]);
    first.end();
    fixture.pass(100);
    vitest.expect(fixture.events).toEqual(['second granted']);
    vitest.expect(fixture.memory.budget.usedBytes).toBe(500 * kibibyte);
    second.end();
    vitest.expect(fixture.memory.budget.usedBytes).toBe(0);
  });

  vitest.test('refuses only the largest of the bodies that wait for each other (guards against a mutual wait)', () => {
    using fixture = new Fixture();
    const bodies = [200, 300, 350].map((held) => {
      const body = fixture.open(String(held));
      vitest.expect(body.reserve(held * kibibyte)).toBe(true);
      return body;
    });
    for (const body of bodies) {
      vitest.expect(body.reserve(body.heldBytes + 100 * kibibyte)).toBe(false);
    }
    fixture.pass(1_900);
    vitest.expect(fixture.events).toEqual([]);
    fixture.pass(300);
    vitest.expect(fixture.events).toEqual(['350 noMemory', '200 granted', '300 granted']);
  });

  vitest.test('refuses a stalled body for one that arrives (guards against clients that never finish)', async () => {
    using fixture = new Fixture();
    const stalled = fixture.open('stalled');
    stalled.reserve(800 * kibibyte);
    fixture.pass(600);
    vitest.expect(fixture.open('new').reserve(300 * kibibyte)).toBe(true);
    vitest.expect(fixture.events).toEqual(['stalled stalled']);
    vitest.expect(await fixture.registry.metrics()).toContain('jayhaven_client_limits_total{limit="bodyStalled"} 1');
  });

  vitest.test(
    'keeps the memory of a complete body until its request has ended (guards against bodies not counted)',
    () => {
      using fixture = new Fixture();
      const body = fixture.open('complete');
      body.reserve(64 * kibibyte);
      body.complete(10);
      vitest.expect(fixture.memory.budget.usedBytes).toBe(10);
      vitest.expect(body.isReleasable).toBe(false);
      body.end();
      vitest.expect(fixture.memory.budget.usedBytes).toBe(0);
    },
  );
});
