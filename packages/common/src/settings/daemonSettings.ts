/** Schema of the settings file of a daemon (`jayhavend.ini`); shared by the daemon and `jayhaven check`. */
import { fail, succeed } from '../Outcome.js';
import type { Outcome } from '../Types.js';
import * as fields from './fields.js';
import { parseIni } from './IniReader.js';
import { type NamedValues, SectionChecker, type SectionValues } from './SectionChecker.js';
import type { SettingsProblem } from './Types.js';

const secondMs = 1000;
const minuteMs = 60 * secondMs;
const hourMs = 60 * minuteMs;
const dayMs = 24 * hourMs;
const mebibyte = 1024 * 1024;

/** First segment of configuration keys that no partner owns. */
const reservedName = 'shared';

const logLevels = ['fatal', 'error', 'warn', 'info', 'debug', 'trace', 'silent'] as const;

const daemonFields = {
  name: fields.identifier(),
  vm: fields.identifier(),
  failure_domain: fields.identifier(),
  cell: fields.identifier(),
  log_level: fields.oneOf(logLevels).default('info'),
};

const listenFields = {
  callers: fields.address(),
  peers: fields.address(),
  operators: fields.address(),
  advertised_peers: fields.address().optional(),
};

const platformFields = {
  log_url: fields.httpUrl(),
  vm_list_url: fields.httpUrl(),
  topic_prefix: fields.identifier().default(''),
  claim_partitions: fields.wholeNumber('partitions', 1, 1024).default(4),
  log_retention_ms: fields.wholeNumber('milliseconds', 10 * secondMs, 365 * dayMs).default(dayMs),
  log_timeout_ms: fields.wholeNumber('milliseconds', 50, 10 * minuteMs).default(5 * secondMs),
};

const ownerFields = {
  lease_ms: fields.wholeNumber('milliseconds', 100, 10 * minuteMs).default(6 * secondMs),
  renew_ms: fields.wholeNumber('milliseconds', 20, 5 * minuteMs).default(2 * secondMs),
  loads_per_second: fields.decimalNumber('loads per second', 0.01, 1000).default(4),
  maximum_concurrent_loads: fields.wholeNumber('loads', 1, 1000).default(4),
  maximum_adapters_in_transit: fields.wholeNumber('adapters', 1, 10_000).default(30),
  order_delivery_ms: fields.wholeNumber('milliseconds', 100, hourMs).default(30 * secondMs),
};

const limitFields = {
  maximum_body_bytes: fields.wholeNumber('bytes', 1024, 1024 * mebibyte).default(4 * mebibyte),
  maximum_header_bytes: fields.wholeNumber('bytes', 1024, mebibyte).default(16 * 1024),
  maximum_deadline_ms: fields.wholeNumber('milliseconds', secondMs, dayMs).default(hourMs),
  maximum_waiting_requests: fields.wholeNumber('requests', 1, 1_000_000).default(1000),
  retry_budget: fields.decimalNumber('share of requests', 0, 1).default(0.2),
  idempotency_window_ms: fields.wholeNumber('milliseconds', secondMs, 365 * dayMs).default(dayMs),
};

const stopFields = {
  announce_ms: fields.wholeNumber('milliseconds', 0, 10 * minuteMs).default(5 * secondMs),
  limit_ms: fields.wholeNumber('milliseconds', 100, dayMs).default(10 * minuteMs),
};

const peerFields = { seeds: fields.addressList().default([]) };
const credentialFields = { partner: fields.identifier(), key_sha256: fields.sha256() };

const sectionKinds = [
  'daemon',
  'listen',
  'platform',
  'owner',
  'limits',
  'stop',
  'peers',
  'partner',
  'caller',
  'operator',
];

type Credentials = readonly NamedValues<typeof credentialFields>[];

function checkSections(checker: SectionChecker): {
  readonly daemon: SectionValues<typeof daemonFields> | undefined;
  readonly listen: SectionValues<typeof listenFields> | undefined;
  readonly platform: SectionValues<typeof platformFields> | undefined;
  readonly owner: SectionValues<typeof ownerFields> | undefined;
  readonly limits: SectionValues<typeof limitFields> | undefined;
  readonly stop: SectionValues<typeof stopFields> | undefined;
  readonly peers: SectionValues<typeof peerFields> | undefined;
  readonly partners: readonly string[];
  readonly callers: Credentials;
  readonly operators: Credentials;
} {
  checker.reportUnknownSections(sectionKinds);
  return {
    daemon: checker.single('daemon', daemonFields),
    listen: checker.single('listen', listenFields),
    platform: checker.single('platform', platformFields),
    owner: checker.single('owner', ownerFields),
    limits: checker.single('limits', limitFields),
    stop: checker.single('stop', stopFields),
    peers: checker.single('peers', peerFields),
    partners: checker.named('partner', {}).map((partner) => partner.name),
    callers: checker.named('caller', credentialFields),
    operators: checker.named('operator', credentialFields),
  };
}

type Sections = ReturnType<typeof checkSections>;

