import type * as http from 'node:http';
import * as common from '@jayhaven/common';
import { tokenText, type CompletionRequest } from './tokens.js';

/** Data from which a completion is written. */
export interface CompletionSource {
  readonly request: CompletionRequest;
  readonly chat: boolean;
  /** Id of the response. */
  readonly id: string;
  /** Prompt hash in the tokens of the response. */
  readonly hash: string;
}

/** Writes one completion in the OpenAI format, as an event stream or as a single JSON body. */
export class CompletionResponder {
  private _text = '';
  private readonly _created = Math.floor(Date.now() / 1000);

  public constructor(
    private readonly _source: CompletionSource,
    private readonly _response: http.ServerResponse,
  ) {}

  /** Sends the headers of a stream. */
  public writeHeaders(): void {
    if (this._source.request.stream) {
      this._response.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
        'x-request-id': this._source.id,
      });
      this._response.flushHeaders();
    }
  }

  /** Writes a token. Returns false if the connection's write buffer is full. */
  public writeToken(index: number): boolean {
    const text = tokenText(this._source.hash, index);
    if (!this._source.request.stream) {
      this._text += text;
      return true;
    }
    return this._response.write(`data: ${JSON.stringify(this._chunk(index, text))}\n\n`);
  }

  /** Completes the response. */
  public finish(): void {
    if (this._source.request.stream) {
      this._response.end('data: [DONE]\n\n');
    } else {
      common.sendJson(this._response, 200, this._fullResponse(), { 'x-request-id': this._source.id });
    }
  }

  /** Ends the response without its end marker. */
  public truncate(clean: boolean): void {
    if (clean) {
      this._response.end();
    } else {
      this._response.destroy();
    }
  }

  private _chunk(index: number, text: string): unknown {
    const { chat, id, request } = this._source;
    const finishReason = index === request.maximumTokens - 1 ? 'length' : null;
    const delta = index === request.resumeFrom ? { role: 'assistant', content: text } : { content: text };
    return {
      id,
      object: chat ? 'chat.completion.chunk' : 'text_completion',
      created: this._created,
      model: request.model,
      choices: [{ index: 0, ...(chat ? { delta } : { text }), finish_reason: finishReason }],
      token_index: index,
    };
  }

  private _fullResponse(): unknown {
    const { chat, id, request } = this._source;
    const content = chat ? { message: { role: 'assistant', content: this._text } } : { text: this._text };
    const completionTokens = request.maximumTokens - request.resumeFrom;
    const promptTokens = Math.ceil(request.prompt.length / 4);
    return {
      id,
      object: chat ? 'chat.completion' : 'text_completion',
      created: this._created,
      model: request.model,
      choices: [{ index: 0, ...content, finish_reason: 'length' }],
      usage: {
        prompt_tokens: promptTokens,
        completion_tokens: completionTokens,
        total_tokens: promptTokens + completionTokens,
      },
    };
  }
}
