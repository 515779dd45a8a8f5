import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { formatSettingsProblem, parseDaemonSettings } from './daemonSettings.js';

const hash = 'a'.repeat(64);

const validText = `
[daemon]
name = entry-1
vm = vm-1
failure_domain = fd-a
cell = north
[listen]
callers = 127.0.0.1:8080
peers = [::1]:8090
operators = 127.0.0.1:8070
[platform]
log_url = http://127.0.0.1:8100/
vm_list_url = http://127.0.0.1:8101/vms
[partner solano]
[operator mara]
partner = solano
key_sha256 = ${hash.toUpperCase()}
`;

function problemsOf(text: string): string[] {
  const outcome = parseDaemonSettings('d.ini', text);
  return outcome.ok ? [] : outcome.failure.map(formatSettingsProblem);
}

function withLines(...lines: readonly string[]): string {
  return `${validText}${lines.join('\n')}\n`;
}

describe('parseDaemonSettings', () => {
  it('fills in defaults and keeps given values (guards against a half-configured daemon)', () => {
    const outcome = parseDaemonSettings('d.ini', withLines('[owner]', 'lease_ms = 900', 'renew_ms = 300'));
    expect(outcome).toMatchObject({
      ok: true,
      value: {
        listen: { peers: { host: '::1', port: 8090 } },
        platform: { logUrl: 'http://127.0.0.1:8100', topicPrefix: '', claimPartitions: 4 },
        owner: { leaseMs: 900, renewMs: 300, loadsPerSecond: 4 },
        stop: { announceMs: 5000 },
        seedPeers: [],
        operators: [{ name: 'mara', partner: 'solano', keySha256: hash }],
      },
    });
  });

  it('reports every problem at once (guards against one restart per problem)', () => {
    const text = withLines(
      '[ownr]',
      '[limits]',
      'maximum_body_bites = 1',
      'retry_budget = 2',
      '[stop]',
      'limit_ms = 5s',
    );
    expect(problemsOf(text.replace('vm = vm-1\n', ''))).toEqual([
      'd.ini:2: [daemon] vm: required key is missing (expected: name of 1 to 63 letters, digits, "-", "_" or ".", starting with a letter or digit)',
      expect.stringContaining('d.ini:17: [ownr]: unknown section "ownr"; did you mean "owner"?'),
      'd.ini:19: [limits] maximum_body_bites: unknown key "maximum_body_bites"; did you mean "maximum_body_bytes"?',
      'd.ini:20: [limits] retry_budget: "2" is not valid (expected: share of requests from 0 to 1)',
      'd.ini:22: [stop] limit_ms: "5s" is not valid (expected: whole number of milliseconds from 100 to 86400000)',
    ]);
  });

  it('rejects duplicates (guards against a second value that silently overrides the first)', () => {
    const text = withLines('[stop]', 'limit_ms = 9000', 'limit_ms = 8000', '[partner solano]');
    expect(problemsOf(text)).toEqual([
      'd.ini:20: [stop] limit_ms: key is already set in line 19',
      'd.ini:21: [partner solano]: section is already defined in line 14',
    ]);
  });

  it.each([
    ['a host name', 'callers = 127.0.0.1:8080', 'callers = localhost:8080'],
    ['a port out of range', 'callers = 127.0.0.1:8080', 'callers = 127.0.0.1:80800'],
    ['a URL with a host name', 'http://127.0.0.1:8100/', 'http://log.example:8100/'],
    ['the same address twice', 'operators = 127.0.0.1:8070', 'operators = 127.0.0.1:8080'],
    ['an operator of an unknown partner', 'partner = solano', 'partner = solana'],
    ['a partner with a reserved name', '[partner solano]', '[partner solano]\n[partner shared]'],
    ['a key in plain text', `key_sha256 = ${hash.toUpperCase()}`, 'key_sha256 = secret'],
    ['a setting outside sections', '[daemon]', ''],
  ])('rejects %s (guards against a daemon that cannot be reached)', (_, good, bad) => {
    expect(problemsOf(validText.replace(good, bad)).length).toBeGreaterThan(0);
  });

  it('rejects a renewal interval close to the lease (guards against losing the lease because of one late append)', () => {
    expect(problemsOf(withLines('[owner]', 'lease_ms = 1000', 'renew_ms = 900'))).toEqual([
      expect.stringContaining('[owner] renew_ms: 900 ms is too long'),
    ]);
  });

  it('rejects one key for two operators (guards against edits attributed to the wrong operator)', () => {
    const text = withLines('[operator ines]', 'partner = solano', `key_sha256 = ${hash}`);
    expect(problemsOf(text)).toEqual([expect.stringContaining('key is already the key of [operator mara]')]);
  });

  it('reports problems for any invalid text and never throws (guards against a startup that ends in a stack trace)', () => {
    const fragment = fc.oneof(
      fc.string(),
      fc.constantFrom(
        ...validText.split('\n'),
        '[limits]',
        '[stop',
        '__proto__ = 1',
        '[__proto__]',
        'constructor = 1',
        'a[] = 1',
      ),
    );
    fc.assert(
      fc.property(fc.array(fragment, { maxLength: 30 }), (lines) => {
        const outcome = parseDaemonSettings('d.ini', lines.join('\n'));
        return outcome.ok || outcome.failure.length > 0;
      }),
      { numRuns: 500 },
    );
  });

  it('reports the line of any misspelt key (guards against a problem that is hard to locate)', () => {
    const keys = validText.split('\n').flatMap((line, index) => (/^(\w+) =/.test(line) ? [index] : []));
    fc.assert(
      fc.property(fc.constantFrom(...keys), (index) => {
        const lines = validText.split('\n').map((line, at) => (at === index ? `x${line}` : line));
        return problemsOf(lines.join('\n')).some((problem) => problem.startsWith(`d.ini:${index + 1}: `));
      }),
    );
  });
});
