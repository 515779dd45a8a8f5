import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { StreamChecker } from './StreamChecker.js';

function event(id: string, index: number, text: string): string {
  return `data: ${JSON.stringify({ id, choices: [{ delta: { content: text } }], token_index: index })}\n\n`;
}

vitest.describe('StreamChecker', () => {
  vitest.test('forwards the complete stream for any chunk boundaries (guards against lost or broken events)', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(fastCheck.string({ unit: 'grapheme' }), { maxLength: 20 }),
        fastCheck.array(fastCheck.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 30 }),
        (texts, sizes) => {
          const source = Buffer.from(
            texts.map((text, index) => event('e-1', index, text)).join('') + 'data: [DONE]\n\n',
          );
          const checker = new StreamChecker('e-1', 'public', 0);
          let acceptedText = '';
          for (let position = 0, turn = 0; position < source.length; turn += 1) {
            const end = position + (sizes[turn % sizes.length] ?? 1);
            const checked = checker.push(source.subarray(position, end));
            vitest.expect(checked.fault).toBeUndefined();
            acceptedText += checked.text;
            position = end;
          }
          vitest
            .expect(acceptedText)
            .toBe(texts.map((text, index) => event('public', index, text)).join('') + 'data: [DONE]\n\n');
          vitest.expect(checker.done).toBe(true);
          vitest.expect(checker.nextIndex).toBe(texts.length);
        },
      ),
    );
  });

  const faults = [
    ['a foreign id', event('e-2', 3, 'x'), 'foreignAnswer'],
    ['an id with the expected one as its prefix', event('e-11', 3, 'x'), 'foreignAnswer'],
    ['a foreign id with the expected one in its text', event('e-2', 3, '"id":"e-1"'), 'foreignAnswer'],
    ['a gap', event('e-1', 4, 'x'), 'tokenGap'],
    ['a repeat', event('e-1', 2, 'x'), 'tokenRepeat'],
    ['an index hidden in the text', event('e-1', 5, '"token_index":3'), 'tokenGap'],
    ['broken JSON', 'data: {"id":\n\n', 'malformed'],
    ['an error of the engine', 'data: {"error":{"type":"x"}}\n\n', 'engineError'],
  ] as const;
  vitest.test.each(faults)('stops at %s (guards against wrong tokens)', (_, text, fault) => {
    const checker = new StreamChecker('e-1', 'public', 3);
    vitest.expect(checker.push(Buffer.from(text))).toEqual({ text: '', fault });
  });

  vitest.test('accepts the valid events before a fault (guards against losing delivered tokens)', () => {
    const checker = new StreamChecker('e-1', 'public', 0);
    const checked = checker.push(Buffer.from(event('e-1', 0, 'x') + event('e-1', 2, 'y')));
    vitest.expect(checked).toEqual({ text: event('public', 0, 'x'), fault: 'tokenGap' });
    vitest.expect(checker.nextIndex).toBe(1);
  });

  vitest.test('limits an event without an end (guards against unbounded memory)', () => {
    const checker = new StreamChecker('e-1', 'public', 0);
    vitest.expect(checker.push(Buffer.alloc(2 * 1024 * 1024, 'x')).fault).toBe('malformed');
  });

  vitest.test('accepts another field order (guards against depending on one engine)', () => {
    const checker = new StreamChecker('e-1', 'public', 0);
    const checked = checker.push(Buffer.from('data: {"token_index":0,"id":"e-1"}\n\n'));
    vitest.expect(checked).toEqual({ text: 'data: {"token_index":0,"id":"public"}\n\n' });
  });

  vitest.test('takes time in proportion to an event without end (guards against a daemon that stands still)', () => {
    const checker = new StreamChecker('e', 'c', 0);
    const startedMs = performance.now();
    let faults = 0;
    for (let count = 0; count < 300_000; count += 1) {
      faults += checker.push(Buffer.from('x')).fault === undefined ? 0 : 1;
    }
    vitest.expect(performance.now() - startedMs).toBeLessThan(500);
    vitest.expect(faults).toBe(0);
  });
});
