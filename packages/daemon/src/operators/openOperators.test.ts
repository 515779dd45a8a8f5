import * as crypto from 'node:crypto';
import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Timeline } from '../timeline/index.js';
import type { AppendFailure, ControlChange, ControlPlane, DaemonContext, PeerFailure } from '../Types.js';
import { openOperators } from './openOperators.js';
import type { OperatorsComponent } from './Types.js';

const clock = { wallMs: 1_700_000_000_000, counter: 0 };

function credential(name: string, partner: string): { name: string; partner: string; keySha256: string } {
  return { name, partner, keySha256: crypto.createHash('sha256').update(`key-${name}`).digest('hex') };
}

const queueLimit: decisions.ConfigurationEntry = {
  key: 'solano/defaults/queueLimit',
  value: 50,
  partner: 'solano',
  operator: 'mara',
  reason: 'short queues',
  version: 7,
  clock,
};

const emptyState: decisions.ControlState = {
  limits: { maximumConcurrentLoads: 4, maximumAdaptersInTransit: 30, partners: ['solano', 'cascade'] },
  appliedOffset: 9,
  lastSequences: new Map(),
  daemons: new Map(),
  cells: new Map(),
  vms: new Map(),
  replicas: new Map(),
  orders: new Map(),
  fences: new Map(),
  configuration: new Map([[queueLimit.key, queueLimit]]),
  pendingEdits: new Map(),
  history: [
    { ...queueLimit, offset: 7 },
    { ...queueLimit, offset: 8, operator: 'ines', partner: 'cascade', rejectedBy: 'foreignKey' },
  ],
};

const engine: decisions.TargetDescription = {
  address: '127.0.0.1:9000',
  role: 'engine',
  acceleratorBytes: [100, 100],
  fencing: 'ignored',
};

const replica: decisions.ReplicaEntry = {
  partner: 'solano',
  model: 'walkthrough',
  version: '1',
  replica: 5,
  target: engine.address,
  vm: 'vm-9',
  bytes: [60, 60],
  state: 'ready',
  urgency: 'interactive',
  adapters: new Map([['knots', { adapter: 'knots', order: 6, bytes: [5, 5], state: 'ready' }]]),
};

/** Daemon with a scripted log and one peer, whose responses are set in `peerResponses`. */
class Fixture {
  public state = emptyState;
  public appended: decisions.ControlRecordBody[] = [];
  public appendOutcome: common.Outcome<{ readonly offset: number }, AppendFailure> = common.succeed({ offset: 10 });
  public peerResponses = new Map<string, common.Outcome<unknown, PeerFailure>>();
  public drains = 0;
  public readonly timeline = new Timeline('entry-1', new common.HybridClock(), () => 5000);
  public readonly changes = new common.Emitter<ControlChange>();
  private readonly _handlers = new Map<string, (parameters: unknown, caller: string) => Promise<unknown>>();
  private readonly _client = new common.JsonHttpClient();
  private _operators: OperatorsComponent | undefined;

  public async open(): Promise<void> {
    const context = {
      settings: {
        daemon: { name: 'entry-1', vm: 'vm-1', failureDomain: 'fd-a', cell: 'north', logLevel: 'silent' },
        listen: { operators: { host: '127.0.0.1', port: 0 } },
        platform: { logTimeoutMs: 500 },
        partners: ['solano', 'cascade'],
        operators: [credential('mara', 'solano'), credential('ines', 'cascade')],
      },
      logger: common.createLogger('test', 'silent'),
      timeline: this.timeline,
      wallNow: () => 5000,
    } as unknown as DaemonContext;
    this._operators = await openOperators(context, {
      controlPlane: this._controlPlane(),
      owner: {
        status: () => ({
          cell: 'north',
          isOwner: true,
          owner: 'entry-1#a',
          claim: 3,
          queuedLoads: [{ model: 'solano/walkthrough', urgency: 'interactive', waitedMs: 40 }],
          loadsPerSecond: 4,
        }),
      },
      front: { status: () => ({ inFlight: 2, draining: false, waiting: [] }) },
      timeline: this.timeline,
      drain: () => {
        this.drains += 1;
      },
    });
  }

  public get port(): number {
    return this._operators?.port ?? 0;
  }

  public async close(): Promise<void> {
    await this._client[Symbol.asyncDispose]();
    await this._operators?.[Symbol.asyncDispose]();
  }

