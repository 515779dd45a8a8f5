import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as common from '@jayhaven/common';
import { AttemptWatch } from '../routing/AttemptWatch.js';
import { ModelCatalog } from '../routing/ModelCatalog.js';
import { notExecuted } from '../routing/callerErrors.js';
import { ServiceTargets } from '../routing/ServiceTargets.js';
import { RetryBudget } from '../routing/RetryBudget.js';
import { Router } from '../routing/Router.js';
import type { CallerError } from '../routing/Types.js';
import { UsageReporter } from '../routing/UsageReporter.js';
import { WaitingRoom } from '../routing/WaitingRoom.js';
import type * as types from '../Types.js';
import { sendError } from './errorResponses.js';
import { BodyReader } from './BodyReader.js';
import { responseLimitMs } from './CallerResponse.js';
import { processStalls } from './EventLoopStalls.js';
import { CallerDirectory } from './CallerDirectory.js';
import { CallerServer } from './CallerServer.js';
import { parseCompletionBody, type CompletionKind } from './completionBody.js';
import { CompletionCall, type CompletionDependencies } from './CompletionCall.js';
import { DrainEnd, finalResponseMs } from './DrainEnd.js';
import { FrontMetrics } from './FrontMetrics.js';
import { InFlightRequests } from './InFlightRequests.js';
import { newRequestId, readRequestHeaders, readRequestId } from './requestHeaders.js';
import { ServiceCall, type ServiceDependencies } from './ServiceCall.js';
import type { CallerRequest } from './Types.js';

/** Maximum number of unfinished requests whose ids are logged at the stop limit. */
const maximumLoggedIds = 20;
/** Maximum number of idle connections to one target. */
const maximumIdleConnections = 64;

/** HTTP interface for callers: dispatches requests to their handlers and drains them before a stop. */
export class Front implements types.FrontComponent {
  private readonly _resources = new common.DisposalRegistry();
  private readonly _callerDirectory: CallerDirectory;
  private readonly _bodyReader: BodyReader;
  private readonly _metrics: FrontMetrics;
  private readonly _completionDependencies: CompletionDependencies;
  private readonly _serviceDependencies: ServiceDependencies;
  private readonly _keyPrefix = crypto.randomBytes(6).toString('hex');
  private _server: CallerServer | undefined;
  private _requestCount = 0;
  private readonly _inFlight = new InFlightRequests();
  private readonly _drainEnd = new DrainEnd();
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
    const waitingRoom = new WaitingRoom(_context, {
      client,
      isRoutable: (model, nowMs) => router.isRoutable(model, nowMs),
      failingUntilMs: (model, nowMs) => router.failingUntilMs(model, nowMs),
      isCurrent: (model) => catalog.isCurrent(model),
    });
    this._callerDirectory = new CallerDirectory(settings.callers);
    this._bodyReader = new BodyReader(settings.limits.maximumBodyBytes);
    this._metrics = new FrontMetrics(() => ({ inFlight: this._inFlight.size, waiting: this._waitingCount() }));
    const agent = new common.PacedAgent({ keepAlive: true, maxFreeSockets: maximumIdleConnections });
    const retries = new RetryBudget(settings.limits.retryBudget);
    const usage = new UsageReporter(client);
    const watch = new AttemptWatch(_controlPlane.log, loads, _context.now);
    this._completionDependencies = {
      context: _context,
      catalog,
      router,
      waitingRoom,
      agent,
      watch,
      retries,
      usage,
      metrics: this._metrics,
    };
    this._serviceDependencies = {
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
    this._resources.register(waitingRoom);
    this._resources.register(this._subscribeToLog(waitingRoom));
  }

  /** The bound port. */
  public get port(): number {
    return this._server?.port ?? 0;
  }

  /** Starts listening on the configured address. */
  public async listen(): Promise<void> {
    const { listen, limits } = this._context.settings;
    this._server = await CallerServer.open(listen.callers, limits.maximumHeaderBytes, (incoming, response) => {
      this._handleRequest(incoming, response);
    });
    this._resources.register(this._server);
  }

  public drain(): Promise<{ readonly unfinished: number }> {
    this._draining ??= this._drain();
    return this._draining;
  }

  public status(): types.FrontStatus {
    const nowMs = this._context.now();
    const waiting = this._completionDependencies.waitingRoom.queues.map(({ model, requests }) => ({
      partner: model.settings.partner,
      model: model.queue,
      count: requests.length,
      oldestMs: Math.round(nowMs - requests.reduce((oldest, request) => Math.min(oldest, request.arrivedMs), nowMs)),
    }));
    return { inFlight: this._inFlight.size, draining: this._draining !== undefined, waiting };
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this._resources[Symbol.asyncDispose]();
  }

  private _subscribeToLog(waitingRoom: WaitingRoom): common.Unsubscribe {
    return this._controlPlane.log.onChange(({ record, verdict }) => {
      if (verdict.kind === 'accepted') {
        waitingRoom.notifyStateChange(record.body.kind === 'ownerClaimed');
      }
    });
  }

