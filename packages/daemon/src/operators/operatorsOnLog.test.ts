import * as crypto from 'node:crypto';
import * as common from '@jayhaven/common';
import * as standins from '@jayhaven/standins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { openControlPlane } from '../ControlPlane.js';
import { joinedDaemons, testContext, testSettings, until } from '../log/testing/support.js';
import { Timeline } from '../timeline/index.js';
import type { ControlPlane } from '../Types.js';
import { openOperators } from './openOperators.js';
import type { OperatorsComponent } from './Types.js';

const names = ['a', 'b', 'c'];
const share = 'shared/share/solano';
const limit = 'solano/defaults/queueLimit';

/** Three daemons with their operators' interfaces on one log. */
class Cell {
  public readonly closing = new common.DisposalRegistry();
  public log!: standins.LogService;
  private readonly _client = this.closing.register(new common.JsonHttpClient());
  private _operators: readonly OperatorsComponent[] = [];
  private _planes: readonly ControlPlane[] = [];

  public async open(): Promise<void> {
    this.log = this.closing.register(await standins.LogService.open());
    const opened = await Promise.all(names.map((name) => this._openDaemon(name)));
    this._operators = opened.map(({ operators }) => operators);
    this._planes = opened.map(({ plane }) => plane);
    await until('all have joined', () => this._planes.every((plane) => joinedDaemons(plane).length === names.length));
  }

  public async call(daemon: number, operator: string, path: string, body?: unknown): Promise<common.JsonResponse> {
    const outcome = await this._client.request({
      method: body === undefined ? 'GET' : 'POST',
      url: `http://127.0.0.1:${this._operators[daemon]?.port ?? 0}${path}`,
      headers: { authorization: `Bearer ${operator}` },
      timeoutMs: 10_000,
      ...(body === undefined ? {} : { body }),
    });
    return common.expectValue(outcome, 'the interface answers');
  }

  public async setLogFaults(body: object): Promise<void> {
    await this._client.request({
      method: 'POST',
      url: `http://127.0.0.1:${this.log.port}/control`,
      body,
      timeoutMs: 1000,
    });
  }

  public async leave(daemon: number): Promise<void> {
    await this._planes[daemon]?.leave();
  }

  private async _openDaemon(name: string) {
    const operators = ['mara/solano', 'ines/cascade'].map((text) => {
      const [operator = '', partner = ''] = text.split('/');
      return { name: operator, partner, keySha256: crypto.createHash('sha256').update(operator).digest('hex') };
    });
    const settings = { ...testSettings(name, `http://127.0.0.1:${this.log.port}`), operators };
    const context = testContext(settings);
    const timeline = new Timeline(name, context.clock, context.wallNow);
    const controlPlane = this.closing.register(await openControlPlane({ ...context, timeline }));
    const owner = { isOwner: false, owner: null, claim: null, queuedLoads: [], loadsPerSecond: 4 };
    const component = await openOperators(
      { ...context, timeline },
      {
        controlPlane,
        owner: { status: () => ({ cell: 'main', ...owner }) },
        front: { status: () => ({ inFlight: 0, draining: false, waiting: [] }) },
        timeline,
        drain: () => undefined,
      },
    );
    this.closing.register(component);
    return { plane: controlPlane, operators: component };
  }
}

function edit(value: unknown, basedOn: number | null, key = limit): object {
  return { key, value, basedOn, reason: 'test' };
}

function versionOf(response: common.JsonResponse | undefined): number {
  return (response?.body as { readonly version: number }).version;
}

