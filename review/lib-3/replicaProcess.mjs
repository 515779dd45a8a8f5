import { Buffer } from 'node:buffer';
import { clearInterval, setInterval } from 'node:timers';
import * as http from 'node:http';

/**
 * Stand-in of a model replica as a process of its own, which tells its parent what it runs. Its answers have neither a length
 * nor chunks and end with their connection. With a part that crashes it, it begins its answer with the head and ends at once,
 * as a process that is killed: its kernel closes the connection.
 */
const { id, port, model, diskMs, crashingPart, events, eventMs } = JSON.parse(process.argv[2]);
const born = Date.now();
const models = new Set();
let seq = 0;
let isBusy = false;

const server = http.createServer((request, response) => {
  const parts = [];
  request.on('data', (part) => parts.push(part));
  request.on('end', () => {
    const expected = request.headers['expect-replica'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'Replica-Id': id, 'Content-Length': '0' }).end();
    } else if (request.url === '/report') {
      const list = [...models].map((name) => ({ name, version: 1, adapters: [] }));
      sendJson(response, { stage: 'both', models: list, busy: isBusy, seq, born, coming: [], queued: 0, running: 0 });
    } else if (request.url === '/order') {
      const status = takeOrder(JSON.parse(Buffer.concat(parts).toString()));
      response.writeHead(status, { 'Content-Length': '0' }).end();
    } else {
      run(request, response);
    }
  });
});
server.listen(port, '127.0.0.1', () => process.send({ what: 'started', id, born }));

function takeOrder(order) {
  if (isBusy || (order.precondition !== undefined && order.precondition !== seq)) {
    return 409;
  }
  seq += 1;
  if (order.op_kind === 'unload') {
    models.delete(order.model);
    return 202;
  }
  isBusy = true;
  setTimeout(() => {
    isBusy = false;
    models.add(order.model);
    process.send({ what: 'loaded', id, seq, models: [...models] });
  }, diskMs);
  return 202;
}

function run(request, response) {
  const attempt = String(request.headers['attempt-id']);
  if (request.headers.model !== model || !models.has(model)) {
    const headers = { 'Attempt-Id': attempt, 'Replica-Id': id, 'Not-Executed': '1', 'Content-Length': '0' };
    response.writeHead(421, headers).end();
    return;
  }
  const { socket } = request;
  const head =
    `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nReplica-Seal: seal.${attempt}\r\n` +
    'Content-Type: text/event-stream\r\nConnection: close\r\n\r\n';
  const isCrashing = String(request.headers['prompt-prefix']).includes(`${crashingPart}:`);
  process.send({ what: 'runs', id, attempt, isCrashing }, () => {
    if (isCrashing) {
      socket.write(head, () => process.kill(process.pid, 'SIGKILL'));
    } else {
      socket.write(head);
      stream(socket, attempt);
    }
  });
}

function stream(socket, attempt) {
  let event = 0;
  const timer = setInterval(() => {
    event += 1;
    socket.write(`id: ${event}\ndata: ${attempt}\n\n`);
    if (event === events) {
      clearInterval(timer);
      socket.end();
    }
  }, eventMs);
  socket.once('close', () => clearInterval(timer));
}

function sendJson(response, body) {
  const text = JSON.stringify(body);
  response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) });
  response.end(text);
}
