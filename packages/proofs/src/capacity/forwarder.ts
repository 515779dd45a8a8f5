/** Minimal HTTP forwarder: the baseline for the cost of a daemon. Usage: node forwarder.js <port> <target host:port> */
import * as http from 'node:http';

const [port = '0', target = ''] = process.argv.slice(2);
const [host, targetPort] = target.split(':');
const agent = new http.Agent({ keepAlive: true, maxSockets: 256 });

http
  .createServer((request, response) => {
    const { method, url, headers } = request;
    const outgoing = http.request({ host, port: targetPort, method, path: url, headers, agent }, (answer) => {
      response.writeHead(answer.statusCode ?? 502, answer.headers);
      answer.pipe(response);
    });
    outgoing.on('error', () => response.destroy());
    request.pipe(outgoing);
  })
  .listen(Number(port), '127.0.0.1', () => process.stdout.write('{"listening":1}\n'));