/** Checks that involve more than one key. */
function crossCheck(checker: SectionChecker, sections: Sections): void {
  const { owner, stop, partners } = sections;
  if (owner && owner.renew_ms * 2 > owner.lease_ms) {
    const expected = `at most half of lease_ms (${owner.lease_ms} ms), so that one lost renewal does not end the lease`;
    const message = `${owner.renew_ms} ms is too long`;
    checker.report({ section: 'owner', key: 'renew_ms', ...checker.lineOf('owner', 'renew_ms'), message, expected });
  }
  if (stop && stop.announce_ms >= stop.limit_ms) {
    const message = `${stop.announce_ms} ms leaves no time to finish requests`;
    const expected = `less than limit_ms (${stop.limit_ms} ms)`;
    checker.report({
      section: 'stop',
      key: 'announce_ms',
      ...checker.lineOf('stop', 'announce_ms'),
      message,
      expected,
    });
  }
  checkListenAddresses(checker, sections.listen);
  if (partners.length === 0) {
    checker.report({ section: 'partner', message: 'no partner is defined', expected: 'at least one [partner NAME]' });
  }
  if (partners.includes(reservedName)) {
    const message = `"${reservedName}" names the keys that concern all partners`;
    checker.report({ section: `partner ${reservedName}`, ...checker.lineOf(`partner ${reservedName}`, ''), message });
  }
  checkCredentials(checker, [...sections.callers, ...sections.operators], partners);
}

function checkListenAddresses(checker: SectionChecker, listen: Sections['listen']): void {
  const keyByAddress = new Map<string, string>();
  for (const [key, address] of Object.entries(listen ?? {})) {
    // The advertised address belongs to another process that forwards to this one.
    if (address === undefined || key === 'advertised_peers') {
      continue;
    }
    const text = `${address.host}:${address.port}`;
    const otherKey = keyByAddress.get(text);
    if (otherKey !== undefined) {
      const message = `${text} is already the address of "${otherKey}"`;
      checker.report({ section: 'listen', key, ...checker.lineOf('listen', key), message });
    }
    keyByAddress.set(text, key);
  }
}

function checkCredentials(checker: SectionChecker, credentials: Credentials, partners: readonly string[]): void {
  const titleByIdentity = new Map<string, string>();
  for (const { section, values } of credentials) {
    const { title } = section;
    if (!partners.includes(values.partner)) {
      const message = `partner "${values.partner}" is not defined`;
      const expected = `one of ${partners.join(', ') || 'the [partner NAME] sections'}`;
      checker.report({ section: title, key: 'partner', ...checker.lineOf(title, 'partner'), message, expected });
    }
    const identity = `${section.kind} ${values.key_sha256}`;
    const otherTitle = titleByIdentity.get(identity);
    if (otherTitle !== undefined) {
      const message = `key is already the key of [${otherTitle}]`;
      checker.report({ section: title, key: 'key_sha256', ...checker.lineOf(title, 'key_sha256'), message });
    }
    titleByIdentity.set(identity, title);
  }
}

/** Checked settings of a daemon. `DaemonSettings` of the daemon package has the same shape. */
export type DaemonSettingsValues = NonNullable<ReturnType<typeof toSettings>>;

function toSettings(sections: Sections) {
  const { daemon, listen, platform, owner, limits, stop, peers } = sections;
  if (!daemon || !listen || !platform || !owner || !limits || !stop || !peers) {
    return undefined;
  }
  return {
    daemon: {
      name: daemon.name,
      vm: daemon.vm,
      failureDomain: daemon.failure_domain,
      cell: daemon.cell,
      logLevel: daemon.log_level as string,
    },
    listen: {
      callers: listen.callers,
      peers: listen.peers,
      operators: listen.operators,
      ...(listen.advertised_peers ? { advertisedPeers: listen.advertised_peers } : {}),
    },
    platform: {
      logUrl: platform.log_url,
      vmListUrl: platform.vm_list_url,
      topicPrefix: platform.topic_prefix,
      claimPartitions: platform.claim_partitions,
      logRetentionMs: platform.log_retention_ms,
      logTimeoutMs: platform.log_timeout_ms,
    },
    owner: {
      leaseMs: owner.lease_ms,
      renewMs: owner.renew_ms,
      loadsPerSecond: owner.loads_per_second,
      maximumConcurrentLoads: owner.maximum_concurrent_loads,
      maximumAdaptersInTransit: owner.maximum_adapters_in_transit,
      orderDeliveryMs: owner.order_delivery_ms,
    },
    limits: {
      maximumBodyBytes: limits.maximum_body_bytes,
      maximumHeaderBytes: limits.maximum_header_bytes,
      maximumDeadlineMs: limits.maximum_deadline_ms,
      maximumWaitingRequests: limits.maximum_waiting_requests,
      retryBudget: limits.retry_budget,
      idempotencyWindowMs: limits.idempotency_window_ms,
    },
    stop: { announceMs: stop.announce_ms, limitMs: stop.limit_ms },
    seedPeers: peers.seeds,
    partners: sections.partners,
    callers: sections.callers.map(toCredential),
    operators: sections.operators.map(toCredential),
  };
}

function toCredential({ name, values }: Credentials[number]) {
  return { name, partner: values.partner, keySha256: values.key_sha256 };
}

/** Parses and checks the text of a daemon's settings file. All problems are reported at once. */
export function parseDaemonSettings(
  file: string,
  text: string,
): Outcome<DaemonSettingsValues, readonly SettingsProblem[]> {
  const checker = new SectionChecker(parseIni(file, text));
  const sections = checkSections(checker);
  crossCheck(checker, sections);
  const settings = toSettings(sections);
  return settings && checker.problems.length === 0 ? succeed(settings) : fail(checker.problems);
}

/** Formats a problem as one line. */
export function formatSettingsProblem(problem: SettingsProblem): string {
  const position = problem.line === undefined ? problem.file : `${problem.file}:${problem.line}`;
  const place = [problem.section === '' ? '' : `[${problem.section}]`, problem.key ?? ''].filter((part) => part !== '');
  const expected = problem.expected === undefined ? '' : ` (expected: ${problem.expected})`;
  return `${[position, place.join(' ')].filter((part) => part !== '').join(': ')}: ${problem.message}${expected}`;
}