  public async call(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
    key = 'key-mara',
  ): Promise<common.JsonResponse> {
    const url = `http://127.0.0.1:${this.port}${path}`;
    const headers = { authorization: `Bearer ${key}` };
    const request = { method, url, headers, timeoutMs: 5000, ...(body === undefined ? {} : { body }) };
    return common.expectValue(await this._client.request(request), 'the interface answers');
  }

  /** Status of the local daemon under the name of a peer. */
  public async statusOf(daemon: string, changes: object): Promise<unknown> {
    const status = await this._handlers.get('status.read')?.({ versions: [7] }, 'test');
    return { ...(status as object), daemon, incarnation: `${daemon}#b`, ...changes };
  }

  private _controlPlane(): ControlPlane {
    // The state is read at each access, because tests replace it.
    const readState = (): decisions.ControlState => this.state;
    const members = ['entry-1#a', 'entry-2#b'].map((incarnation) => ({
      incarnation,
      daemon: incarnation.slice(0, -2),
      failureDomain: 'fd-a',
      suspected: false,
      self: incarnation === 'entry-1#a',
    }));
    return {
      incarnation: 'entry-1#a',
      log: {
        incarnation: 'entry-1#a',
        get state() {
          return readState();
        },
        lag: { appliedOffset: 9, highestSeenOffset: 9, source: 'log', lagging: false, logAvailable: true },
        onChange: this.changes.event,
        append: (body: decisions.ControlRecordBody) => {
          this.appended.push(body);
          return Promise.resolve(this.appendOutcome);
        },
      },
      peers: {
        members,
        handle: (method: string, handler: (parameters: unknown, caller: string) => Promise<unknown>) => {
          this._handlers.set(method, handler);
        },
        call: async (incarnation: string, method: string, parameters: unknown) =>
          incarnation === 'entry-1#a'
            ? common.succeed(JSON.parse(JSON.stringify(await this._handlers.get(method)?.(parameters, 'entry-1#a'))))
            : (this.peerResponses.get(method) ?? common.fail({ kind: 'timeout', message: 'no answer' })),
      },
    } as unknown as ControlPlane;
  }
}

const fixture = { current: new Fixture() };

beforeEach(async () => {
  fixture.current = new Fixture();
  await fixture.current.open();
});

afterEach(async () => {
  await fixture.current.close();
});

const edit = { key: 'solano/defaults/queueLimit', value: 60, basedOn: 7, reason: 'more crews' };

describe('authentication', () => {
  it('refuses an unknown key (guards against unauthenticated edits)', async () => {
    expect(await fixture.current.call('GET', '/v1/status', undefined, 'guess')).toMatchObject({ status: 401 });
    expect(await fixture.current.call('POST', '/v1/edits', edit, 'guess')).toMatchObject({ status: 401 });
    expect(fixture.current.appended).toEqual([]);
  });
});

