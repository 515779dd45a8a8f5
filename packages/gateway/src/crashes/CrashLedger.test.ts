import * as vitest from 'vitest';
import { CrashLedger } from './CrashLedger.js';
import { partsKey } from './parts.js';
import type { CrashReport, PartBlock } from './Types.js';

let crashCount = 0;

/** A crash of a replica of its own, with the parts of its unanswered requests. */
function crashOf(...requests: readonly (readonly string[])[]): CrashReport {
  crashCount += 1;
  return {
    replicaId: `i-${crashCount}`,
    bornMs: 1,
    ageMs: 0,
    requests: requests.map((parts) => ({ parts, isTrial: false })),
  };
}

function trialCrash(...parts: readonly string[]): CrashReport {
  return { ...crashOf(), requests: [{ parts, isTrial: true }] };
}

function recordAndDecide(ledger: CrashLedger, report: CrashReport, nowMs: number): readonly PartBlock[] {
  ledger.recordCrash(report, nowMs);
  return ledger.decide(nowMs);
}

vitest.describe('crash ledger', () => {
  vitest.test('blocks a part after a crash and the crash of a trial', () => {
    const ledger = new CrashLedger();
    vitest.expect(recordAndDecide(ledger, crashOf(['f', 'bad']), 1_000)).toEqual([]);
    ledger.recordAnswered('f', 0, 1_100);
    const blocks = recordAndDecide(ledger, trialCrash('f', 'bad'), 1_200);
    vitest.expect(blocks).toEqual([{ parts: ['bad'], leftMs: 60_000, repetition: 1 }]);
  });

  vitest.test(
    'counts crashes at the same time once (guards against a block after the loss of a failure domain)',
    () => {
      const ledger = new CrashLedger();
      for (let index = 0; index < 5; index += 1) {
        vitest.expect(recordAndDecide(ledger, crashOf(['f', 'c1']), 1_000 + index * 50)).toEqual([]);
      }
    },
  );

  vitest.test('counts a crash that several daemons report once (guards against a block after one crash)', () => {
    const ledger = new CrashLedger();
    const crash = crashOf(['f', 'c1']);
    for (let index = 0; index < 5; index += 1) {
      vitest.expect(recordAndDecide(ledger, crash, 1_000 + index * 1_500)).toEqual([]);
    }
  });

  vitest.test('never blocks a part that is answered in between (guards against a blocked route)', () => {
    const ledger = new CrashLedger();
    for (let index = 0; index < 10; index += 1) {
      const nowMs = 1_000 + index * 2_000;
      vitest
        .expect(recordAndDecide(ledger, trialCrash('x', 'c1'), nowMs).flatMap(({ parts }) => parts))
        .not.toEqual(['c1']);
      ledger.recordAnswered('c1', 0, nowMs + 500);
    }
    vitest.expect(ledger.snapshot(30_000).suspects.map(({ part }) => part)).not.toContain('c1');
  });

  vitest.test('does not accuse the companions of a trial (guards against sound requests held back)', () => {
    const ledger = new CrashLedger();
    const report = {
      ...crashOf(),
      requests: [
        { parts: ['bad'], isTrial: true },
        { parts: ['sound'], isTrial: false },
      ],
    };
    ledger.recordCrash(report, 1_000);
    vitest.expect(ledger.snapshot(1_000).suspects).toEqual([{ part: 'bad', rounds: 1 }]);
  });

  vitest.test('blocks parts that are always together only together (guards against blocking more than crashed)', () => {
    const ledger = new CrashLedger();
    recordAndDecide(ledger, crashOf(['f', 'c1', 'bad']), 1_000);
    vitest
      .expect(recordAndDecide(ledger, trialCrash('f', 'c1', 'bad'), 2_000))
      .toMatchObject([{ parts: ['f', 'c1', 'bad'] }]);
    // Without the caller's part, the crash is of the part itself.
    ledger.recordAnswered('c1', 0, 2_500);
    vitest
      .expect(recordAndDecide(ledger, trialCrash('f', 'c2', 'bad'), 3_000))
      .toMatchObject([{ parts: ['f', 'bad'] }]);
  });

  vitest.test('prefers the parts of the most specific request (guards against blocking a companion)', () => {
    const ledger = new CrashLedger();
    recordAndDecide(ledger, crashOf(['x', 'c1'], ['x', 'c1', 'bad']), 1_000);
    const report = crashOf(['x', 'c1'], ['x', 'c1', 'bad']);
    vitest.expect(recordAndDecide(ledger, report, 3_000)).toMatchObject([{ parts: ['x', 'c1', 'bad'] }]);
  });

  vitest.test('tries a blocked part again, and blocks it for longer (guards against a block without end)', () => {
    const ledger = new CrashLedger();
    recordAndDecide(ledger, crashOf(['f', 'bad']), 0);
    ledger.recordAnswered('f', 0, 500);
    recordAndDecide(ledger, trialCrash('f', 'bad'), 1_000);
    ledger.expire(61_001);
    vitest.expect(ledger.blockKeys).toEqual([]);
    vitest.expect(ledger.snapshot(61_001).suspects).toContainEqual({ part: 'bad', rounds: 1 });
    const again = recordAndDecide(ledger, trialCrash('f', 'bad'), 70_000);
    vitest.expect(again).toEqual([{ parts: ['bad'], leftMs: 600_000, repetition: 2 }]);
    ledger.expire(670_001);
    ledger.recordAnswered('bad', 0, 680_000);
    vitest.expect(ledger.snapshot(680_000)).toMatchObject({ suspects: [], blocks: [] });
  });

  vitest.test('keeps an earlier suspicion when a crash accuses many parts (guards against a hidden cause)', () => {
    const ledger = new CrashLedger();
    recordAndDecide(ledger, crashOf(['f', 'c1', 'bad']), 0);
    recordAndDecide(ledger, crashOf(['f', 'bad']), 1_500);
    const many = Array.from({ length: 900 }, (_none, index) => [`p${index}`, `q${index}`]);
    ledger.recordCrash(crashOf(...many), 3_000);
    const { suspects } = ledger.snapshot(3_000);
    vitest.expect(suspects.length).toBeLessThanOrEqual(512);
    vitest.expect(suspects).toContainEqual({ part: 'bad', rounds: 2 });
  });

  vitest.test('takes over the blocks and suspicions of an earlier leader', () => {
    const ledger = new CrashLedger();
    const block = { parts: ['bad'], leftMs: 5_000, repetition: 2 };
    ledger.adopt({ suspects: [{ part: 'other', rounds: 1 }], blocks: [block] }, 1_000);
    vitest
      .expect(ledger.takeChanges(1_000))
      .toMatchObject({ suspects: [{ part: 'other', rounds: 1 }], blocks: [block] });
    vitest.expect(ledger.blockKeys).toEqual([partsKey(['bad'])]);
    vitest.expect(ledger.takeChanges(1_000)).toBeUndefined();
  });
});
