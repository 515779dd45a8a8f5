import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as common from '@jayhaven/common';
import { AttemptWatch } from '../routing/AttemptWatch.js';
import { ModelCatalog } from '../routing/ModelCatalog.js';
import { notRun } from '../routing/refusals.js';
import { ServiceTargets } from '../routing/ServiceTargets.js';
import { RetryAllowance } from '../routing/RetryAllowance.js';
import { Router } from '../routing/Router.js';
import type { CallerError } from '../routing/Types.js';
import { UsageReporter } from '../routing/UsageReporter.js';
import { WaitingRoom } from '../routing/WaitingRoom.js';
import type * as types from '../Types.js';
import { sendError } from './answers.js';
import { BodyReader } from './BodyReader.js';
import { answerTimeMs } from './CallerAnswer.js';
import { processStalls } from './EventLoopStalls.js';
import { CallerDirectory } from './CallerDirectory.js';
import { CallerServer } from './CallerServer.js';
import { parseCompletionBody, type CompletionKind } from './completionBody.js';
import { CompletionCall, type CompletionParts } from './CompletionCall.js';
import { FrontMetrics } from './FrontMetrics.js';
import { InFlightRequests } from './InFlightRequests.js';
import { newRequestId, readRequestHeaders, readRequestId } from './requestHeaders.js';
import { ServiceCall, type ServiceParts } from './ServiceCall.js';
import type { CallerRequest } from './Types.js';

/** Unfinished requests that are named in the log at the stop limit. */
const maximumLoggedIds = 20;
/** Idle connections kept to one target. */
const maximumIdleConnections = 64;

/** The callers' interface: routes requests to their handlers, and drains. */
export class Front implements types.FrontComponent {
  private readonly _resources = new common.DisposalRegistry();
  private readonly _callers: CallerDirectory;
  private readonly _bodies: BodyReader;
  private readonly _metrics: FrontMetrics;
  private readonly _parts: CompletionParts;
  private readonly _serviceParts: ServiceParts;
  private readonly _keyPrefix = crypto.randomBytes(6).toString('hex');
  private _server: CallerServer | undefined;
  private _requestCount = 0;
  private readonly _inFlight = new InFlightRequests();
  private _draining: Promise<{ readonly unfinished: number }> | undefined;

  public constructor(
    private readonly _context: types.DaemonContext,
    private readonly _controlPlane: types.ControlPlane,
    client: types.OwnerClient,
    loads: types.LoadView,
  ) {
    const { settings } = _context;
    const catalog = new ModelCatalog(_controlPlane.log);
    const router = new Router(catalog, loads);
    const room = new WaitingRoom(_context, {
      client,
      isRoutable: (model, nowMs) => router.isRoutable(model, nowMs),
      failingUntilMs: (model, nowMs) => router.failingUntilMs(model, nowMs),
      isCurrent: (model) => catalog.isCurrent(model),
    });
    this._callers = new CallerDirectory(settings.callers);
    this._bodies = new BodyReader(settings.limits.maximumBodyBytes);
    this._metrics = new FrontMetrics(() => ({ inFlight: this._inFlight.size, waiting: this._waitingCount() }));
    const agent = new http.Agent({ keepAlive: true, maxFreeSockets: maximumIdleConnections });
    const retries = new RetryAllowance(settings.limits.retryBudget);
    const usage = new UsageReporter(client);
    const watch = new AttemptWatch(_controlPlane.log, loads, _context.now);
    this._parts = { context: _context, catalog, router, room, agent, watch, retries, usage, metrics: this._metrics };
    this._serviceParts = {
      context: _context,
      log: _controlPlane.log,
      claims: _controlPlane.claims,
      targets: new ServiceTargets(_controlPlane.log, loads, _context.now),
      retries,
      metrics: this._metrics,
    };
    this._resources.register(() => {
      agent.destroy();
    });
    this._resources.register(watch);
    this._resources.register(usage);
    this._resources.register(room);
    this._resources.register(this._watchLog(room));
  }

