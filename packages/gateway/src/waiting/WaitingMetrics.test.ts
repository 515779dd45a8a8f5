import * as metrics from 'prom-client';
import * as vitest from 'vitest';
import { WaitingMetrics } from './WaitingMetrics.js';
import { WaitingRequests } from './WaitingRequests.js';

vitest.test(
  'waits, refusals and returns are counted with bounded labels (guards against invisible refusals)',
  async () => {
    const registry = new metrics.Registry();
    const requests = new WaitingRequests();
    const waiting = new WaitingMetrics(registry, requests);
    waiting.countWait('slot');
    waiting.countRefusal('model is not ready in time');
    waiting.countReturn('late');
    const times = { callerTimeoutMs: 2_000, latencyTargetMs: 400 };
    const capacity = { key: 'm', spacingMs: 0, spreadMs: 0, modelReference: { model: 'm' }, ...times };
    requests.returns.promise(capacity, { firstMs: 1_000, lastMs: 1_000, isServed: true }, 0);
    const text = await registry.metrics();
    vitest.expect(text).toContain('jayhaven_waits_total{reason="slot"} 1');
    vitest.expect(text).toContain('jayhaven_refusals_total{reason="model is not ready in time"} 1');
    vitest.expect(text).toContain('jayhaven_returns_promised_total{kind="late"} 1');
    vitest.expect(text).toContain('jayhaven_returns_open 1');
    vitest.expect(text).toContain('jayhaven_waiting_requests 0');
  },
);
