import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import * as standins from '@jayhaven/standins';
import type * as types from '../../Types.js';
import { openFront } from '../openFront.js';
import { FakeControlPlane } from './FakeControlPlane.js';

/** A response as read by a test. */
export interface TestResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  /** Whether the response was received completely according to its framing. */
  readonly complete: boolean;
}

/** A request of a test. */
export interface TestRequest {
  readonly method?: string;
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Bearer key of the caller of Solano; that of Cascade is `cascade-key`. */
export const solanoKey = 'solano-key';

/** A front with a fake control plane and stand-in engines. */
export class FrontFixture implements AsyncDisposable {
  public readonly controlPlane = new FakeControlPlane(['solano', 'cascade']);
  public readonly wakes: types.WakeRequest[] = [];
  public readonly usage: types.UsageEntry[] = [];
  public readonly events: Omit<common.TimelineEvent, 'time' | 'daemon'>[] = [];
  public readonly digests = new Map<string, decisions.LoadDigest>();
  public readonly leaving = new Set<string>();
  public readonly engines: standins.Engine[] = [];
  public front!: types.FrontPart;
  /** Response of the owner to a wake; tests may replace it. */
  public respondToWake: () => Promise<common.Outcome<types.WakeAnswer, types.WakeFailure>> = () =>
    Promise.resolve(common.succeed({ kind: 'expected', readyInMs: 100 }));
  private readonly _resources = new common.DisposalRegistry();

  /** Opens a front; `limits` and `stop` override the defaults. */
  public static async open(
    limits: Partial<types.DaemonSettings['limits']> = {},
    stop: types.DaemonSettings['stop'] = { announceMs: 0, limitMs: 5_000 },
    leaseMs = 6_000,
  ): Promise<FrontFixture> {
    const fixture = new FrontFixture();
    const context = fixture._context(limits, stop, leaseMs);
    const client: types.OwnerClient = {
      wake: (request) => {
        fixture.wakes.push(request);
        return fixture.respondToWake();
      },
      reportUsage: (entries) => {
        fixture.usage.push(...entries);
      },
    };
    const loads: types.LoadView = {
      subscribe: () => undefined,
      digest: (target) => fixture.digests.get(target),
      isLeaving: (vm) => fixture.leaving.has(vm),
    };
    fixture.front = fixture._resources.register(await openFront(context, fixture.controlPlane, client, loads));
    fixture.controlPlane.configure('solano/models/walk', {
      version: '1',
      weightBytes: [1e9],
      cacheBytes: 0,
      expectedLoadMilliseconds: 1_000,
    });
    return fixture;
  }

  /** Starts an engine on its own VM. With `load`, the model `solano/walk` is loaded there. */
  public async addEngine(vm: string, load: boolean, options: standins.EngineOptions = {}): Promise<standins.Engine> {
    const engine = this._resources.register(
      await standins.Engine.open({ loadMs: 1, tokenMs: 2, firstTokenMs: 2, ...options }),
    );
    this.engines.push(engine);
    this.controlPlane.setVm(vm, 'live', { address: `127.0.0.1:${engine.port}` });
    if (load) {
      await this.loadModel(engine);
      this.controlPlane.setReplica({ replica: this.engines.length, vm });
    }
    return engine;
  }

  /** Loads `solano/walk` on an engine. */
  public async loadModel(engine: standins.Engine): Promise<void> {
    const base = `http://127.0.0.1:${engine.port}`;
    await post(`${base}/v2/repository/models/${encodeURIComponent('solano/walk')}/load`, {
      parameters: { version: '1', bytes: [1e9], fencing_token: 1 },
    });
    for (;;) {
      const index = (await post(`${base}/v2/repository/index`, {})) as { readonly state: string }[];
      if (index.some(({ state }) => state === 'READY')) {
        return;
      }
    }
  }

  /** Injects faults into a stand-in. */
  public async setFaults(target: { readonly port: number }, faults: unknown): Promise<void> {
    await post(`http://127.0.0.1:${target.port}/control`, faults);
  }

  /** Registers a resource that is disposed of with the fixture. */
  public register<Resource extends common.Disposable>(resource: Resource): Resource {
    return this._resources.register(resource);
  }

