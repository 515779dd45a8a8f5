import * as common from '@jayhaven/common';
import type * as http from 'node:http';
import { pickService, type RouteTable } from '../configuration/RouteTable.js';
import type { CallerRequest, RequestCodec } from '../contracts/RequestCodec.js';
import type { Route } from '../Types.js';
import type { ExchangeResult } from './ExchangeResult.js';

/** Retry-After while no configuration is known, milliseconds. */
const unconfiguredRetryAfterMs = 1_000;

/** An admitted request with its route and service. */
export interface AdmittedRequest {
  readonly callerRequest: CallerRequest;
  readonly route: Route;
  readonly service: string;
  readonly configurationVersion: number;
}

/** A response that the gateway generates itself. */
export interface LocalResponse {
  readonly status: number;
  readonly outcome: ExchangeResult['outcome'];
  readonly reason: string;
  readonly retryAfterMs?: number;
}

/** Result of reading a request's head. The known headers of a rejected request are included for the log. */
export type Admission =
  | { readonly kind: 'admitted'; readonly request: AdmittedRequest }
  | { readonly kind: 'rejected'; readonly callerRequest: CallerRequest | undefined; readonly response: LocalResponse };

/** Reads the head of a request and finds its route. `random`, from 0 to below 1, selects one of the services. */
export function admitRequest(
  request: http.IncomingMessage,
  codec: RequestCodec,
  routes: RouteTable | undefined,
  random: number,
): Admission {
  const fault = common.requestHeadFault(request);
  if (fault !== undefined) {
    return {
      kind: 'rejected',
      callerRequest: undefined,
      response: { status: 400, outcome: 'invalidRequest', reason: fault },
    };
  }
  const callerRequest = codec.readRequest(request);
  if (callerRequest === undefined) {
    const reason = 'a required header is missing or malformed';
    return {
      kind: 'rejected',
      callerRequest,
      response: { status: 400, outcome: 'invalidRequest', reason },
    };
  }
  if (routes === undefined) {
    const reason = 'no configuration is known yet';
    const retryAfterMs = unconfiguredRetryAfterMs;
    return {
      kind: 'rejected',
      callerRequest,
      response: { status: 503, outcome: 'refused', reason, retryAfterMs },
    };
  }
  const route = routes.find(callerRequest.host, request.url ?? '/');
  if (route === undefined) {
    return {
      kind: 'rejected',
      callerRequest,
      response: { status: 404, outcome: 'noRoute', reason: 'no route matches' },
    };
  }
  const configurationVersion = routes.configuration.version;
  return {
    kind: 'admitted',
    request: { callerRequest, route, service: pickService(route, random), configurationVersion },
  };
}