describe('operators on the log stand-in', () => {
  let cell: Cell;

  beforeEach(async () => {
    cell = new Cell();
    await cell.open();
  });

  afterEach(async () => {
    await cell.closing[Symbol.asyncDispose]();
  });

  it('accepts one of three racing edits and returns it to the others (guards against a silent override)', async () => {
    const responses = await Promise.all(
      [0, 1, 2].map((daemon) => cell.call(daemon, 'mara', '/v1/edits', edit(daemon, null))),
    );
    const accepted = responses.find(({ status }) => status === 200);
    expect(responses.map(({ status }) => status).sort()).toEqual([200, 409, 409]);
    const version = versionOf(accepted);
    for (const { body } of responses.filter(({ status }) => status === 409)) {
      expect(body).toMatchObject({ winner: { version, operator: 'mara' } });
    }
    expect((await cell.call(1, 'ines', '/v1/refusals')).body).toMatchObject({ byRule: { staleEdit: 2 } });
  });

  it('shows an accepted edit in force on every daemon within 3 s (guards against an edit that is applied only locally)', async () => {
    const version = versionOf(await cell.call(0, 'mara', '/v1/edits', edit(40, null)));
    const readInForce = async (): Promise<readonly unknown[]> => {
      const { body } = await cell.call(1, 'ines', `/v1/configuration?key=${limit}`);
      return (body as { daemons: { inForce: unknown }[] }).daemons.map(({ inForce }) => inForce);
    };
    await expect.poll(readInForce, { timeout: 3000 }).toEqual([true, true, true]);
    const { body } = await cell.call(2, 'mara', '/v1/timeline');
    const events = (body as { events: common.TimelineEvent[] }).events;
    const applied = events.filter((event) => event.event === 'configurationEdited' && event.offset === version);
    expect(applied.map(({ daemon }) => daemon).sort()).toEqual(names);
  });

  it('brings a share into force only after the other partner approves (guards against taking shared capacity)', async () => {
    const proposal = await cell.call(0, 'mara', '/v1/edits', edit(0.6, null, share));
    const version = versionOf(proposal);
    expect(proposal.body).toMatchObject({ state: 'pending' });
    expect(await cell.call(0, 'mara', '/v1/approvals', { edit: version })).toMatchObject({ status: 403 });
    const approval = await cell.call(2, 'ines', '/v1/approvals', { edit: version });
    expect(approval).toMatchObject({ status: 200, body: { state: 'accepted' } });
    expect((await cell.call(2, 'ines', '/v1/configuration')).body).toMatchObject({
      keys: [{ key: share, value: 0.6, operator: 'mara' }],
      pending: [],
    });
    expect(await cell.call(0, 'ines', '/v1/approvals', { edit: 999_999 })).toMatchObject({ status: 404 });
  });

  it('shows that a daemon left although its own events are lost (guards against an unexplained stop)', async () => {
    await cell.leave(0);
    const readLeft = async (): Promise<readonly string[]> => {
      const { body } = await cell.call(1, 'ines', '/v1/timeline');
      const { events } = body as { events: common.TimelineEvent[] };
      return events.filter(({ event, daemon }) => event === 'daemonLeft' && daemon !== 'a').map(({ daemon }) => daemon);
    };
    await expect.poll(async () => [...(await readLeft())].sort(), { timeout: 3000 }).toEqual(['b', 'c']);
  });

  it('reports an edit as unconfirmed while appends stall (guards against reporting it as refused)', async () => {
    await cell.setLogFaults({ stallAppends: true });
    expect(await cell.call(0, 'mara', '/v1/edits', edit(41, null))).toMatchObject({ status: 202 });
    await cell.setLogFaults({ stallAppends: false });
  });

  it('refuses edits and still serves reads in an outage (guards against operators without status)', async () => {
    await cell.setLogFaults({ outage: true });
    const refuse = async (): Promise<number> => (await cell.call(0, 'mara', '/v1/edits', edit(42, null))).status;
    await expect.poll(refuse, { timeout: 10_000 }).toBe(503);
    expect(await cell.call(0, 'mara', '/v1/edits', edit(42, null))).toMatchObject({
      body: { error: { type: 'log_unavailable', executed: 'no' } },
    });
    const status = await cell.call(0, 'mara', '/v1/status');
    expect(status).toMatchObject({ status: 200, body: { silent: [] } });
    await cell.setLogFaults({ outage: false });
  });
});
