import * as crypto from 'node:crypto';
import * as common from '@jayhaven/common';
import type { FaultInjector } from '../FaultInjector.js';
import type { Call } from '../http/HttpStandIn.js';
import type { BatchScheduler, Sequence } from './BatchScheduler.js';
import { CompletionResponder } from './CompletionResponder.js';
import type { EngineRecords } from './EngineRecords.js';
import type { ModelEntry, ModelRepository } from './ModelRepository.js';
import type { PrefixCache } from './PrefixCache.js';
import { parseCompletion, promptHash, type CompletionRequest } from './tokens.js';
import type { RequestRecord } from './Types.js';

/** Fraction of the time to the first token that a fully cached prefix saves. */
const cachedPrefixSaving = 0.8;

/** Faults of completion responses, set at run time. */
export interface ResponseFaults {
  readonly crossAnswers: FaultInjector;
  /** Number of tokens after which a stream is truncated; null for no truncation. */
  truncateStreams: number | null;
  /** Whether a truncated stream ends as a valid HTTP message that lacks only its end marker. */
  truncateCleanly: boolean;
}

/** Components that `CompletionService` uses. */
export interface CompletionComponents {
  readonly scheduler: BatchScheduler;
  readonly repository: ModelRepository;
  readonly prefixes: PrefixCache;
  readonly records: EngineRecords;
  readonly faults: ResponseFaults;
  readonly firstTokenMs: number;
}

/** Handles the completion endpoints. */
export class CompletionService {
  private readonly _active = new Map<ModelEntry, Set<() => void>>();
  private _lastIdentity: { readonly id: string; readonly hash: string } | undefined;

  public constructor(private readonly _components: CompletionComponents) {}

  /** Handles a completion request. The response is sent as its tokens are generated. */
  public handle(call: Call, chat: boolean): void {
    const request = parseCompletion(call.body);
    if (!request) {
      refuse(call, 400, 'invalid_request_error', 'the body is not a completion request');
      return;
    }
    const record = this._components.records.addRequest(newRecord(call, request));
    const [name = '', adapter] = request.model.split(':');
    const entry = this._components.repository.readyModel(name);
    if (!entry) {
      this._refuse(call, record, 404, 'model_not_loaded', `model ${name} is not loaded`);
    } else if (adapter !== undefined && entry.adapters.get(adapter)?.state !== 'ready') {
      this._refuse(call, record, 404, 'adapter_not_loaded', `adapter ${adapter} is not loaded`);
    } else {
      this._run(call, chat, request, record, entry);
    }
  }

  /** Ends the active requests of a model by closing their connections. */
  public endRequests(entry: ModelEntry): void {
    for (const end of [...(this._active.get(entry) ?? [])]) {
      end();
    }
  }

  private _run(call: Call, chat: boolean, request: CompletionRequest, record: RequestRecord, entry: ModelEntry): void {
    const { scheduler, repository, prefixes, records, faults } = this._components;
    const responder = new CompletionResponder({ request, chat, ...this._responseIdentity(record) }, call.response);
    const end = (outcome: RequestRecord['outcome']): void => {
      if (record.endedMs !== undefined) {
        return;
      }
      records.endRequest(record, outcome, Date.now());
      scheduler.cancel(sequence);
      this._active.get(entry)?.delete(abort);
      repository.endUse(entry);
    };
    const abort = (): void => {
      end('unloaded');
      call.response.destroy();
    };
    const sequence: Sequence = {
      urgency: record.urgency,
      firstIndex: request.resumeFrom,
      endIndex: Math.max(request.resumeFrom, request.maximumTokens),
      firstTokenMs: () => {
        const cached = prefixes.lookUpAndStore(request.model, request.prompt, Date.now());
        return this._components.firstTokenMs * (1 - cached * cachedPrefixSaving);
      },
      onStarted: () => {
        record.outcome = 'running';
        record.startedMs = Date.now();
        responder.writeHeaders();
      },
      onToken: (index) => {
        if (faults.truncateStreams !== null && record.tokens >= faults.truncateStreams) {
          end('truncated');
          responder.truncate(faults.truncateCleanly);
          return true;
        }
        record.tokens += 1;
        return responder.writeToken(index);
      },
      onFinished: () => {
        end('finished');
        responder.finish();
      },
      onShed: () => {
        end('refused');
        this._refuse(call, record, 503, 'overloaded', 'pushed out of the queue by interactive requests');
      },
    };
    repository.beginUse(entry);
    this._active.set(entry, (this._active.get(entry) ?? new Set()).add(abort));
    call.response.on('drain', () => {
      scheduler.resume(sequence);
    });
    call.response.on('close', () => {
      end('cancelled');
    });
    if (!scheduler.submit(sequence)) {
      end('refused');
      this._refuse(call, record, 503, 'overloaded', 'the queue is full');
    }
  }

  private _refuse(call: Call, record: RequestRecord, status: number, type: string, message: string): void {
    record.refusal = type;
    this._components.records.endRequest(record, 'refused', Date.now());
    refuse(call, status, type, message, record.id);
  }

  /** Returns the id and hash for a response; those of the previous request if the fault `crossAnswers` applies. */
  private _responseIdentity(record: RequestRecord): { readonly id: string; readonly hash: string } {
    const own = { id: record.id, hash: record.promptHash };
    const other = this._lastIdentity ?? { id: `other-${record.id}`, hash: promptHash('other') };
    this._lastIdentity = own;
    if (this._components.faults.crossAnswers.shouldInject()) {
      record.crossed = true;
      return other;
    }
    return own;
  }
}

function newRecord(call: Call, request: CompletionRequest): RequestRecord {
  const { headers } = call.request;
  return {
    id: typeof headers['x-request-id'] === 'string' ? headers['x-request-id'] : crypto.randomUUID(),
    model: request.model,
    urgency: headers['x-priority'] === 'batch' ? 'batch' : 'interactive',
    promptHash: promptHash(request.prompt),
    resumeFrom: request.resumeFrom,
    maximumTokens: request.maximumTokens,
    arrivedMs: Date.now(),
    outcome: 'waiting',
    tokens: 0,
  };
}

function refuse(call: Call, status: number, type: string, message: string, id?: string): void {
  const body = { ...(id === undefined ? {} : { id }), error: { type, message, code: status } };
  common.sendJson(call.response, status, body, id === undefined ? {} : { 'x-request-id': id });
}
