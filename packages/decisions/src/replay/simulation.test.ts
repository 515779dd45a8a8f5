import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as decisions from '../index.js';
import { limits, Simulation, stepArbitrary } from '../testing/Simulation.js';

function checkState(before: decisions.ControlState, after: decisions.ControlState): void {
  for (const vm of after.vms.values()) {
    for (const target of vm.targets) {
      const free = decisions.freeBytes(after, target.address);
      vitest.expect(Math.min(...free), `free memory of ${target.address}`).toBeGreaterThanOrEqual(0);
    }
  }
  if (after.replicas.has(after.appliedOffset) && !before.replicas.has(after.appliedOffset)) {
    vitest.expect(decisions.loadsInProgress(after)).toBeLessThanOrEqual(limits.maximumConcurrentLoads);
  }
  for (const settings of decisions.allModels(after)) {
    const count = decisions.replicasOf(after, settings).length;
    // A lowered maximum, or a late load on a VM that was gone, leaves more replicas; replay accepts no further loads.
    const allowed = Math.max(settings.maximumReplicas, decisions.replicasOf(before, settings).length);
    if (count > allowed) {
      const decided = [...after.replicas.keys()].some((replica) => replica === after.appliedOffset);
      vitest.expect(decided, `replica ${count} of ${settings.model} decided above the maximum`).toBe(false);
    }
  }
  for (const order of before.orders.values()) {
    const remaining = after.orders.get(order.order);
    if (remaining !== undefined) {
      vitest.expect(remaining.bytes[0]).toBeGreaterThanOrEqual(order.bytes[0] ?? 0);
    }
  }
}

const runs = Number(process.env.SIMULATION_RUNS ?? 300);

vitest.describe('replay of random interleavings', () => {
  vitest.test('keeps memory, replicas and claims within bounds (guards against overcommitted accelerators)', () => {
    const accepted = new Map<string, number>();
    let restored = 0;
    fc.assert(
      fc.property(fc.array(stepArbitrary, { minLength: 50, maxLength: 250, size: 'max' }), (steps) => {
        const simulation = new Simulation();
        for (const step of steps) {
          const before = simulation.state;
          const count = simulation.values.length;
          simulation.run(step);
          simulation.checkEngines();
          checkState(before, simulation.state);
          simulation.verdicts.slice(count).forEach((verdict, index) => {
            const { body } = simulation.values[count + index] as decisions.ControlRecord;
            accepted.set(body.kind, (accepted.get(body.kind) ?? 0) + (verdict.kind === 'accepted' ? 1 : 0));
          });
          restored += [...simulation.state.replicas.keys()].filter(
            (replica) => replica < before.appliedOffset && !before.replicas.has(replica),
          ).length;
        }
        vitest.expect(new Set(simulation.acceptedClaims).size).toBe(simulation.acceptedClaims.length);
      }),
      { seed: 20_261, numRuns: runs },
    );
    // Each kind of record that was written must have been accepted, and at least one late load must have been restored.
    for (const [kind, count] of accepted) {
      vitest.expect(count, `accepted ${kind}`).toBeGreaterThan(0);
    }
    vitest.expect(restored).toBeGreaterThan(0);
    vitest.expect(accepted.size).toBe(19);
  });

  vitest.test('reaches the same state from a snapshot as from the whole log (guards against a lossy snapshot)', () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 150, size: 'max' }), fc.nat(), (steps, cut) => {
        const simulation = new Simulation();
        steps.forEach((step) => {
          simulation.run(step);
        });
        let state = decisions.emptyControlState(limits);
        const cutAt = cut % simulation.values.length;
        simulation.values.forEach((value, offset) => {
          if (offset === cutAt) {
            const json: unknown = JSON.parse(JSON.stringify(decisions.encodeSnapshot(state)));
            const decoded = decisions.decodeSnapshot(json);
            vitest.expect(decoded).toEqual({ ok: true, value: state });
            state = decoded.ok ? decoded.value : state;
          }
          const result = decisions.replayValue(state, offset, value);
          vitest.expect(result.verdict).toEqual(simulation.verdicts[offset]);
          state = result.state;
        });
        vitest.expect(state).toEqual(simulation.state);
        vitest.expect(decisions.encodeSnapshot(state)).toEqual(decisions.encodeSnapshot(simulation.state));
      }),
      { seed: 7, numRuns: Math.ceil(runs / 3) },
    );
  });
});
