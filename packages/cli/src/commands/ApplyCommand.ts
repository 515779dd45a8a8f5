import * as oclif from '@oclif/core';
import { BaseCommand, connectionFlags } from '../BaseCommand.js';
import { CommandError } from '../CommandError.js';
import { readEditFile } from '../edits/readEditFile.js';
import { describeEdit } from '../edits/reportEdit.js';
import { submitEdit } from '../edits/submitEdit.js';
import { formatValue } from '../output/values.js';
import { exitCodes, type ClientFailure, type EditRequest } from '../Types.js';

interface EditReport {
  readonly key: string;
  readonly state: 'accepted' | 'pending' | 'unchanged' | 'failed' | 'notSent';
  readonly version?: number;
  readonly failure?: ClientFailure;
  /** Human-readable description of the result. */
  readonly text: string;
}

/** `jayhaven apply FILE`. */
export class ApplyCommand extends BaseCommand {
  public static override summary = 'Submit the edits of a file, one after the other.';
  public static override description = `The whole file is checked before anything is sent. Values that are already in force are skipped, so an interrupted run can be repeated. The run stops at the first edit that fails unless --keep-going is given.

An INI file has one section per key, with "value" and "reason" ("value = null" removes the key):

  [solano/exceptions/walkthrough/minimumReplicas]
  value = 1
  reason = opening week

A JSON file is a list of objects with "key", "value" and "reason".`;
  public static override examples = [
    '<%= config.bin %> apply summer.ini',
    '<%= config.bin %> apply summer.json --dry-run',
  ];
  public static override args = {
    file: oclif.Args.string({ description: 'File of edits, .ini or .json', required: true, ignoreStdin: true }),
  };
  public static override flags = {
    'dry-run': oclif.Flags.boolean({ summary: 'Check the file and print its edits; send nothing.' }),
    'keep-going': oclif.Flags.boolean({ char: 'k', summary: 'Go on after an edit that fails.' }),
    ...connectionFlags,
  };

  public async run(): Promise<unknown> {
    const { args, flags } = await this.parse(ApplyCommand);
    const edits = await readEditFile(args.file);
    if (!edits.ok) {
      throw new CommandError('error', edits.failure.join('\n'), { problems: edits.failure });
    }
    if (flags['dry-run']) {
      for (const { key, value } of edits.value) {
        this.log(`${key}: ${formatValue(value)}`);
      }
      return { edits: edits.value };
    }
    const client = await this.connect(flags);
    const reports: EditReport[] = [];
    for (const edit of edits.value) {
      const stopped = !flags['keep-going'] && reports.some((report) => report.failure);
      reports.push(stopped ? { key: edit.key, state: 'notSent', text: '' } : await this._submit(client, edit));
      if (!stopped) {
        this.log(`[${reports.length}/${edits.value.length}] ${reports.at(-1)?.text ?? ''}`);
      }
    }
    return this._reportTotals(reports);
  }

  private async _submit(client: Parameters<typeof submitEdit>[0], edit: EditRequest): Promise<EditReport> {
    const outcome = await submitEdit(client, edit, true);
    if (!outcome.ok) {
      const { kind, message } = outcome.failure;
      return { key: edit.key, state: 'failed', failure: outcome.failure, text: `${edit.key}: ${kind}: ${message}` };
    }
    const { state, version } = outcome.value;
    return { key: edit.key, state, version, text: describeEdit(outcome.value) };
  }

  private _reportTotals(reports: readonly EditReport[]): unknown {
    const count = (state: EditReport['state']): number => reports.filter((report) => report.state === state).length;
    this.log(
      `${count('accepted')} accepted, ${count('pending')} pending, ${count('unchanged')} unchanged, ` +
        `${count('failed')} failed, ${count('notSent')} not sent`,
    );
    const firstFailure = reports.find((report) => report.failure)?.failure;
    process.exitCode = firstFailure ? exitCodes[firstFailure.kind] : exitCodes.ok;
    return { edits: reports };
  }
}
