import * as oclif from '@oclif/core';
import { BaseCommand, connectionFlags } from '../BaseCommand.js';
import type { OperatorClient } from '../client/OperatorClient.js';
import { CommandError } from '../CommandError.js';
import { formatDuration } from '../output/values.js';
import * as responses from '../responses.js';

/** Interval between two polls of the stopping daemon, milliseconds. */
const pollIntervalMs = 500;

/** `jayhaven drain`. */
export class DrainCommand extends BaseCommand {
  public static override summary = 'Stop one daemon after its requests have finished.';
  public static override description = `The daemon fails its readiness check, keeps accepting for the announced time, finishes its requests, hands over ownership and exits. The command needs exactly one address, so that no other daemon is stopped instead.`;
  public static override examples = ['<%= config.bin %> drain --address 127.0.0.1:8070 --reason "new kernel" --wait'];
  public static override flags = {
    reason: oclif.Flags.string({ char: 'r', summary: 'Why; kept in the time line.', helpValue: 'TEXT', default: '' }),
    wait: oclif.Flags.boolean({ char: 'w', summary: 'Wait until the daemon no longer answers.' }),
    timeout: oclif.Flags.integer({ summary: 'Longest wait.', helpValue: 'SECONDS', default: 900, min: 1 }),
    ...connectionFlags,
  };

  public async run(): Promise<unknown> {
    const { flags } = await this.parse(DrainCommand);
    const client = await this.connect(flags, 1);
    const response = this.unwrap(await client.post('/v1/drain', { reason: flags.reason }, responses.drainResponse));
    this.log(`${response.daemon} is draining`);
    if (!flags.wait) {
      return response;
    }
    const waitedMs = await this._waitForStop(client, flags.timeout * 1000);
    this.log(`${response.daemon} has stopped after ${formatDuration(waitedMs)}`);
    return { ...response, state: 'stopped', waitedMs };
  }

  private async _waitForStop(client: OperatorClient, limitMs: number): Promise<number> {
    const startMs = performance.now();
    for (;;) {
      const outcome = await client.get('/v1/vms', {}, responses.vms);
      const waitedMs = performance.now() - startMs;
      if (!outcome.ok && outcome.failure.kind === 'unreachable') {
        return waitedMs;
      }
      if (waitedMs > limitMs) {
        throw new CommandError('error', `the daemon still answers after ${formatDuration(waitedMs)}`);
      }
      await new Promise((resolve) => setTimeout(resolve, pollIntervalMs));
    }
  }
}
