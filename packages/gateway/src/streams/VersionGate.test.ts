import * as vitest from 'vitest';
import { VersionGate } from './VersionGate.js';

vitest.describe('VersionGate', () => {
  vitest.test('opens every version before it hears of any (guards against a start without a leader)', () => {
    vitest.expect(new VersionGate().mayBegin('s', 'v1', 0)).toBe(true);
  });

  vitest.test('holds a version until it is announced (guards against streams that no stored version proves)', () => {
    const gate = new VersionGate();
    gate.announce({ s: ['v1'] });
    vitest.expect(gate.mayBegin('s', 'v1', 0)).toBe(true);
    vitest.expect(gate.mayBegin('s', 'v2', 0)).toBe(false);
    vitest.expect(gate.mayBegin('s', 'v2', 999)).toBe(false);
    gate.announce({ s: ['v1', 'v2'] });
    vitest.expect(gate.mayBegin('s', 'v2', 999)).toBe(true);
  });

  vitest.test('holds each version for one second at most (guards against a leader that cannot write)', () => {
    const gate = new VersionGate();
    gate.announce({ s: ['v1'] });
    gate.mayBegin('s', 'v2', 0);
    vitest.expect(gate.mayBegin('s', 'v2', 1_000)).toBe(true);
    vitest.expect(gate.mayBegin('s', 'v3', 1_000)).toBe(false);
  });

  vitest.test('holds a withdrawn version anew (guards against a version that left the history and comes back)', () => {
    const gate = new VersionGate();
    gate.announce({ s: ['v1', 'v2'] });
    gate.announce({ s: ['v2'] });
    vitest.expect(gate.mayBegin('s', 'v1', 0)).toBe(false);
  });
});
