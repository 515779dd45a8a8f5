import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import type * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import { fileURLToPath } from 'node:url';
import * as common from '@jayhaven/common';
import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest';

/** The built command, run as an operator runs it. */
const binary = fileURLToPath(new URL('../../bin/jayhaven.js', import.meta.url));
const exampleSettings = fileURLToPath(new URL('../../../../examples/jayhavend.ini', import.meta.url));

interface Result {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly authorization: string | undefined;
  readonly body: unknown;
}

const entry = {
  key: 'solano/defaults/queueLimit',
  value: 50,
  version: 7,
  partner: 'solano',
  operator: 'mara',
  when: '2026-01-31T08:00:00.000Z',
  reason: 'short queues',
};

const configuration = {
  appliedOffset: 12,
  keys: [entry],
  pending: [],
  daemons: [{ daemon: 'entry-1', answered: true, appliedOffset: 12, lagging: false, since: entry.when, source: 'log' }],
};

/** Scripted responses by method and path. */
let scriptedResponses = new Map<string, { status: number; body: unknown }>();
let receivedRequests: ReceivedRequest[] = [];
let listener: common.HttpListener;
let directory: string;

beforeAll(async () => {
  directory = await fs.mkdtemp(path.join(os.tmpdir(), 'jayhaven-cli-'));
  listener = await common.HttpListener.open({ host: '127.0.0.1', port: 0 }, (request, response) => {
    void serve(request, response);
  });
});

afterAll(async () => {
  await listener[Symbol.asyncDispose]();
  await fs.rm(directory, { recursive: true });
});

beforeEach(() => {
  scriptedResponses = new Map([
    ['GET /v1/configuration', { status: 200, body: configuration }],
    ['POST /v1/edits', { status: 200, body: { state: 'accepted', key: entry.key, version: 12 } }],
  ]);
  receivedRequests = [];
});

async function serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
  const text = await common.readBody(request, 1_000_000);
  const { pathname } = new URL(request.url ?? '/', 'http://daemon');
  const method = request.method ?? '';
  const body: unknown = text === '' ? undefined : JSON.parse(text);
  receivedRequests.push({ method, path: pathname, authorization: request.headers.authorization, body });
  const scriptedResponse = scriptedResponses.get(`${method} ${pathname}`) ?? { status: 404, body: {} };
  common.sendJson(response, scriptedResponse.status, scriptedResponse.body);
}

