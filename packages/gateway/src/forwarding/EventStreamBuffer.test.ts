import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { EventStreamBuffer } from './EventStreamBuffer.js';

function event(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** The line end of an empty line after another one. LF after CR would be the second half of CRLF. */
function separate(first: string, second: string): string {
  return first.endsWith('\r') && second === '\n' ? '\r\n' : second;
}

vitest.describe('event stream buffer', () => {
  vitest.test(
    'returns all bytes in order for any division into chunks (guards against missing or duplicate events)',
    () => {
      const cuts = fastCheck.array(fastCheck.integer({ min: 1, max: 30 }), { minLength: 1, maxLength: 20 });
      fastCheck.assert(
        fastCheck.property(fastCheck.integer({ min: 1, max: 20 }), cuts, (count, sizes) => {
          const text = Array.from({ length: count }, (_none, index) => event(index + 1)).join('');
          const buffer = new EventStreamBuffer();
          let forwarded = '';
          for (let position = 0, cut = 0; position < text.length; cut += 1) {
            const size = sizes[cut % sizes.length] ?? 1;
            forwarded += buffer.push(Buffer.from(text.slice(position, position + size))).toString();
            position += size;
          }
          vitest.expect(forwarded + buffer.flush().toString()).toBe(text);
          vitest.expect(buffer.lastEventId).toBe(String(count));
        }),
      );
    },
  );

  vitest.test(
    'finds the ends of events whatever their line ends and chunks (guards against streams held back or cut in an event)',
    () => {
      const lineEnd = fastCheck.constantFrom('\n', '\r\n', '\r');
      const eventEnds = fastCheck.array(fastCheck.tuple(lineEnd, lineEnd), { minLength: 1, maxLength: 8 });
      fastCheck.assert(
        fastCheck.property(eventEnds, fastCheck.integer({ min: 1, max: 9 }), (ends, size) => {
          const buffer = new EventStreamBuffer();
          const whole = ends.map(
            ([first, second], index) => `id: ${index + 1}${first}data: x${first}${separate(first, second)}`,
          );
          const text = whole.join('');
          for (let position = 0; position < text.length; position += size) {
            buffer.push(Buffer.from(text.slice(position, position + size)));
          }
          vitest.expect(buffer.isInsideEvent).toBe(false);
          vitest.expect(buffer.completeEvents).toBe(ends.length);
          vitest.expect(buffer.lastEventId).toBe(String(ends.length));
          buffer.push(Buffer.from('data'));
          vitest.expect(buffer.isInsideEvent).toBe(true);
        }),
      );
    },
  );

  vitest.test('drops a partial event before the stream is resumed (guards against events mixed from two runs)', () => {
    const buffer = new EventStreamBuffer();
    buffer.push(Buffer.from(`${event(1)}id: 2\ndata: hal`));
    buffer.dropPartial();
    vitest.expect(buffer.lastEventId).toBe('1');
    vitest.expect(buffer.push(Buffer.from(event(2))).toString()).toBe(event(2));
  });

  vitest.test('takes time in proportion to an event without end (guards against a gateway that stands still)', () => {
    const buffer = new EventStreamBuffer();
    const startedMs = performance.now();
    while (!buffer.isEventTooLong) {
      buffer.push(Buffer.from('x'));
    }
    vitest.expect(performance.now() - startedMs).toBeLessThan(500);
  });
});
