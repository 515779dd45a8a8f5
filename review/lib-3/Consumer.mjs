import { Buffer } from 'node:buffer';
import { clearTimeout } from 'node:timers';
import * as http from 'node:http';
import { randomBytes } from 'node:crypto';

/** Sends one request of a consumer to a gateway and reads its answer to the end. Never rejects. */
export function send(gateway, { method = 'POST', path, headers = {}, deadlineMs, body = '', onEvent }, record) {
  const id = headers['Attempt-Id'] ?? randomBytes(8).toString('hex');
  record('sent', { id, gateway: gateway.name, method, path, model: headers.Model, deadlineMs });
  return new Promise((resolve) => {
    const result = { id, status: undefined, body: '', isComplete: false };
    const finish = () => {
      clearTimeout(timer);
      const { status, isComplete } = result;
      record('answered', {
        id,
        status,
        isComplete,
        bytes: result.body.length,
        text: status === 200 ? undefined : result.body.trim(),
      });
      resolve(result);
    };
    const request = http.request({
      host: gateway.host,
      port: gateway.ports.front,
      method,
      path,
      agent: false,
      headers: {
        Host: 'review.example',
        'Attempt-Id': id,
        'Deadline-Ms': String(deadlineMs),
        'Content-Length': String(Buffer.byteLength(body)),
        ...headers,
      },
    });
    const timer = setTimeout(() => request.destroy(), deadlineMs);
    request.on('error', () => finish());
    request.on('response', (response) => {
      result.status = response.statusCode;
      result.headers = response.headers;
      response.on('data', (bytes) => {
        result.body += bytes;
        onEvent?.(result);
      });
      response.on('error', () => undefined);
      response.on('close', () => {
        result.isComplete = response.complete;
        finish();
      });
    });
    request.end(body);
  });
}
