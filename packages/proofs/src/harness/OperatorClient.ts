import type * as common from '@jayhaven/common';
import { bearerKey } from './settingsFile.js';
import { delay } from './ManagedProcess.js';
import type { ModelConfiguration, ServiceConfiguration } from './Types.js';

/** Time limit of a request to the operator interface, milliseconds. */
const operatorTimeoutMs = 15_000;
/** Pause before an edit is retried because the log was unavailable, milliseconds. */
const retryPauseMs = 200;
const editAttempts = 30;

/** A configured value with its version. */
export interface ConfigurationValue {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/** Answer to an edit. */
export interface EditAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Client of one daemon's operator interface for one partner. */
export class OperatorClient {
  public constructor(
    private readonly _client: common.JsonHttpClient,
    private readonly _url: string,
    private readonly _partner: common.PartnerName,
  ) {}

  /** Reads a resource, for example `status`. */
  public async read(resource: string): Promise<unknown> {
    const answer = await this._request('GET', `/v1/${resource}`);
    if (answer.status !== 200) {
      throw new Error(`GET /v1/${resource} failed: ${JSON.stringify(answer)}`);
    }
    return answer.body;
  }

  /** Reads a configured value; `undefined` if the key is not set. */
  public async value(key: string): Promise<ConfigurationValue | undefined> {
    const body = await this.read(`configuration?key=${encodeURIComponent(key)}`);
    return (body as { readonly keys: readonly ConfigurationValue[] }).keys.find((entry) => entry.key === key);
  }

  /** Sends one edit without retries, and returns any answer. */
  public edit(key: string, value: unknown, basedOn: number | null, reason = 'test'): Promise<EditAnswer> {
    return this._request('POST', '/v1/edits', { key, value, basedOn, reason });
  }

  /** Sets a key based on its current version. Throws if the edit is not accepted. */
  public async set(key: string, value: unknown, reason = 'test'): Promise<void> {
    for (let attempt = 1; ; attempt += 1) {
      const current = await this.value(key);
      if (current && JSON.stringify(current.value) === JSON.stringify(value)) {
        return;
      }
      const answer = await this.edit(key, value, current?.version ?? null, reason);
      if (answer.status === 200) {
        return;
      }
      if (attempt === editAttempts || ![0, 202, 503].includes(answer.status)) {
        throw new Error(`edit of ${key} failed: ${JSON.stringify(answer)}`);
      }
      await delay(retryPauseMs);
    }
  }

  /** Configures a model of the partner. */
  public setModel(model: string, configuration: ModelConfiguration): Promise<void> {
    return this.set(`${this._partner}/models/${model}`, {
      version: '1',
      cacheBytes: 0,
      expectedLoadMilliseconds: 1000,
      ...configuration,
    });
  }

  /** Configures a plain service for the partner; callers can reach only configured services. */
  public setService(service: string, configuration: ServiceConfiguration = {}): Promise<void> {
    return this.set(`${this._partner}/services/${service}`, {
      idempotentRoutes: ['GET /'],
      deadlineMilliseconds: 10_000,
      ...configuration,
    });
  }

  private async _request(method: 'GET' | 'POST', route: string, body?: unknown): Promise<EditAnswer> {
    const outcome = await this._client.request({
      method,
      url: `${this._url}${route}`,
      headers: { authorization: `Bearer ${bearerKey('operator', this._partner)}` },
      ...(body === undefined ? {} : { body }),
      timeoutMs: operatorTimeoutMs,
    });
    return outcome.ok ? outcome.value : { status: 0, body: outcome.failure };
  }
}