describe('edits', () => {
  it('reports the version that was read back (guards against "accepted" before replay)', async () => {
    const response = await fixture.current.call('POST', '/v1/edits', edit);
    expect(response).toMatchObject({ status: 200, body: { state: 'accepted', version: 10 } });
    expect(fixture.current.appended).toEqual([
      { kind: 'configurationEdited', partner: 'solano', operator: 'mara', ...edit },
    ]);
  });

  it('refuses a key of another partner before an append (guards against overriding a partner)', async () => {
    const response = await fixture.current.call('POST', '/v1/edits', edit, 'key-ines');
    expect(response).toMatchObject({ status: 403, body: { error: { type: 'foreign_key', executed: 'no' } } });
    expect(fixture.current.appended).toEqual([]);
    expect((await fixture.current.call('GET', '/v1/refusals')).body).toMatchObject({
      daemons: [{ daemon: 'entry-1', refusedEdits: { foreign_key: 1 } }],
    });
  });

  it('returns the winner of a race (guards against a losing edit that seems to be in force)', async () => {
    fixture.current.appendOutcome = common.fail({ kind: 'rejected', rule: 'staleEdit', message: 'stale', winner: 7 });
    expect(await fixture.current.call('POST', '/v1/edits', edit)).toMatchObject({
      status: 409,
      body: { error: { type: 'stale_edit' }, winner: { version: 7, operator: 'mara', value: 50 } },
    });
  });

  it('reports that an unconfirmed edit may take effect (guards against reporting it as failed)', async () => {
    fixture.current.appendOutcome = common.fail({ kind: 'unconfirmed', message: 'not read back within 500 ms' });
    const response = await fixture.current.call('POST', '/v1/edits', edit);
    expect(response).toMatchObject({ status: 202, body: { state: 'unconfirmed', key: edit.key } });
    expect(JSON.stringify(response.body)).toContain('may still take effect');
  });

  it('refuses at once while the log is down (guards against silent loss of an edit)', async () => {
    fixture.current.appendOutcome = common.fail({ kind: 'logUnavailable', message: 'log is down', retryAfterMs: 1200 });
    const response = await fixture.current.call('POST', '/v1/edits', edit);
    expect(response).toMatchObject({ status: 503, body: { error: { executed: 'no', retryAfterMs: 1200 } } });
    expect(response.headers['retry-after']).toBe('2');
  });

  it.each([
    ['an exception without a reason', { ...edit, key: 'solano/exceptions/m/queueLimit', reason: ' ' }],
    ['an edit without the version it is based on', { ...edit, basedOn: undefined }],
    ['a key of an unknown partner', { ...edit, key: 'nobody/defaults/queueLimit' }],
    ['a field that does not exist', { ...edit, key: 'solano/defaults/queueLimits' }],
    ['a value of another type', { ...edit, value: 'sixty' }],
    ['an unknown member', { ...edit, force: true }],
  ])('refuses %s (guards against invalid or unexplained edits)', async (_, body) => {
    expect(await fixture.current.call('POST', '/v1/edits', body)).toMatchObject({ status: 422 });
    expect(fixture.current.appended).toEqual([]);
  });

  it('shows a shared key as pending with the missing partners (guards against showing it as accepted)', async () => {
    const pending = {
      ...queueLimit,
      key: 'shared/share/solano',
      value: 0.6,
      version: 10,
      basedOn: null,
      approvedBy: [],
    };
    fixture.current.state = { ...emptyState, pendingEdits: new Map([[10, pending]]) };
    const body = { key: pending.key, value: 0.6, basedOn: null, reason: 'summer' };
    expect(await fixture.current.call('POST', '/v1/edits', body)).toMatchObject({ body: { state: 'pending' } });
    expect(await fixture.current.call('GET', '/v1/configuration')).toMatchObject({
      body: { pending: [{ version: 10, missing: ['cascade'] }] },
    });
  });
});

