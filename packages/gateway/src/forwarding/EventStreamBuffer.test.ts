import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { EventStreamBuffer } from './EventStreamBuffer.js';

function event(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
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

  vitest.test('drops a partial event before the stream is resumed (guards against events mixed from two runs)', () => {
    const buffer = new EventStreamBuffer();
    buffer.push(Buffer.from(`${event(1)}id: 2\ndata: hal`));
    buffer.dropPartial();
    vitest.expect(buffer.lastEventId).toBe('1');
    vitest.expect(buffer.push(Buffer.from(event(2))).toString()).toBe(event(2));
  });
});
