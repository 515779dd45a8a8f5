/** Engine stand-in that answers without delay, as a separate process. Usage: node instantEngine.js <port> */
import * as http from 'node:http';
import * as common from '@jayhaven/common';

const port = Number(process.argv[2]);
/** Models that the daemon has loaded on this engine. */
const models = new Map<string, { readonly name: string; readonly version: string; readonly state: string }>();
let sequence = 0;

function answerFor(path: string, body: string, requestId: string): unknown {
  const order = /^\/v2\/repository\/models\/(.+)\/load$/.exec(path);
  if (order) {
    const { parameters } = JSON.parse(body) as { readonly parameters?: { readonly version?: string } };
    const name = decodeURIComponent(order[1] ?? '');
    models.set(name, { name, version: parameters?.version ?? '1', state: 'READY' });
    return {};
  }
  switch (path) {
    case '/v2/repository/index':
      return [...models.values()].map((model) => ({ ...model, adapters: [] }));
    case '/v2/load':
      sequence += 1;
      return { sequence, running: 0, waiting: 0, slots: 256, free_bytes: 10e9 };
    case '/v2/fencing':
      return { fencing_token: (JSON.parse(body) as { readonly fencing_token?: number }).fencing_token ?? 0 };
    default: {
      const choices = [{ index: 0, message: { role: 'assistant', content: 'answer' }, finish_reason: 'length' }];
      return { id: requestId, object: 'chat.completion', created: 0, model: 'm', choices };
    }
  }
}

http
  .createServer((request, response) => {
    void common.readBody(request, 1024 * 1024).then((body) => {
      const requestId = String(request.headers['x-request-id'] ?? '');
      common.sendJson(response, 200, answerFor(request.url ?? '', body, requestId), { 'x-request-id': requestId });
    });
  })
  .listen(port, '127.0.0.1', () => process.stdout.write('{"listening":1}\n'));
