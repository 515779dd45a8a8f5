import * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import * as vitest from 'vitest';
import { ControlLogReplica, type ControlReplica } from './ControlLogReplica.js';
import { edit } from './testing/GroupFixture.js';

const incarnation = 'a#1';

/** A replica of a daemon that was paused: full states may already contain the records that it appends. */
function openLog(isCatchingUp: boolean): { readonly log: ControlLogReplica; readonly appended: readonly string[] } {
  const appended: string[] = [];
  const daemons = new Map([[incarnation, {}]]);
  const replica = {
    state: { ...decisions.emptyControlState(), daemons },
    isCatchingUp,
    append: ({ kind }: decisions.ControlRecordBody) => {
      appended.push(kind);
      return Promise.resolve(common.succeed({ offset: 7, verdict: { kind: isCatchingUp ? 'duplicate' : 'accepted' } }));
    },
  };
  return { log: new ControlLogReplica(incarnation, replica as unknown as ControlReplica), appended };
}

vitest.describe('control log of a daemon that catches up', () => {
  vitest.test('sends no edit (guards against an edit whose verdict is never seen)', async () => {
    const { log, appended } = openLog(true);
    const outcome = await log.append(edit('queueLimit', 7, null), 1_000);
    vitest.expect(outcome).toMatchObject({ ok: false, failure: { kind: 'logUnavailable' } });
    vitest.expect(appended).toEqual([]);
  });

  vitest.test('sends records that no operator waits for (guards against a daemon that cannot leave)', async () => {
    const { log, appended } = openLog(true);
    await log.append({ kind: 'daemonLeft' }, 1_000);
    vitest.expect(appended).toEqual(['daemonLeft']);
  });

  vitest.test('sends edits once it has caught up (guards against edits that are refused forever)', async () => {
    const { log } = openLog(false);
    vitest.expect(await log.append(edit('queueLimit', 7, null), 1_000)).toMatchObject({ ok: true });
  });
});
