import * as oclif from '@oclif/core';

const environmentVariables: [string, string][] = [
  ['JAYHAVEN_ADDRESS', 'Operators address of a daemon, ip:port; several separated by commas are tried in turn'],
  ['JAYHAVEN_KEY', 'Bearer key of the operator'],
  ['JAYHAVEN_CONFIG', 'INI file with "address" and "key" in section [jayhaven]'],
];

const exitCodeLines: [string, string][] = [
  ['0', 'success'],
  ['1', 'error'],
  ['2', 'wrong usage'],
  ['3', 'refused by a rule; nothing was changed'],
  ['4', 'no daemon or no log can be reached; nothing was changed'],
  ['5', 'unconfirmed: the change may still take effect'],
];

/** Help that also lists the environment variables and the exit codes. */
export default class JayhavenHelp extends oclif.Help {
  protected override async showRootHelp(): Promise<void> {
    await super.showRootHelp();
    for (const [title, lines] of [
      ['ENVIRONMENT', environmentVariables],
      ['EXIT CODES', exitCodeLines],
    ] as const) {
      this.log(this.section(title, this.renderList(lines, { indentation: 2, spacer: '\n' })));
      this.log('');
    }
    this.log('Run "jayhaven COMMAND --help" for flags and examples of a command.');
  }
}
