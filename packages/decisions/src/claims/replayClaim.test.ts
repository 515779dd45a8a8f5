import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as decisions from '../index.js';

const { test, expect, describe } = vitest;
const windowMs = 1000;

/** Claims topic whose records are replayed as they are appended. */
class ClaimsLog {
  public state = decisions.emptyClaimsState(windowMs);
  public readonly values: unknown[] = [];
  public nowMs = 0;
  private _sequence = 0;

  public append(body: decisions.ClaimRecordBody, author = 'holder#1'): string {
    this._sequence += 1;
    const id = { incarnation: author, sequence: this._sequence };
    return this.push({ id, clock: { wallMs: this.nowMs, counter: 0 }, body });
  }

  public push(value: unknown): string {
    const offset = this.values.push(value) - 1;
    const { state, verdict } = decisions.replayClaimValue(this.state, offset, value);
    this.state = state;
    return verdict.kind === 'rejected' ? verdict.rule : verdict.kind;
  }

  public claim(attempt: string, key = 'k', fingerprint = 'f'): string {
    return this.append({ kind: 'claimed', key, fingerprint, attempt, sender: 'entry#1' });
  }

  public answer(attempt: string, fingerprint = 'f'): string | undefined {
    return decisions.answerFor(this.state, 'k', fingerprint, attempt)?.kind;
  }
}

describe('claims', () => {
  test('the first claim by offset wins (guards against two sends for one key)', () => {
    const log = new ClaimsLog();
    expect(log.answer('one')).toBeUndefined();
    expect([log.claim('one'), log.claim('two'), log.claim('one')]).toEqual(['accepted', 'keyTaken', 'duplicate']);
    expect([log.answer('one'), log.answer('two'), log.answer('two', 'g')]).toEqual(['granted', 'running', 'mismatch']);
  });

  test('a completed call returns its stored answer to every attempt (guards against a repeated call)', () => {
    const log = new ClaimsLog();
    log.claim('one');
    const answer = { contentType: 'application/json', base64: 'e30=' };
    expect(log.append({ kind: 'completed', key: 'k', attempt: 'two', status: 200 })).toBe('notAuthor');
    expect(log.append({ kind: 'completed', key: 'k', attempt: 'one', status: 201, answer })).toBe('accepted');
    const found = decisions.answerFor(log.state, 'k', 'f', 'two');
    expect(found).toEqual({ kind: 'completed', status: 201, answer });
    expect(log.append({ kind: 'released', key: 'k', attempt: 'one' })).toBe('wrongState');
  });

  test('only a release frees a key (guards against a second send after an unknown outcome)', () => {
    const log = new ClaimsLog();
    log.claim('one');
    expect(log.append({ kind: 'released', key: 'k', attempt: 'one' })).toBe('accepted');
    expect(log.claim('two')).toBe('accepted');
    expect(log.append({ kind: 'abandoned', key: 'k', attempt: 'two' })).toBe('accepted');
    expect(log.append({ kind: 'released', key: 'k', attempt: 'two' })).toBe('wrongState');
    expect([log.claim('three'), log.answer('three')]).toEqual(['keyTaken', 'unknown']);
    // The author was only paused and reports the result later.
    expect(log.append({ kind: 'completed', key: 'k', attempt: 'two', status: 200 })).toBe('accepted');
  });

  test('keys expire by the clock of the records unless running (guards against daemons that disagree)', () => {
    const log = new ClaimsLog();
    log.claim('one');
    log.claim('running', 'other');
    log.append({ kind: 'completed', key: 'k', attempt: 'one', status: 200 });
    log.nowMs = windowMs;
    expect(log.claim('two')).toBe('keyTaken');
    log.nowMs = windowMs + 1;
    const early = decisions.dropExpiredClaims(log.state, log.nowMs, windowMs);
    expect(early.claims.has('k')).toBe(true);
    expect([log.claim('two'), log.claim('three', 'other')]).toEqual(['accepted', 'keyTaken']);
    const late = decisions.dropExpiredClaims(early, log.nowMs + decisions.claimClockToleranceMs, windowMs);
    expect([late.claims.has('k'), late.claims.has('other')]).toEqual([false, true]);
  });

  test.each([
    [
      'an answer above the limit',
      {
        kind: 'completed',
        key: 'k',
        attempt: 'one',
        status: 200,
        answer: { contentType: 'x', base64: 'A'.repeat(8000) },
      },
    ],
    ['an unknown kind', { kind: 'other', key: 'k' }],
  ])('%s is skipped (guards against a record that stops replay in every daemon)', (_name, body) => {
    const log = new ClaimsLog();
    log.claim('one');
    const value = { id: { incarnation: 'x', sequence: 1 }, clock: { wallMs: 0, counter: 0 }, body };
    expect(['invalidRecord', 'unknownKind']).toContain(log.push(value));
    expect(log.answer('one')).toBe('granted');
  });

  test('one attempt at a time is granted, also across snapshots (guards against a payment that runs twice)', () => {
    const step = fc.tuple(
      fc.constantFrom('claimed', 'completed', 'released', 'abandoned', 'repeat'),
      fc.nat(2),
      fc.nat(3),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80, size: 'max' }), fc.nat(), (steps, snapshotOffset) => {
        const log = new ClaimsLog();
        const granted = new Map<string, string>();
        for (const [kind, keyNumber, attemptNumber] of steps) {
          const [key, attempt] = [`k${keyNumber}`, `a${attemptNumber}`];
          if (kind === 'claimed') {
            log.claim(attempt, key);
          } else if (kind === 'completed') {
            log.append({ kind, key, attempt, status: 200 });
          } else if (kind === 'repeat') {
            log.push(log.values[attemptNumber % Math.max(1, log.values.length)]);
          } else {
            const verdict = log.append({ kind: kind === 'released' ? kind : 'abandoned', key, attempt });
            if (kind === 'released' && verdict === 'accepted') {
              granted.delete(key);
            }
          }
          for (const holder of ['a0', 'a1', 'a2', 'a3']) {
            if (decisions.answerFor(log.state, key, 'f', holder)?.kind === 'granted') {
              expect(granted.get(key) ?? holder).toBe(holder);
              granted.set(key, holder);
            }
          }
        }
        expect(decisions.encodeClaims(replayWithSnapshot(log.values, snapshotOffset))).toEqual(
          decisions.encodeClaims(log.state),
        );
      }),
      { seed: 11, numRuns: 200 },
    );
  });
});

function replayWithSnapshot(values: readonly unknown[], snapshotOffset: number): decisions.ClaimsState {
  let state = decisions.emptyClaimsState(windowMs);
  values.forEach((value, offset) => {
    if (offset === snapshotOffset % values.length) {
      const decoded = decisions.decodeClaims(JSON.parse(JSON.stringify(decisions.encodeClaims(state))));
      expect(decoded.ok).toBe(true);
      state = decoded.ok ? decoded.value : state;
    }
    state = decisions.replayClaimValue(state, offset, value).state;
  });
  return state;
}
