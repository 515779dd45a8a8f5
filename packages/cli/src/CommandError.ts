import * as oclif from '@oclif/core';
import { exitCodes, type ClientFailure } from './Types.js';

/** Error of a command with its exit code and, for `--json`, the body of the response that caused it. */
export class CommandError extends oclif.Errors.CLIError {
  public readonly exitCode: number;

  public constructor(
    public readonly kind: keyof typeof exitCodes,
    message: string,
    public readonly body?: unknown,
  ) {
    super(message, { exit: exitCodes[kind] });
    this.exitCode = exitCodes[kind];
  }

  /** Creates the error of a failed request. */
  public static fromFailure(failure: ClientFailure): CommandError {
    return new CommandError(failure.kind, failure.message, failure.body);
  }
}
