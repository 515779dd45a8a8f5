import * as fs from 'node:fs/promises';
import * as common from '@jayhaven/common';
import type { ClientSettings } from '../Types.js';

const { settings } = common;

/** Flags with the address and key of the operators' interface; values of environment variables are already included. */
export interface ConnectionFlags {
  readonly address: string | undefined;
  readonly key: string | undefined;
  readonly config: string | undefined;
}

interface FileValues {
  readonly address?: string;
  readonly key?: string;
}

const fileFields = {
  address: settings.addressListText().optional(),
  key: settings.text().optional(),
};

/** Combines flags and environment variables with the settings file; they take precedence over the file. */
export async function readClientSettings(
  flags: ConnectionFlags,
  defaultFile: string,
): Promise<common.Outcome<ClientSettings, string>> {
  const file = await readFileValues(flags.config ?? defaultFile, flags.config !== undefined);
  if (!file.ok) {
    return file;
  }
  const address = flags.address ?? file.value.address;
  const key = flags.key ?? file.value.key;
  if (address === undefined) {
    return common.fail('no address: give --address, JAYHAVEN_ADDRESS or "address" in the settings file');
  }
  if (key === undefined) {
    return common.fail('no key: give JAYHAVEN_KEY, --key or "key" in the settings file');
  }
  const addresses = address.split(',').map((part) => part.trim());
  const invalid = addresses.find((part) => !settings.parseAddress(part));
  return invalid === undefined
    ? common.succeed({ addresses, key })
    : common.fail(`"${invalid}" is not ip:port, for example 127.0.0.1:8070`);
}

async function readFileValues(path: string, required: boolean): Promise<common.Outcome<FileValues, string>> {
  let text: string;
  try {
    text = await fs.readFile(path, 'utf8');
  } catch (error) {
    return required ? common.fail(`settings file cannot be read: ${String(error)}`) : common.succeed({});
  }
  const checker = new settings.SectionChecker(settings.parseIni(path, text));
  checker.reportUnknownSections(['jayhaven']);
  const values = checker.single('jayhaven', fileFields);
  if (!values || checker.problems.length > 0) {
    return common.fail(checker.problems.map(settings.formatSettingsProblem).join('\n'));
  }
  const { address, key } = values;
  return common.succeed({ ...(address === undefined ? {} : { address }), ...(key === undefined ? {} : { key }) });
}
