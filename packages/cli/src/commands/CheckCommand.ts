import * as fs from 'node:fs/promises';
import * as common from '@jayhaven/common';
import * as oclif from '@oclif/core';
import { BaseCommand } from '../BaseCommand.js';
import { CommandError } from '../CommandError.js';

/** `jayhaven check FILE`. */
export class CheckCommand extends BaseCommand {
  public static override summary = 'Check the settings file of a daemon; start nothing.';
  public static override description =
    'Names every problem with its line and the expected unit or form. Needs no daemon.';
  public static override examples = ['<%= config.bin %> check /etc/jayhaven/jayhavend.ini'];
  public static override args = {
    file: oclif.Args.string({ description: 'Settings file of a daemon', required: true, ignoreStdin: true }),
  };

  public async run(): Promise<unknown> {
    const { args } = await this.parse(CheckCommand);
    let text: string;
    try {
      text = await fs.readFile(args.file, 'utf8');
    } catch (error) {
      throw new CommandError('error', `${args.file} cannot be read: ${String(error)}`);
    }
    const outcome = common.settings.parseDaemonSettings(args.file, text);
    if (!outcome.ok) {
      const lines = outcome.failure.map(common.settings.formatSettingsProblem);
      for (const line of lines) {
        this.logToStderr(line);
      }
      const message = `${args.file} has ${lines.length} ${lines.length === 1 ? 'problem' : 'problems'}`;
      throw new CommandError('error', message, { problems: outcome.failure });
    }
    const { daemon, partners, callers, operators } = outcome.value;
    this.log(`${args.file} is valid: daemon ${daemon.name} of cell ${daemon.cell}`);
    this.log(`${partners.length} partners, ${callers.length} callers, ${operators.length} operators`);
    return { valid: true, daemon, partners };
  }
}
