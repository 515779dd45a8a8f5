import * as path from 'node:path';
import type * as common from '@jayhaven/common';
import * as oclif from '@oclif/core';
import { OperatorClient } from './client/OperatorClient.js';
import { readClientSettings, type ConnectionFlags } from './client/readClientSettings.js';
import { CommandError } from './CommandError.js';
import type { UnresponsiveDaemons } from './responses.js';
import { exitCodes, type ClientFailure } from './Types.js';

const helpGroup = 'GLOBAL';

/** Flags of every command that calls a daemon. */
export const connectionFlags = {
  address: oclif.Flags.string({
    summary: 'Operators address of a daemon; several separated by commas are tried in turn.',
    env: 'JAYHAVEN_ADDRESS',
    helpValue: 'IP:PORT',
    helpGroup,
  }),
  key: oclif.Flags.string({
    summary: 'Bearer key of the operator. Prefer the environment: a flag shows in process lists.',
    env: 'JAYHAVEN_KEY',
    helpValue: 'KEY',
    helpGroup,
  }),
  config: oclif.Flags.string({
    summary: 'INI file with "address" and "key" in section [jayhaven].',
    env: 'JAYHAVEN_CONFIG',
    helpValue: 'FILE',
    helpGroup,
  }),
};

/** Base class of all commands: connection, output and exit codes. */
export abstract class BaseCommand extends oclif.Command {
  public static override enableJsonFlag = true;

  private _client: OperatorClient | undefined;

  /** Creates the client from the flags and the settings file; it is closed when the command ends. */
  protected async connect(flags: ConnectionFlags, maximumAddresses = Infinity): Promise<OperatorClient> {
    const settings = await readClientSettings(flags, path.join(this.config.configDir, 'jayhaven.ini'));
    if (!settings.ok) {
      throw new CommandError('usage', settings.failure);
    }
    if (settings.value.addresses.length > maximumAddresses) {
      throw new CommandError('usage', 'this command takes exactly one address');
    }
    this._client = new OperatorClient(settings.value);
    return this._client;
  }

  /** Returns the value, or ends the command with the exit code of the failure. */
  protected unwrap<Value>(outcome: common.Outcome<Value, ClientFailure>): Value {
    if (!outcome.ok) {
      throw CommandError.fromFailure(outcome.failure);
    }
    return outcome.value;
  }

  /** Warns about daemons that did not respond, because the output lacks their data. */
  protected warnUnresponsive(daemons: UnresponsiveDaemons): void {
    for (const { daemon, reason } of daemons) {
      this.warn(`${daemon} did not answer (${reason})`);
    }
  }

  protected override async catch(error: oclif.Interfaces.CommandError): Promise<void> {
    if (this.jsonEnabled()) {
      // Without this, oclif exits with code 1 for every error that is printed as JSON.
      process.exitCode = exitCodeOf(error);
    }
    await super.catch(error);
  }

  protected override async finally(error: Error | undefined): Promise<void> {
    await this._client?.[Symbol.asyncDispose]();
    await super.finally(error);
  }

  protected override toErrorJson(error: unknown): unknown {
    if (error instanceof CommandError) {
      const { kind, message, exitCode, body } = error;
      return { error: { kind, message, exitCode, ...(body === undefined ? {} : { answer: body }) } };
    }
    const message = error instanceof Error ? error.message : String(error);
    return { error: { message, exitCode: exitCodeOf(error) } };
  }
}

function exitCodeOf(error: unknown): number {
  return error instanceof oclif.Errors.CLIError ? (error.oclif.exit ?? exitCodes.error) : exitCodes.error;
}