describe('reading', () => {
  it('shows which daemons have a key in force (guards against omitting one that lags or does not respond)', async () => {
    const lag = { appliedOffset: 6, highestSeenOffset: 9, source: 'peers', lagging: true, logAvailable: false };
    const lagging = await fixture.current.statusOf('entry-2', { lag, versionTimes: {} });
    fixture.current.peerResponses.set('status.read', common.succeed(lagging));
    const path = `/v1/configuration?key=${queueLimit.key}`;
    expect((await fixture.current.call('GET', path)).body).toMatchObject({
      keys: [{ key: queueLimit.key, value: 50, version: 7, operator: 'mara', reason: 'short queues' }],
      daemons: [
        { daemon: 'entry-1', appliedOffset: 9, lagging: false, inForce: true },
        { daemon: 'entry-2', appliedOffset: 6, lagging: true, inForce: false },
      ],
    });
    fixture.current.peerResponses.set('status.read', common.succeed({ daemon: 'entry-2' }));
    expect((await fixture.current.call('GET', path)).body).toMatchObject({
      daemons: [{ daemon: 'entry-1' }, { daemon: 'entry-2', answered: false }],
    });
  });

  it('counts refusals by rule (guards against unnoticed edits of foreign keys)', async () => {
    expect((await fixture.current.call('GET', '/v1/refusals')).body).toMatchObject({
      byRule: { foreignKey: 1 },
      refusals: [{ version: 8, operator: 'ines', state: 'rejected' }],
    });
  });

  it('shows memory, adapters and orders per target (guards against maps that JSON drops)', async () => {
    const order: decisions.OrderEntry = {
      ...replica,
      order: 5,
      action: 'load',
      senders: new Map([['entry-1#a', 3]]),
    };
    fixture.current.state = {
      ...emptyState,
      vms: new Map([['vm-9', { vm: 'vm-9', failureDomain: 'fd-b', state: 'live', targets: [engine] }]]),
      replicas: new Map([[5, replica]]),
      orders: new Map([[5, order]]),
    };
    expect((await fixture.current.call('GET', '/v1/replicas')).body).toMatchObject({
      targets: [
        {
          target: engine.address,
          freeBytes: [35, 35],
          replicas: [{ replica: 5, adapters: [{ adapter: 'knots' }] }],
          orders: [{ order: 5, senders: [{ incarnation: 'entry-1#a', claim: 3 }] }],
        },
      ],
    });
    expect((await fixture.current.call('GET', '/v1/vms')).body).toMatchObject({ vms: [{ vm: 'vm-9', state: 'live' }] });
  });

  it('merges the time lines of all members (guards against an order by arrival)', async () => {
    fixture.current.timeline.record({ part: 'router', event: 'sent', request: 'r1' });
    const event = { part: 'front', event: 'received', request: 'r1', daemon: 'entry-2' };
    const events = [{ ...event, time: { wallMs: 4000, counter: 0 } }];
    fixture.current.peerResponses.set('timeline.read', common.succeed({ daemon: 'entry-2', truncated: false, events }));
    expect((await fixture.current.call('GET', '/v1/timeline?request=r1')).body).toMatchObject({
      events: [{ event: 'received' }, { event: 'sent' }],
      silent: [],
    });
    fixture.current.peerResponses.clear();
    expect((await fixture.current.call('GET', '/v1/timeline?since=4999')).body).toMatchObject({
      events: [{ event: 'sent' }],
      silent: [{ daemon: 'entry-2', reason: 'timeout: no answer' }],
    });
  });

  it('reports when older events are omitted (guards against a trace that looks complete)', async () => {
    for (let count = 0; count < 5001; count += 1) {
      fixture.current.timeline.record({ part: 'router', event: `event${count}` });
    }
    const { body } = await fixture.current.call('GET', '/v1/timeline');
    const { events, truncated } = body as { events: common.TimelineEvent[]; truncated: string[] };
    expect(truncated).toEqual(['entry-1']);
    expect([events.length, events[0]?.event, events.at(-1)?.event]).toEqual([5000, 'event1', 'event5000']);
  });

  it.each(['/v1/status', '/v1/history', '/v1/queues', '/v1/owners'])(
    'responds to %s (guards against a route that is not registered)',
    async (path) => {
      expect(await fixture.current.call('GET', path)).toMatchObject({ status: 200 });
    },
  );

  it('refuses unknown filters, paths, methods and large bodies (guards against a misspelt filter that shows everything)', async () => {
    expect(await fixture.current.call('GET', '/v1/timeline?modell=x')).toMatchObject({ status: 400 });
    expect(await fixture.current.call('GET', '/v1/history?limit=0')).toMatchObject({ status: 400 });
    expect(await fixture.current.call('GET', '/v1/nothing')).toMatchObject({ status: 404 });
    expect(await fixture.current.call('POST', '/v1/status', {})).toMatchObject({ status: 405 });
    expect(await fixture.current.call('POST', '/v1/edits', { ...edit, value: 'x'.repeat(70_000) })).toMatchObject({
      status: 413,
    });
  });
});

it('responds to a body that is nested too deeply and keeps running (guards against a request that stops a daemon)', async () => {
  // Sent as text, because serialising such a value overflows the stack of the client.
  const value = '['.repeat(30_000) + ']'.repeat(30_000);
  const response = await fetch(`http://127.0.0.1:${fixture.current.port}/v1/edits`, {
    method: 'POST',
    headers: { authorization: 'Bearer key-mara' },
    body: `{"key":"${edit.key}","basedOn":7,"reason":"","value":${value}}`,
  });
  expect(response.status).toBeGreaterThanOrEqual(400);
  expect(await fixture.current.call('GET', '/v1/status')).toMatchObject({ status: 200 });
  expect(fixture.current.appended).toEqual([]);
});

it('starts a graceful stop of this daemon (guards against a drain that does nothing)', async () => {
  expect(await fixture.current.call('POST', '/v1/drain', { reason: 'new kernel' })).toMatchObject({ status: 202 });
  expect(fixture.current.drains).toBe(1);
});