  /** Sends a request to the front as the caller of Solano and reads the complete response. */
  public send(request: TestRequest): Promise<TestResponse> {
    return new Promise((resolve, reject) => {
      const payload =
        request.body === undefined
          ? undefined
          : Buffer.from(typeof request.body === 'string' ? request.body : JSON.stringify(request.body));
      const outgoing = http.request(
        {
          host: '127.0.0.1',
          port: this.front.port,
          path: request.path,
          method: request.method ?? (payload ? 'POST' : 'GET'),
          agent: false,
          headers: {
            authorization: `Bearer ${solanoKey}`,
            ...(payload ? { 'content-length': payload.length } : {}),
            ...request.headers,
          },
        },
        (response) => {
          const chunks: Buffer[] = [];
          response.on('data', (chunk: Buffer) => chunks.push(chunk));
          response.on('error', () => undefined);
          response.on('close', () => {
            const text = Buffer.concat(chunks).toString('utf8');
            resolve({ status: response.statusCode ?? 0, headers: response.headers, text, complete: response.complete });
          });
        },
      );
      outgoing.on('error', reject);
      outgoing.end(payload);
    });
  }

  /** Sends a chat completion for `walk`. */
  public chat(
    prompt: string,
    options: { readonly stream?: boolean; readonly tokens?: number; readonly headers?: Record<string, string> } = {},
  ): Promise<TestResponse> {
    const body = {
      model: 'walk',
      stream: options.stream ?? false,
      max_tokens: options.tokens ?? 8,
      messages: [{ role: 'user', content: prompt }],
    };
    return this.send({ path: '/v1/chat/completions', body, headers: options.headers ?? {} });
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this._resources[Symbol.asyncDispose]();
  }

  private _context(
    limits: Partial<types.DaemonSettings['limits']>,
    stop: types.DaemonSettings['stop'],
    leaseMs: number,
  ): types.DaemonContext {
    const anyPort = { host: '127.0.0.1', port: 0 };
    return {
      settings: {
        daemon: { name: 'test', vm: 'entry-1', failureDomain: 'a', cell: 'cell', logLevel: 'silent' },
        listen: { callers: anyPort, peers: anyPort, operators: anyPort },
        platform: {
          logUrl: '',
          vmListUrl: '',
          topicPrefix: '',
          claimPartitions: 1,
          logRetentionMs: 1,
          logTimeoutMs: 1,
        },
        owner: {
          leaseMs,
          renewMs: 2_000,
          loadsPerSecond: 4,
          maximumConcurrentLoads: 4,
          maximumAdaptersInTransit: 30,
          orderDeliveryMs: 30_000,
        },
        limits: {
          maximumBodyBytes: 64 * 1024,
          maximumHeaderBytes: 8 * 1024,
          maximumDeadlineMs: 60_000,
          maximumWaitingRequests: 100,
          retryBudget: 0.2,
          idempotencyWindowMs: 86_400_000,
          ...limits,
        },
        stop,
        seedPeers: [],
        partners: ['solano', 'cascade'],
        callers: [credential('solano', solanoKey), credential('cascade', 'cascade-key')],
        operators: [],
      },
      logger: common.createLogger('test', 'silent'),
      timeline: {
        record: (event) => {
          this.events.push(event);
        },
      },
      clock: new common.HybridClock(),
      now: () => performance.now(),
      wallNow: () => Date.now(),
    };
  }
}

/** The text that the engine generates for `chat(prompt)`. */
export function expectedText(prompt: string, tokens = 8): string {
  return standins.answerText(`user: ${prompt}`, tokens);
}

/** Joins the texts of the chunks of a stream. */
export function streamText(text: string): string {
  let joined = '';
  for (const event of text.split('\n\n')) {
    if (event.startsWith('data: {')) {
      const chunk = JSON.parse(event.slice('data: '.length)) as {
        readonly choices?: { readonly delta?: { readonly content?: string } }[];
      };
      joined += chunk.choices?.[0]?.delta?.content ?? '';
    }
  }
  return joined;
}

function credential(partner: string, key: string): types.Credential {
  return { name: `${partner}-caller`, partner, keySha256: crypto.createHash('sha256').update(key).digest('hex') };
}

async function post(url: string, body: unknown): Promise<unknown> {
  const response = await fetch(url, {
    method: 'POST',
    body: JSON.stringify(body),
    headers: { 'content-type': 'application/json' },
  });
  return response.json();
}
