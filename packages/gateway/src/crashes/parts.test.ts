import * as vitest from 'vitest';
import { isRequestPart, requestPart, suspectableParts } from './parts.js';

const content = { method: 'POST', host: 'h', path: '/p', promptPartIds: ['f1', 'e1'], body: Buffer.from('b') };

vitest.describe('parts of a request', () => {
  vitest.test(
    'differ by each of method, host, path, prompt and body (guards against a block of other requests)',
    () => {
      const changes = [
        { method: 'PUT' },
        { host: 'i' },
        { path: '/q' },
        { promptPartIds: ['f1'] },
        { body: Buffer.from('c') },
      ];
      const shifted = { ...content, path: '/', body: Buffer.from('pb') };
      const parts = [content, ...changes.map((change) => ({ ...content, ...change })), shifted].map(requestPart);
      vitest.expect(new Set(parts).size).toBe(parts.length);
      vitest.expect(requestPart({ ...content, body: Buffer.from('b') })).toBe(parts[0]);
    },
  );

  vitest.test('of a prompt never stand for a request (guards against a caller that has another one blocked)', () => {
    const wholeRequest = requestPart(content);
    vitest.expect(suspectableParts(['f1', wholeRequest, 'e1'], 'request:own')).toEqual(['f1', 'request:own']);
    vitest.expect(isRequestPart('f1')).toBe(false);
  });
});