  private async _drain(): Promise<{ readonly unfinished: number }> {
    const { announceMs, limitMs } = this._context.settings.stop;
    const limit = this._context.now() + limitMs;
    this._context.logger.info('draining', { inFlight: this._inFlight.size, announceMs });
    for (const { incoming } of this._inFlight.requests) {
      this._server?.closeConnection(incoming);
    }
    await timers.setTimeout(Math.min(announceMs, limitMs));
    void this._server?.stopAccepting();
    await this._inFlight.waitUntilIdle(this._context.now, limit - finalResponseMs);
    const requests = this._inFlight.ids(maximumLoggedIds);
    this._drainEnd.reach();
    await this._inFlight.waitUntilIdle(this._context.now, limit);
    const unfinished = this._inFlight.size + this._drainEnd.abortedCount;
    if (unfinished > 0) {
      this._context.logger.warn('requests are unfinished at the stop limit', { unfinished, requests });
    }
    return { unfinished };
  }

  private _handleRequest(incoming: http.IncomingMessage, response: http.ServerResponse): void {
    const requestId = readRequestId(incoming.headers);
    if (this._draining) {
      this._server?.closeConnection(incoming);
    }
    incoming.on('error', () => undefined);
    response.on('error', () => undefined);
    const fault = common.requestHeadFault(incoming);
    if (fault !== undefined) {
      this._refuse(incoming, response, notExecuted(400, 'malformed_request', fault), requestId ?? newRequestId());
      return;
    }
    if (requestId === undefined) {
      const message = 'X-Request-Id must be 1 to 128 letters, digits or any of ._:-';
      this._refuse(incoming, response, notExecuted(400, 'invalid_header', message), newRequestId());
      return;
    }
    const url = incoming.url ?? '/';
    const queryIndex = url.indexOf('?');
    const path = queryIndex < 0 ? url : url.slice(0, queryIndex);
    if (this._handleUnauthenticated(incoming, response, path)) {
      return;
    }
    if (this._drainEnd.isReached) {
      this._refuse(incoming, response, this._drainEnd.error('no'), requestId);
      return;
    }
    const caller = this._callerDirectory.authenticate(incoming.headers.authorization);
    if (!caller) {
      this._refuse(incoming, response, notExecuted(401, 'unauthorized', 'the bearer key is unknown'), requestId);
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
      query: queryIndex < 0 ? '' : url.slice(queryIndex),
      ...headers.value,
      arrivedMs: this._context.now(),
      drainEnd: this._drainEnd,
    };
    this._route(request);
  }

  /** Serves the paths that need no bearer key. Returns whether the request was handled. */
  private _handleUnauthenticated(incoming: http.IncomingMessage, response: http.ServerResponse, path: string): boolean {
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
      this._track(request, 'completion', 'POST', () => this._handleCompletion(request, kind));
    } else if (path === '/v1/models') {
      this._track(request, 'models', 'GET', () => this._listModels(request));
    } else if (/^\/services\/[^/]+/.test(path)) {
      this._track(request, 'service', undefined, () => this._handleService(request));
    } else {
      this._refuse(incoming, response, notExecuted(404, 'not_found', 'no such path'), requestId);
    }
  }

  /** Runs a handler and counts the request as in flight until it has ended. */
  private _track(request: CallerRequest, kind: string, method: string | undefined, run: () => Promise<string>): void {
    if (method !== undefined && request.incoming.method !== method) {
      request.response.setHeader('allow', method);
      const error = notExecuted(405, 'method_not_allowed', `use ${method}`);
      this._refuse(request.incoming, request.response, error, request.requestId);
      return;
    }
    this._inFlight.add(request);
    void run().then((outcome) => {
      const nowMs = this._context.now();
      this._inFlight.remove(request, nowMs);
      this._metrics.countFinished(request.caller.partner, kind, outcome, nowMs - request.arrivedMs);
    });
  }

  private _handleCompletion(request: CallerRequest, kind: CompletionKind): Promise<string> {
    return this._withBody(request, async (raw) => {
      const body = parseCompletionBody(kind, raw);
      return body.ok
        ? new CompletionCall(this._completionDependencies, request, kind, body.value).run()
        : this._refuse(request.incoming, request.response, body.failure, request.requestId);
    });
  }

  private _handleService(request: CallerRequest): Promise<string> {
    return this._withBody(request, (raw) => new ServiceCall(this._serviceDependencies, request, raw).run());
  }

  private async _withBody(request: CallerRequest, run: (raw: Buffer) => Promise<string>): Promise<string> {
    const stallMs = processStalls.recentMaximumMs(this._context.now());
    const timeoutMs = request.deadlineMs === undefined ? undefined : responseLimitMs(request.deadlineMs, stallMs);
    const raw = await this._bodyReader.read(request.incoming, request.caller.partner, timeoutMs, request.drainEnd);
    if (!raw.ok) {
      return this._refuse(request.incoming, request.response, raw.failure, request.requestId);
    }
    try {
      return await run(raw.value);
    } finally {
      this._bodyReader.release(request.caller.partner, raw.value.length);
    }
  }

  private _listModels(request: CallerRequest): Promise<string> {
    const { partner } = request.caller;
    const data = this._completionDependencies.catalog
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
    this._metrics.countRefused(error.type);
    sendError(response, error, requestId);
    if (!incoming.complete) {
      this._bodyReader.discard(incoming);
    }
    return error.type;
  }

  private _waitingCount(): number {
    return this._completionDependencies.waitingRoom.queues.reduce((sum, queue) => sum + queue.requests.length, 0);
  }
}

const completionPaths: ReadonlyMap<string, CompletionKind> = new Map([
  ['/v1/chat/completions', 'chat'],
  ['/v1/completions', 'text'],
]);