  /** Port of the callers' interface. */
  public get port(): number {
    return this._server?.port ?? 0;
  }

  /** Binds the address of the settings. */
  public async listen(): Promise<void> {
    const { listen, limits } = this._context.settings;
    this._server = await CallerServer.open(listen.callers, limits.maximumHeaderBytes, (incoming, response) => {
      this._receive(incoming, response);
    });
    this._resources.register(this._server);
  }

  public drain(): Promise<{ readonly unfinished: number }> {
    this._draining ??= this._drain();
    return this._draining;
  }

  public status(): types.FrontStatus {
    const nowMs = this._context.now();
    const waiting = this._parts.room.queues.map(({ model, waiters }) => ({
      partner: model.settings.partner,
      model: model.queue,
      count: waiters.length,
      oldestMs: Math.round(nowMs - waiters.reduce((oldest, waiter) => Math.min(oldest, waiter.arrivedMs), nowMs)),
    }));
    return { inFlight: this._inFlight.size, draining: this._draining !== undefined, waiting };
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this._resources[Symbol.asyncDispose]();
  }

  private _watchLog(room: WaitingRoom): common.Unsubscribe {
    return this._controlPlane.log.onChange(({ record, verdict }) => {
      if (verdict.kind === 'accepted') {
        room.stateChanged(record.body.kind === 'ownerClaimed');
      }
    });
  }

  private async _drain(): Promise<{ readonly unfinished: number }> {
    const { announceMs, limitMs } = this._context.settings.stop;
    const limit = this._context.now() + limitMs;
    this._context.logger.info('draining', { inFlight: this._inFlight.size, announceMs });
    this._inFlight.announceClose();
    await timers.setTimeout(Math.min(announceMs, limitMs));
    void this._server?.stopAccepting();
    await this._inFlight.waitUntilQuiet(this._context.now, limit);
    const unfinished = this._inFlight.size;
    if (unfinished > 0) {
      const requests = this._inFlight.ids(maximumLoggedIds);
      this._context.logger.warn('requests are unfinished at the stop limit', { unfinished, requests });
    }
    return { unfinished };
  }

  private _receive(incoming: http.IncomingMessage, response: http.ServerResponse): void {
    const requestId = readRequestId(incoming.headers);
    if (this._draining) {
      response.shouldKeepAlive = false;
    }
    incoming.on('error', () => undefined);
    response.on('error', () => undefined);
    if (requestId === undefined) {
      const message = 'X-Request-Id must be 1 to 128 letters, digits or any of ._:-';
      this._refuse(incoming, response, notRun(400, 'invalid_header', message), newRequestId());
      return;
    }
    const url = incoming.url ?? '/';
    const queryAt = url.indexOf('?');
    const path = queryAt < 0 ? url : url.slice(0, queryAt);
    if (this._receiveOpen(incoming, response, path)) {
      return;
    }
    const caller = this._callers.authenticate(incoming.headers.authorization);
    if (!caller) {
      this._refuse(incoming, response, notRun(401, 'unauthorized', 'the bearer key is unknown'), requestId);
      return;
    }
    const headers = readRequestHeaders(incoming.headers, this._context.settings.limits.maximumDeadlineMs);
    if (!headers.ok) {
      this._refuse(incoming, response, headers.failure, requestId);
      return;
    }
    this._requestCount += 1;
    const request: CallerRequest = {
      incoming,
      response,
      caller,
      requestId,
      requestKey: `${this._keyPrefix}-${this._requestCount}`,
      path,
      query: queryAt < 0 ? '' : url.slice(queryAt),
      ...headers.value,
      arrivedMs: this._context.now(),
    };
    this._route(request);
  }

