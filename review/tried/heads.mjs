// A finding without a case: memory of a gateway while many clients send heads of many short lines, each within `max_header_bytes`,
// and a chunked body that stops. Run it after `npm run build`: node review/tried/heads.mjs LINES [OPTION of Node.js for the gateway].
// Exits with 1 if the process ended or went over the memory of its machine, otherwise with 0.
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { GatewayProcess } from '../../platform/dist/testing/GatewayProcess.js';
import { callGateway } from '../../platform/dist/testing/callGateway.js';
import { openReplica } from '../../platform/dist/testing/openReplica.js';
import { StandInStore } from '../../platform/dist/testing/StandInStore.js';

/** The smallest machines of magnolia-prod-grown. */
const machine = { megabytes: 210, descriptors: 2_212 };
/** Limit of the operator, bytes. */
const headBytes = 16_384;
const connectionCount = 730;
const waveCount = 4;
const waveMs = 6_000;
const batch = 50;

const lineCount = Number(process.argv[2]);
const nodeOptions = ['--max-semi-space-size=2', ...process.argv.slice(3)];
const configuration = {
  version: 1,
  routes: [
    {
      name: 'safe',
      hostname: 'h.example',
      path_prefix: '/safe/',
      kind: 'safe',
      timeout_ms: 30_000,
      latency_target_ms: 1_000,
      priority: 1,
      service: 's1',
      attempts: 2,
    },
  ],
  services: [{ name: 's1' }],
  limits: {
    max_header_bytes: headBytes,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
};

function bytesOf(number) {
  const lines = [`POST /safe/${number} HTTP/1.1`, 'Host: h.example', `Attempt-Id: c${number}`, 'Deadline-Ms: 4000'];
  lines.push('Model: m0', 'Token-Counts: 383,48', `Prompt-Prefix: aa:92,c${number.toString(16)}:291`);
  for (let line = 0; line < lineCount; line += 1) {
    lines.push(`A${line}:y`);
  }
  const head = `${[...lines, 'Transfer-Encoding: chunked'].join('\r\n')}\r\n\r\n`;
  if (head.length > headBytes) {
    throw new Error(`a head of ${head.length} bytes is over the limit`);
  }
  return `${head}a\r\n0123456789\r\n`;
}

const store = new StandInStore();
await store.open();
store.put('keyed.op', 'config', configuration);
const replica = await openReplica(store, 'i-1', 20);
const vm = [`memory_mb = ${machine.megabytes}`, `max_descriptors = ${machine.descriptors}`];
const gateway = await GatewayProcess.start('vm1', store.port, { vm, nodeOptions });
const sockets = [];

/** Resident memory, megabytes: the largest so far, and that of now. */
function memory() {
  const status = fs.readFileSync(`/proc/${gateway.processId}/status`, 'utf8');
  return ['VmHWM', 'VmRSS'].map((field) =>
    Math.round(Number(new RegExp(`${field}:\\s+(\\d+)`).exec(status)[1]) / 1024),
  );
}

let peak = 0;
for (let wave = 0; wave < waveCount && !gateway.hasExited; wave += 1) {
  for (let number = 0; number < connectionCount; number += 1) {
    const socket = net.connect({ host: '127.0.0.1', port: gateway.ports.callers, allowHalfOpen: true });
    socket.on('error', () => undefined);
    socket.on('data', () => undefined);
    socket.write(bytesOf(wave * connectionCount + number));
    sockets.push(socket);
    if (number % batch === batch - 1) {
      await sleep(20);
    }
  }
  await sleep(waveMs);
  if (!gateway.hasExited) {
    const { host, callers: port } = gateway.ports;
    const headers = { host: 'h.example', 'Attempt-Id': `ordinary-${wave}`, 'Deadline-Ms': '5000' };
    const { status } = await callGateway({ host, port, path: '/safe/x', headers, agent: false, timeout: 5_000 });
    const [largest, current] = memory();
    peak = largest;
    console.log(`after wave ${wave + 1}: ${current} MB, at most ${peak} MB; an ordinary request gets ${status}`);
  }
}
const isOver = gateway.hasExited || peak > machine.megabytes;
console.log(
  gateway.hasExited ? `the process ended: ${/FATAL.*|.*heap.*/.exec(gateway.output)?.[0]}` : 'the process runs',
);
sockets.forEach((socket) => socket.destroy());
await gateway[Symbol.asyncDispose]();
await replica[Symbol.asyncDispose]();
await store[Symbol.asyncDispose]();
process.exit(isOver ? 1 : 0);