function run(argv: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<Result> {
  const env = {
    PATH: process.env.PATH,
    XDG_CONFIG_HOME: directory,
    JAYHAVEN_ADDRESS: `127.0.0.1:${listener.port}`,
    JAYHAVEN_KEY: 'secret',
    ...environment,
  };
  return new Promise((resolve) => {
    const child = childProcess.execFile(process.execPath, [binary, ...argv], { env }, (_, stdout, stderr) => {
      resolve({ code: child.exitCode, stdout, stderr });
    });
  });
}

const editArguments = ['edit', entry.key, '60', '--reason', 'more crews'];

describe('edit', () => {
  it('bases the edit on the version in force (guards against overriding an edit that was not seen)', async () => {
    const result = await run(editArguments);
    expect(result).toMatchObject({ code: 0, stderr: '' });
    expect(result.stdout).toContain('solano/defaults/queueLimit: 50 -> 60 accepted as version 12');
    expect(result.stdout).toContain('In force on 1 of 1 daemons');
    expect(receivedRequests.find(({ method }) => method === 'POST')).toEqual({
      method: 'POST',
      path: '/v1/edits',
      authorization: 'Bearer secret',
      body: { key: entry.key, value: 60, basedOn: 7, reason: 'more crews' },
    });
  });

  it.each([
    [
      3,
      409,
      { error: { type: 'stale_edit', message: 'stale', executed: 'no' }, winner: entry },
      'mara (solano) set 50',
    ],
    [3, 403, { error: { type: 'foreign_key', message: 'not yours', executed: 'no' } }, 'not yours'],
    [
      4,
      503,
      { error: { type: 'log_unavailable', message: 'log is down', executed: 'no', retryAfterMs: 2500 } },
      'in 3 s',
    ],
    [5, 202, { state: 'unconfirmed', message: 'It may still take effect' }, 'may still take effect'],
    [1, 401, { error: { type: 'unauthorized', message: 'no such key', executed: 'no' } }, 'no such key'],
  ])(
    'exits with code %i for status %i (guards against scripts that mistake a refusal for success)',
    async (code, status, body, text) => {
      scriptedResponses.set('POST /v1/edits', { status, body });
      const result = await run([...editArguments, '--json']);
      expect(result.code).toBe(code);
      expect(JSON.parse(result.stdout)).toMatchObject({ error: { exitCode: code } });
      expect((JSON.parse(result.stdout) as { error: { message: string } }).error.message).toContain(text);
      expect((await run(editArguments)).code).toBe(code);
    },
  );

  it('tries the next address and lists all addresses if none responds (guards against one failed daemon blocking operators)', async () => {
    const live = `127.0.0.1:${listener.port}`;
    expect(await run(['show'], { JAYHAVEN_ADDRESS: `127.0.0.1:1,${live}` })).toMatchObject({ code: 0 });
    const result = await run(['show'], { JAYHAVEN_ADDRESS: '127.0.0.1:1' });
    expect(result.code).toBe(4);
    expect(result.stderr).toContain('127.0.0.1:1');
  });
});

describe('apply', () => {
  it('skips values in force and sends the other edits in order (guards against a repeated run that edits twice)', async () => {
    const file = path.join(directory, 'edits.ini');
    await fs.writeFile(
      file,
      `[${entry.key}]\nvalue = 50\n[solano/exceptions/m/urgency]\nvalue = batch\nreason = audit\n[solano/models/m]\nvalue = {"version":"2"}\n`,
    );
    const result = await run(['apply', file]);
    expect(result.code).toBe(0);
    expect(result.stdout).toContain('2 accepted, 0 pending, 1 unchanged, 0 failed, 0 not sent');
    expect(receivedRequests.filter(({ method }) => method === 'POST').map(({ body }) => body)).toEqual([
      { key: 'solano/exceptions/m/urgency', value: 'batch', basedOn: null, reason: 'audit' },
      { key: 'solano/models/m', value: { version: '2' }, basedOn: null, reason: '' },
    ]);
  });

  it('stops at a failed edit (guards against a partly applied file that goes unnoticed)', async () => {
    const file = path.join(directory, 'edits.json');
    const edits = [1, 2].map((value) => ({ key: `solano/defaults/field${value}`, value, reason: 'x' }));
    await fs.writeFile(file, JSON.stringify(edits));
    scriptedResponses.set('POST /v1/edits', {
      status: 422,
      body: { error: { type: 'unknown_key', message: 'no', executed: 'no' } },
    });
    const result = await run(['apply', file]);
    expect(result.code).toBe(3);
    expect(result.stdout).toContain('1 failed, 1 not sent');
  });

  it('sends no edit of a file with a problem (guards against a partly applied file)', async () => {
    const file = path.join(directory, 'bad.ini');
    await fs.writeFile(file, `[${entry.key}]\nvalue = 60\n[solano/defaults/urgency]\nvalu = batch\n`);
    const result = await run(['apply', file]);
    expect(result.code).toBe(1);
    expect(result.stderr).toContain('did you mean "value"');
    expect(receivedRequests).toEqual([]);
  });
});

describe('commands that read', () => {
  it('shows a key with its author, reason and daemons (guards against values of unknown origin)', async () => {
    const { code, stdout } = await run(['show', entry.key]);
    expect(code).toBe(0);
    for (const text of ['mara (solano)', 'short queues', 'entry-1', 'up to date']) {
      expect(stdout).toContain(text);
    }
    expect(JSON.parse((await run(['show', '--json'])).stdout)).toEqual(configuration);
  });

  it('prints and exports events with all fields (guards against an export that loses fields)', async () => {
    const event = {
      time: { wallMs: 1000, counter: 2 },
      daemon: 'entry-1',
      part: 'owner',
      event: 'loadDecided',
      replica: 9,
    };
    const body = { events: [event], truncated: [], silent: [{ daemon: 'entry-2', reason: 'timeout' }] };
    scriptedResponses.set('GET /v1/timeline', { status: 200, body });
    const printed = await run(['timeline', '--replica', '9', '--since', '10m']);
    expect(printed.stdout).toContain('1970-01-01 00:00:01.000.002  entry-1  owner: loadDecided  replica=9');
    expect(printed.stderr).toContain('entry-2 did not answer');
    const file = path.join(directory, 'events.jsonl');
    await run(['timeline', '--export', file]);
    expect(JSON.parse(await fs.readFile(file, 'utf8'))).toEqual(event);
  });

  it('prints late events with --follow and repeats none (guards against events lost between two reads)', async () => {
    const event = { time: { wallMs: 9000, counter: 0 }, daemon: 'entry-1', part: 'owner', event: 'first' };
    const late = { ...event, time: { wallMs: 8000, counter: 0 }, daemon: 'entry-2', event: 'late' };
    const body = { events: [event], truncated: [], silent: [] };
    scriptedResponses.set('GET /v1/timeline', { status: 200, body });
    const env = { PATH: process.env.PATH, JAYHAVEN_ADDRESS: `127.0.0.1:${listener.port}`, JAYHAVEN_KEY: 'secret' };
    const child = childProcess.spawn(process.execPath, [binary, 'timeline', '--follow'], { env });
    const output: string[] = [];
    child.stdout.on('data', (chunk: Buffer) => output.push(chunk.toString()));
    await expect.poll(() => output.join(''), { timeout: 20_000 }).toContain('owner: first');
    scriptedResponses.set('GET /v1/timeline', { status: 200, body: { ...body, events: [late, event] } });
    await expect.poll(() => output.join(''), { timeout: 20_000 }).toContain('owner: late');
    const reads = receivedRequests.length;
    await expect.poll(() => receivedRequests.length, { timeout: 20_000 }).toBeGreaterThan(reads + 1);
    child.kill();
    expect(output.join('').trimEnd().split('\n')).toHaveLength(2);
  });

  it('reads address and key from a settings file (guards against keys in process lists)', async () => {
    const file = path.join(directory, 'client.ini');
    await fs.writeFile(file, `[jayhaven]\naddress = 127.0.0.1:${listener.port}\nkey = from-file\n`);
    const result = await run(['show', '--config', file], { JAYHAVEN_ADDRESS: '', JAYHAVEN_KEY: '' });
    expect(result).toMatchObject({ code: 0 });
    expect(receivedRequests[0]?.authorization).toBe('Bearer from-file');
  });
});

describe('usage', () => {
  it.each([
    [['edit', 'key-only']],
    [['statsu']],
    [['show', '--unknown']],
    [['show', '--address', 'localhost:80']],
    [['timeline', '--since', 'yesterday']],
    [['drain', '--address', '127.0.0.1:1,127.0.0.1:2']],
  ])('exits with code 2 for %j (guards against a mistyped command that does something else)', async (argv) => {
    expect((await run(argv)).code).toBe(2);
    expect(receivedRequests).toEqual([]);
  });

  it('checks a settings file without a daemon (guards against problems found only at startup)', async () => {
    expect(await run(['check', exampleSettings])).toMatchObject({ code: 0 });
    const file = path.join(directory, 'jayhavend.ini');
    await fs.writeFile(file, (await fs.readFile(exampleSettings, 'utf8')).replace('cell = north', 'cel = north'));
    const result = await run(['check', file]);
    expect(result.code).toBe(1);
    expect(result.stderr).toContain('unknown key "cel"; did you mean "cell"?');
  });

  it('lists the commands and the exit codes (guards against an undocumented command)', async () => {
    const { stdout } = await run(['--help']);
    for (const name of ['apply', 'approve', 'check', 'drain', 'edit', 'history', 'owners', 'queues', 'refusals']) {
      expect(stdout).toMatch(new RegExp(`^  ${name} `, 'm'));
    }
    expect(stdout).toContain('EXIT CODES');
  });
});
