import * as fs from 'node:fs/promises';
import * as common from '@jayhaven/common';
import type { DaemonSettings } from '../Types.js';

/** Reads and validates a settings file. Returns settings only if the whole file is valid. */
export async function readSettings(
  path: string,
): Promise<common.Outcome<DaemonSettings, readonly common.settings.SettingsProblem[]>> {
  let text: string;
  try {
    text = await fs.readFile(path, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return common.fail([{ file: path, section: '', message: `file cannot be read: ${reason}` }]);
  }
  return common.settings.parseDaemonSettings(path, text);
}
