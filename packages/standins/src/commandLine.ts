import * as util from 'node:util';
import { Engine } from './engine/Engine.js';
import { LogService } from './log/LogService.js';
import { FaultProxy } from './proxy/FaultProxy.js';
import { PlainService } from './service/PlainService.js';
import { VmList } from './vms/VmList.js';
import { WeightStore } from './weights/WeightStore.js';

/** A running stand-in and the JSON line that is printed with its ports. */
export interface StartedStandIn {
  readonly announcement: Readonly<Record<string, number>>;
  readonly standIn: AsyncDisposable;
}

type FlagValues = Readonly<Record<string, string | undefined>>;

interface StandInKind {
  readonly flags: readonly string[];
  start(values: FlagValues): Promise<StartedStandIn>;
}

const standInKinds: Readonly<Record<string, StandInKind>> = {
  log: {
    flags: ['retention-ms', 'appends-per-second', 'seed'],
    start: async (values) => announce(await LogService.open(optionsOf(values))),
  },
  'vm-list': {
    flags: ['lag-ms'],
    start: async (values) => announce(await VmList.open(optionsOf(values))),
  },
  'weight-store': {
    flags: ['concurrent', 'bytes-per-second', 'loads-per-second', 'seed'],
    start: async (values) => announce(await WeightStore.open(optionsOf(values))),
  },
  engine: {
    flags: [
      ...['accelerators', 'fencing', 'slots', 'queue-limit', 'token-ms', 'first-token-ms', 'weight-store', 'load-ms'],
      ...['load-lag-ms', 'cache-event-lag-ms', 'cache-event-loss', 'prefix-cache-entries', 'memory-cache-bytes'],
      ...['disk-cache-bytes', 'memory-bytes-per-second', 'disk-bytes-per-second', 'seed'],
    ],
    start: async (values) => announce(await Engine.open(optionsOf(values))),
  },
  service: {
    flags: ['name', 'answer-ms', 'slots', 'load-lag-ms', 'seed'],
    start: async (values) => announce(await PlainService.open(optionsOf(values))),
  },
  'fault-proxy': {
    flags: ['to', 'control-port'],
    start: async (values) => {
      const proxy = await FaultProxy.open({ ...optionsOf(values), to: values.to ?? '' });
      return { announcement: { listening: proxy.proxyPort, control: proxy.port }, standIn: proxy };
    },
  },
};

/** Starts the stand-in that the arguments name. Throws for an unknown kind or flag. */
export async function startFromArguments(commandLine: readonly string[]): Promise<StartedStandIn> {
  const [name = '', ...rest] = commandLine;
  const kind = standInKinds[name];
  if (!kind) {
    throw new Error(`unknown kind "${name}"; expected one of ${Object.keys(standInKinds).join(', ')}`);
  }
  const flags = ['host', 'port', ...kind.flags];
  const { values } = util.parseArgs({
    args: rest,
    options: Object.fromEntries(flags.map((flag) => [flag, { type: 'string' as const }])),
  });
  return kind.start(values);
}

function announce(standIn: AsyncDisposable & { readonly port: number }): StartedStandIn {
  return { announcement: { listening: standIn.port }, standIn };
}

/** Converts flags to options: names to camel case, and numeric values to numbers. */
function optionsOf(values: FlagValues): Record<string, never> {
  const options = Object.entries(values).map(([flag, text]) => {
    const name = flag.replaceAll(/-(\w)/g, (_match, letter: string) => letter.toUpperCase());
    return [name, flag === 'accelerators' ? (text ?? '').split(',').map(Number) : valueOf(text ?? '')];
  });
  return Object.fromEntries(options) as Record<string, never>;
}

function valueOf(text: string): string | number {
  return text !== '' && Number.isFinite(Number(text)) ? Number(text) : text;
}