  /** Paths without a key. */
  private _receiveOpen(incoming: http.IncomingMessage, response: http.ServerResponse, path: string): boolean {
    if (incoming.method !== 'GET' && incoming.method !== 'HEAD') {
      return false;
    }
    if (path === '/healthz') {
      common.sendJson(response, 200, { status: 'ok' });
    } else if (path === '/readyz') {
      const ready = !this._draining && this._controlPlane.log.lag.source !== 'none';
      common.sendJson(response, ready ? 200 : 503, { status: ready ? 'ready' : 'not ready' });
    } else if (path === '/metrics') {
      void this._sendMetrics(response);
    } else {
      return false;
    }
    return true;
  }

  private async _sendMetrics(response: http.ServerResponse): Promise<void> {
    const text = await this._metrics.registry.metrics();
    response.writeHead(200, { 'content-type': this._metrics.registry.contentType }).end(text);
  }

  private _route(request: CallerRequest): void {
    const { incoming, response, path, requestId } = request;
    const kind = completionPaths.get(path);
    if (kind) {
      this._track(request, 'completion', 'POST', () => this._complete(request, kind));
    } else if (path === '/v1/models') {
      this._track(request, 'models', 'GET', () => this._listModels(request));
    } else if (/^\/services\/[^/]+/.test(path)) {
      this._track(request, 'service', undefined, () => this._callService(request));
    } else {
      this._refuse(incoming, response, notRun(404, 'not_found', 'no such path'), requestId);
    }
  }

  /** Runs a handler and counts the request as in flight until it has ended. */
  private _track(request: CallerRequest, kind: string, method: string | undefined, run: () => Promise<string>): void {
    if (method !== undefined && request.incoming.method !== method) {
      request.response.setHeader('allow', method);
      const error = notRun(405, 'method_not_allowed', `use ${method}`);
      this._refuse(request.incoming, request.response, error, request.requestId);
      return;
    }
    this._inFlight.add(request);
    void run().then((outcome) => {
      const nowMs = this._context.now();
      this._inFlight.remove(request, nowMs);
      this._metrics.finished(request.caller.partner, kind, outcome, nowMs - request.arrivedMs);
    });
  }

  private _complete(request: CallerRequest, kind: CompletionKind): Promise<string> {
    return this._withBody(request, async (raw) => {
      const body = parseCompletionBody(kind, raw);
      return body.ok
        ? new CompletionCall(this._parts, request, kind, body.value).run()
        : this._refuse(request.incoming, request.response, body.failure, request.requestId);
    });
  }

  private _callService(request: CallerRequest): Promise<string> {
    return this._withBody(request, (raw) => new ServiceCall(this._serviceParts, request, raw).run());
  }

  private async _withBody(request: CallerRequest, run: (raw: Buffer) => Promise<string>): Promise<string> {
    const stallMs = processStalls.recentMaximumMs(this._context.now());
    const timeoutMs = request.deadlineMs === undefined ? undefined : answerTimeMs(request.deadlineMs, stallMs);
    const raw = await this._bodies.read(request.incoming, request.caller.partner, timeoutMs);
    if (!raw.ok) {
      return this._refuse(request.incoming, request.response, raw.failure, request.requestId);
    }
    try {
      return await run(raw.value);
    } finally {
      this._bodies.release(request.caller.partner, raw.value.length);
    }
  }

  private _listModels(request: CallerRequest): Promise<string> {
    const { partner } = request.caller;
    const data = this._parts.catalog
      .names(partner)
      .map((id) => ({ id, object: 'model', created: 0, owned_by: partner }));
    common.sendJson(request.response, 200, { object: 'list', data }, { 'x-request-id': request.requestId });
    return Promise.resolve('ok');
  }

  private _refuse(
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
    error: CallerError,
    requestId: string,
  ): string {
    this._metrics.refused(error.type);
    sendError(response, error, requestId);
    if (!incoming.complete) {
      this._bodies.discard(incoming);
    }
    return error.type;
  }

  private _waitingCount(): number {
    return this._parts.room.queues.reduce((sum, queue) => sum + queue.waiters.length, 0);
  }
}

const completionPaths: ReadonlyMap<string, CompletionKind> = new Map([
  ['/v1/chat/completions', 'chat'],
  ['/v1/completions', 'text'],
]);
