import { describe, expect, test } from 'vitest';
import { findValueError, maximumValueLength } from './values.js';

describe('findValueError', () => {
  const key = { kind: 'default', partner: 'solano', field: 'queueLimit' } as const;

  test('rejects a value nested too deeply for the stack (guards against a replay error in every daemon)', () => {
    const depth = 200_000;
    const nested: unknown = JSON.parse('['.repeat(depth) + ']'.repeat(depth));
    expect(findValueError(key, nested)).toContain('longer');
  });

  test('rejects a long value and accepts a valid one (guards against records that fill the log)', () => {
    expect(findValueError(key, 'x'.repeat(maximumValueLength))).toContain('longer');
    expect(findValueError(key, 5)).toBeUndefined();
  });
});
