import * as common from '@jayhaven/common';
import * as z from 'zod';
import type { ClientFailure, ClientSettings } from '../Types.js';

/** Timeout of a request. The response to an edit follows its read-back from the log, which may be slow. */
const requestTimeoutMs = 30_000;

const errorBody = z.object({
  error: z.object({
    type: z.string(),
    message: z.string(),
    executed: z.enum(['no', 'yes', 'unknown']),
    retryAfterMs: z.number().optional(),
  }),
  winner: z
    .object({ version: z.number(), partner: z.string(), operator: z.string(), value: z.unknown(), when: z.string() })
    .partial()
    .optional(),
});

const unconfirmedBody = z.object({ state: z.literal('unconfirmed'), message: z.string() });

const refusalStatuses = [403, 404, 409, 422];

/** Query parameters of a request; undefined ones are omitted. */
export type Query = Readonly<Record<string, string | number | undefined>>;

/** Calls the operators' interface of the first daemon that can be reached. */
export class OperatorClient implements AsyncDisposable {
  private readonly _http = new common.JsonHttpClient();

  public constructor(private readonly _settings: ClientSettings) {}

  /** Reads one resource. */
  public get<Body>(path: string, query: Query, schema: z.ZodType<Body>): Promise<common.Outcome<Body, ClientFailure>> {
    const parameters = new URLSearchParams();
    for (const [name, value] of Object.entries(query)) {
      if (value !== undefined) {
        parameters.set(name, String(value));
      }
    }
    const search = parameters.toString();
    return this._request('GET', search === '' ? path : `${path}?${search}`, undefined, schema);
  }

  /** Requests a change. */
  public post<Body>(
    path: string,
    body: unknown,
    schema: z.ZodType<Body>,
  ): Promise<common.Outcome<Body, ClientFailure>> {
    return this._request('POST', path, body, schema);
  }

  public [Symbol.asyncDispose](): Promise<void> {
    return this._http[Symbol.asyncDispose]();
  }

  private async _request<Body>(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    schema: z.ZodType<Body>,
  ): Promise<common.Outcome<Body, ClientFailure>> {
    const failures: string[] = [];
    for (const address of this._settings.addresses) {
      const outcome = await this._http.request({
        method,
        url: `http://${address}${path}`,
        headers: { authorization: `Bearer ${this._settings.key}` },
        timeoutMs: requestTimeoutMs,
        ...(body === undefined ? {} : { body }),
      });
      if (outcome.ok) {
        return interpretResponse(outcome.value, schema);
      }
      if (method === 'POST' && outcome.failure.mayHaveRun) {
        const message = `${address}: ${outcome.failure.message}. The change may still take effect: see "jayhaven history".`;
        return common.fail({ kind: 'unconfirmed', message });
      }
      failures.push(`${address}: ${outcome.failure.message}`);
    }
    return common.fail({ kind: 'unreachable', message: `no daemon can be reached (${failures.join('; ')})` });
  }
}

function interpretResponse<Body>(
  response: common.JsonResponse,
  schema: z.ZodType<Body>,
): common.Outcome<Body, ClientFailure> {
  const { status, body } = response;
  const unconfirmed = unconfirmedBody.safeParse(body);
  if (unconfirmed.success) {
    return common.fail({ kind: 'unconfirmed', message: unconfirmed.data.message, body });
  }
  if (status >= 400) {
    return common.fail(interpretErrorResponse(status, body));
  }
  const parsed = schema.safeParse(body);
  return parsed.success
    ? common.succeed(parsed.data)
    : common.fail({ kind: 'error', message: `answer has an unknown form: ${z.prettifyError(parsed.error)}`, body });
}

function interpretErrorResponse(status: number, body: unknown): ClientFailure {
  const parsed = errorBody.safeParse(body);
  if (!parsed.success) {
    return { kind: 'error', message: `the daemon answered with status ${status}`, body };
  }
  const { error, winner } = parsed.data;
  const winnerText = winner?.operator === undefined ? '' : ` ${describeWinner(winner)}`;
  const retryText = error.retryAfterMs === undefined ? '' : ` Try again in ${Math.ceil(error.retryAfterMs / 1000)} s.`;
  const message = `${error.message} (${error.type}).${winnerText}${retryText}`;
  if (error.executed === 'unknown') {
    return { kind: 'unconfirmed', message, body };
  }
  if (status === 503) {
    return { kind: 'unreachable', message, body };
  }
  const isRefused = refusalStatuses.includes(status) && error.type !== 'not_found';
  return { kind: isRefused ? 'refused' : 'error', message, body };
}

function describeWinner(winner: NonNullable<z.output<typeof errorBody>['winner']>): string {
  const { version = 0, operator = '', partner = '', value, when = '' } = winner;
  return `${operator} (${partner}) set ${JSON.stringify(value)} as version ${version} at ${when}.`;
}
