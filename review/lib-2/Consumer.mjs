import { Buffer } from 'node:buffer';
import * as crypto from 'node:crypto';
import * as http from 'node:http';

/** Identifier of an attempt, as consumers create them. */
export function newAttemptId() {
  return crypto.randomBytes(8).toString('hex');
}

/**
 * Sends one attempt to a gateway on a new connection. The result resolves when the answer has ended or broken off:
 * `{ attemptId, status, events, isComplete }`, where `events` are the identifiers of the events received.
 */
export function sendAttempt(gateway, { host, path, headers = {}, method = 'POST', body = 'prompt' }, recorder) {
  const attemptId = newAttemptId();
  const result = { attemptId, gateway: gateway.name, status: undefined, events: [], isComplete: false };
  recorder.write('consumer', 'sends', { attemptId, to: gateway.name, path, model: headers.Model });
  const outcome = new Promise((resolve) => {
    const finish = (how) => {
      if (!result.isEnded) {
        result.isEnded = true;
        const { status, events, isComplete } = result;
        recorder.write('consumer', 'answer ends', { attemptId, status, events: events.length, isComplete, how });
        resolve(result);
      }
    };
    const request = http.request(
      {
        host: '127.0.0.1',
        port: gateway.ports.front,
        method,
        path,
        agent: false,
        headers: { Host: host, 'Attempt-Id': attemptId, 'Content-Length': Buffer.byteLength(body), ...headers },
      },
      (response) => {
        result.status = response.statusCode;
        result.retryAfter = response.headers['retry-after'];
        let text = '';
        response.on('data', (part) => {
          text += part;
          for (let end = text.indexOf('\n\n'); end >= 0; end = text.indexOf('\n\n')) {
            const id = /^id: (\d+)$/m.exec(text.slice(0, end))?.[1];
            text = text.slice(end + 2);
            if (id !== undefined) {
              result.events.push(Number(id));
            }
          }
        });
        response.on('end', () => {
          result.isComplete = response.complete;
          finish('end');
        });
        response.on('error', (error) => finish(error.message));
        response.on('close', () => finish('closed'));
      },
    );
    request.on('error', (error) => finish(error.message));
    result.leave = () => request.destroy();
    request.end(body);
  });
  return { attemptId, result, outcome };
}
