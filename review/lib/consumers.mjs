/** A stand-in for consumers: one request, and what came back. */
import * as http from 'node:http';

/** Sends a request; resolves with its status (undefined if the connection ended without an answer) and its body. */
export function callGateway({ machine, path, method = 'GET', attemptId, headers = {}, agent = false, body }) {
  return new Promise((resolve) => {
    const sentMs = Date.now();
    const request = http.request({
      host: machine.host,
      port: machine.ports.callers,
      path,
      method,
      agent,
      headers: { Host: 'h.example', 'Attempt-Id': attemptId, ...headers },
    });
    let status;
    let text = '';
    let complete = false;
    let seal;
    let failure;
    let retryAfter;
    const finish = () =>
      resolve({
        attemptId,
        machine: machine.name,
        kept: request.reusedSocket,
        sentMs,
        endedMs: Date.now(),
        status,
        complete,
        seal,
        failure,
        retryAfter,
        body: text,
      });
    request.on('response', (response) => {
      status = response.statusCode;
      seal = response.headers['replica-seal'];
      retryAfter = response.headers['retry-after'];
      response.on('data', (bytes) => (text += bytes.toString('latin1')));
      response.on('error', (error) => (failure = error.code));
      response.on('close', () => {
        complete = response.complete;
        finish();
      });
    });
    request.on('error', (error) => {
      failure ??= error.code ?? error.message;
      if (status === undefined) {
        finish();
      }
    });
    request.end(body);
  });
}
