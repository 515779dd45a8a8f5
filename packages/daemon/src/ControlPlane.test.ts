import * as common from '@jayhaven/common';
import * as standins from '@jayhaven/standins';
import * as vitest from 'vitest';
import { openControlPlane } from './ControlPlane.js';
import { joinedDaemons, testContext, testSettings, until } from './log/testing/support.js';
import type { ControlPlane } from './Types.js';

/** Opens daemons on one log. */
async function openAll(
  closing: common.DisposalRegistry,
  logUrl: string,
  names: readonly string[],
): Promise<readonly ControlPlane[]> {
  const planes = await Promise.all(names.map((name) => openControlPlane(testContext(testSettings(name, logUrl)))));
  for (const plane of planes) {
    closing.register(plane);
  }
  await until('all have joined everywhere', () =>
    planes.every((plane) => joinedDaemons(plane).length === names.length),
  );
  return planes;
}

vitest.describe('control plane on the log stand-in', () => {
  let closing: common.DisposalRegistry;
  let log: standins.LogService;
  let logUrl: string;

  vitest.beforeEach(async () => {
    closing = new common.DisposalRegistry();
    log = closing.register(await standins.LogService.open());
    logUrl = `http://127.0.0.1:${log.port}`;
  });

  vitest.afterEach(async () => {
    await closing[Symbol.asyncDispose]();
  });

  vitest.test('daemons join, and call each other (guards against a group that does not form)', async () => {
    const [first, second] = await openAll(closing, logUrl, ['a', 'b', 'c']);
    second?.peers.handle('status.read', (parameters, caller) => Promise.resolve({ parameters, caller }));
    const answer = await first?.peers.call(second?.incarnation ?? '', 'status.read', { x: 1 }, 1000);
    vitest.expect(answer).toEqual({ ok: true, value: { parameters: { x: 1 }, caller: first?.incarnation } });
    vitest.expect(first?.peers.members.map(({ daemon }) => daemon).sort()).toEqual(['a', 'b', 'c']);
  });

  vitest.test('grants a key to one of two attempts (guards against a call that runs twice)', async () => {
    const planes = await openAll(closing, logUrl, ['a', 'b', 'c']);
    const answers = await Promise.all(
      planes.map(({ claims }, index) =>
        claims.acquire({ key: 'solano/pay/1', fingerprint: 'f', attempt: `attempt-${index}`, timeoutMs: 2000 }),
      ),
    );
    const kinds = answers.map((answer) => (answer.ok ? answer.value.kind : 'failed')).sort();
    vitest.expect(kinds).toEqual(['granted', 'running', 'running']);
  });
});
