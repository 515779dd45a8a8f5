import * as common from '@jayhaven/common';
import * as zod from 'zod';
import { LogClient } from './LogClient.js';
import type { LogFailure, RawRecord, TopicOffsets } from './Types.js';

/** Each open topic holds one socket for its long poll and one for its append. */
const maximumSockets = 128;
/** Time after which an idle connection to the log is closed, milliseconds. */
const maximumIdleMs = 1_000;
/** Bounds the memory of one read; a longer tail takes several reads. */
const maximumReadBytes = 1024 * 1024;
/** Kafka REST Proxy code for an offset that retention has dropped. */
const belowBeginningCode = 40402;

const appendSchema = zod.object({ offsets: zod.array(zod.object({ offset: zod.number() })).min(1) });
const recordsSchema = zod.array(zod.object({ offset: zod.number(), value: zod.unknown() }));
const offsetsSchema = zod.object({ beginning_offset: zod.number(), end_offset: zod.number() });
const errorSchema = zod.object({ error_code: zod.number(), message: zod.string().optional() });

/** Log client for the API of Kafka REST Proxy v2. */
export class RestLogClient extends LogClient {
  private readonly _http = new common.JsonHttpClient({ maximumSocketsPerHost: maximumSockets, maximumIdleMs });

  public constructor(private readonly _baseUrl: string) {
    super();
  }

  public override async append(
    topic: string,
    values: readonly unknown[],
    timeoutMs: number,
  ): Promise<common.Outcome<number, LogFailure>> {
    const body = { records: values.map((value) => ({ value })) };
    const response = await this._call({ method: 'POST', url: this._url(topic), body, timeoutMs }, appendSchema);
    return response.ok ? common.succeed(response.value.offsets[0]?.offset ?? 0) : response;
  }

  public override async read(
    topic: string,
    offset: number,
    waitMs: number,
    timeoutMs: number,
  ): Promise<common.Outcome<readonly RawRecord[], LogFailure>> {
    const query = `offset=${offset}&timeout=${waitMs}&max_bytes=${maximumReadBytes}`;
    const url = `${this._url(topic)}/partitions/0/records?${query}`;
    return this._call({ method: 'GET', url, timeoutMs }, recordsSchema);
  }

  public override async offsets(topic: string, timeoutMs: number): Promise<common.Outcome<TopicOffsets, LogFailure>> {
    const url = `${this._url(topic)}/partitions/0/offsets`;
    const response = await this._call({ method: 'GET', url, timeoutMs }, offsetsSchema);
    return response.ok
      ? common.succeed({ beginningOffset: response.value.beginning_offset, endOffset: response.value.end_offset })
      : response;
  }

  public override async [Symbol.asyncDispose](): Promise<void> {
    await this._http[Symbol.asyncDispose]();
  }

  private _url(topic: string): string {
    return `${this._baseUrl.replace(/\/$/, '')}/topics/${encodeURIComponent(topic)}`;
  }

  private async _call<Body>(
    request: common.JsonRequest,
    schema: zod.ZodType<Body>,
  ): Promise<common.Outcome<Body, LogFailure>> {
    const outcome = await this._http.request(request);
    if (!outcome.ok) {
      return common.fail({ kind: 'unavailable', message: outcome.failure.message });
    }
    const { status, body } = outcome.value;
    const error = errorSchema.safeParse(body);
    if (status === 404 && error.success && error.data.error_code === belowBeginningCode) {
      return common.fail({ kind: 'belowBeginning', message: error.data.message ?? 'offset is below the beginning' });
    }
    const parsed = schema.safeParse(body);
    if (status !== 200 || !parsed.success) {
      return common.fail({ kind: 'unavailable', message: `log service responded with status ${status}` });
    }
    return common.succeed(parsed.data);
  }
}
