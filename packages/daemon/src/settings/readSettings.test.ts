import { fileURLToPath } from 'node:url';
import { expect, it } from 'vitest';
import { readSettings } from './readSettings.js';

it('reads the shipped example (guards against an example that does not start)', async () => {
  const outcome = await readSettings(fileURLToPath(new URL('../../../../examples/jayhavend.ini', import.meta.url)));
  expect(outcome).toMatchObject({
    ok: true,
    value: {
      daemon: { name: 'entry-1' },
      partners: ['solano', 'cascade'],
      seedPeers: [{ port: 8091 }, { port: 8092 }],
    },
  });
});

it('names a file that cannot be read (guards against starting with defaults only)', async () => {
  const outcome = await readSettings('/nonexistent/jayhavend.ini');
  expect(outcome).toMatchObject({ ok: false, failure: [{ file: '/nonexistent/jayhavend.ini' }] });
});
