import type * as http from 'node:http';
import * as common from '@jayhaven/common';
import type { DaemonContext } from '../Types.js';
import { errorAnswer } from './answers.js';
import { authenticate } from './authenticate.js';
import type { Answer, OperatorRequest, Route } from './Types.js';

/** Largest body that an operator may send, bytes. */
const maximumBodyBytes = 64 * 1024;

/** Authenticates requests, reads their bodies and dispatches them to routes. */
export class OperatorServer {
  private readonly _logger: common.Logger;

  public constructor(
    private readonly _context: DaemonContext,
    private readonly _routes: readonly Route[],
  ) {
    this._logger = _context.logger.child('operators');
  }

  /** Handles one request; the listener calls it. */
  public readonly handle: http.RequestListener = (request, response) => {
    this._answer(request).then(
      (answer) => {
        this._log(request, answer);
        common.sendJson(response, answer.status, answer.body, answer.headers);
      },
      (error: unknown) => {
        this._logger.error('request failed', { method: request.method, url: request.url, error: String(error) });
        const answer = errorAnswer(500, 'internal_error', 'the daemon failed to answer', { executed: 'unknown' });
        common.sendJson(response, answer.status, answer.body, answer.headers);
      },
    );
  };

  private async _answer(request: http.IncomingMessage): Promise<Answer> {
    const operator = authenticate(request.headers.authorization, this._context.settings.operators);
    if (!operator) {
      const headers = { 'www-authenticate': 'Bearer realm="jayhaven operators"' };
      return errorAnswer(401, 'unauthorized', 'send the bearer key of an operator', { headers });
    }
    const target = `http://daemon${request.url ?? '/'}`;
    if (!URL.canParse(target)) {
      return errorAnswer(400, 'invalid_url', 'the request target is not a path');
    }
    const url = new URL(target);
    const candidates = this._routes.filter((route) => route.path === url.pathname);
    const route = candidates.find((candidate) => candidate.method === request.method);
    if (!route) {
      return refuseRoute(url.pathname, candidates);
    }
    const query = Object.fromEntries(url.searchParams);
    if (route.method === 'GET') {
      return route.run({ operator, query, body: undefined });
    }
    return this._runWithBody(request, route, { operator, query });
  }

  private async _runWithBody(
    request: http.IncomingMessage,
    route: Route,
    rest: Omit<OperatorRequest, 'body'>,
  ): Promise<Answer> {
    if (Number(request.headers['content-length'] ?? 0) > maximumBodyBytes) {
      const headers = { connection: 'close' };
      return errorAnswer(413, 'body_too_large', `body is larger than ${maximumBodyBytes} bytes`, { headers });
    }
    let text: string;
    try {
      text = await common.readBody(request, maximumBodyBytes);
    } catch (error) {
      return errorAnswer(400, 'incomplete_body', `body cannot be read: ${String(error)}`);
    }
    let body: unknown;
    try {
      body = text === '' ? {} : JSON.parse(text);
    } catch (error) {
      return errorAnswer(400, 'invalid_json', `body is not JSON: ${String(error)}`);
    }
    return route.run({ ...rest, body });
  }

  private _log(request: http.IncomingMessage, answer: Answer): void {
    if (request.method !== 'GET' || answer.status >= 400) {
      this._logger.info('request answered', { method: request.method, url: request.url, status: answer.status });
    }
  }
}

function refuseRoute(path: string, candidates: readonly Route[]): Answer {
  if (candidates.length === 0) {
    return errorAnswer(404, 'not_found', `${path} does not exist`);
  }
  const allow = candidates.map((candidate) => candidate.method).join(', ');
  return errorAnswer(405, 'method_not_allowed', `${path} takes ${allow}`, { headers: { allow } });
}
