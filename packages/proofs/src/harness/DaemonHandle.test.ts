import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as vitest from 'vitest';
import { Cluster, type CallResult, type DaemonHandle } from './index.js';

/** Reports readiness while the log is reachable, and stops on SIGTERM. */
const minimalDaemon = `
import * as fs from 'node:fs';
import * as http from 'node:http';
const text = fs.readFileSync(process.argv[3], 'utf8');
const setting = (key) => text.split('\\n').find((line) => line.startsWith(key + ' = ')).split(' = ')[1];
const [host, port] = setting('callers').split(':');
process.on('SIGTERM', () => { console.error('stopping'); process.exit(0); });
http.createServer(async (request, response) => {
  try {
    const log = await fetch(setting('log_url') + '/topics/control/partitions/0/offsets', { signal: AbortSignal.timeout(300) });
    response.writeHead(log.status).end();
  } catch { response.writeHead(503).end(); }
}).listen(Number(port), host);
`;

vitest.describe('DaemonHandle', () => {
  let folder: string;
  let cluster: Cluster;
  let daemon: DaemonHandle;

  vitest.beforeEach(async () => {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), 'jayhaven-harness-'));
    const daemonScript = path.join(folder, 'daemon.mjs');
    await fs.writeFile(daemonScript, minimalDaemon);
    cluster = await Cluster.start({ daemons: 2, daemonScript, proxies: { log: true } });
    daemon = cluster.daemon(0);
  });

  vitest.afterEach(async () => {
    await cluster[Symbol.asyncDispose]();
    await fs.rm(folder, { recursive: true });
  });

  vitest.test(
    'kills, restarts, pauses, resumes and stops one daemon (guards against faults that have no effect)',
    async () => {
      await daemon.kill();
      vitest.expect(daemon.isRunning).toBe(false);
      vitest.expect(await daemon.isReady()).toBe(false);
      vitest.expect(await cluster.daemon(1).isReady()).toBe(true);
      daemon.start();
      await daemon.waitUntilReady();
      daemon.pause();
      vitest.expect(await daemon.isReady()).toBe(false);
      daemon.resume();
      await daemon.waitUntilReady();
      vitest.expect(await daemon.stop()).toBe(0);
      vitest.expect(cluster.errorOutput()).toContain('stopping');
    },
  );

  vitest.test('cuts only one daemon off from the log (guards against a shared proxy)', async () => {
    await daemon.proxies.log?.control({ cut: true });
    vitest.expect(await daemon.isReady()).toBe(false);
    vitest.expect(await cluster.daemon(1).isReady()).toBe(true);
    await daemon.proxies.log?.control({ cut: false });
    await daemon.waitUntilReady();
  });

  vitest.test('reports a call to a killed daemon as broken (guards against a caller that throws)', async () => {
    await daemon.kill();
    const result: CallResult = await cluster.callers.complete(daemon.callersUrl, { partner: 'solano', model: 'm' });
    vitest.expect(result).toMatchObject({ outcome: 'broken', status: 0 });
  });

  vitest.test(
    'reports the output of a daemon that exits at its start (guards against a timeout without a cause)',
    async () => {
      const daemonScript = path.join(folder, 'failing.mjs');
      await fs.writeFile(daemonScript, 'console.error("settings are wrong"); process.exit(2);');
      await vitest.expect(Cluster.start({ daemons: 1, daemonScript })).rejects.toThrow('settings are wrong');
    },
  );
});
