import * as fs from 'node:fs/promises';
import * as oclif from '@oclif/core';
import { BaseCommand, connectionFlags } from '../BaseCommand.js';
import type { OperatorClient, Query } from '../client/OperatorClient.js';
import { CommandError } from '../CommandError.js';
import { formatEvent, parseSince } from '../output/events.js';
import * as responses from '../responses.js';

/** Interval between two reads of `--follow`, milliseconds. */
const followIntervalMs = 500;
/** Overlap of successive reads, milliseconds: events of other daemons may arrive this much later than newer ones. */
const overlapMs = 5000;

/** `jayhaven timeline`. */
export class TimelineCommand extends BaseCommand {
  public static override summary = 'Show what happened on all daemons, in one order.';
  public static override description = `Merges the events of all daemons by hybrid time: an effect never stands before its cause. Each daemon keeps its latest 20,000 events. Daemons that do not answer are named.`;
  public static override examples = [
    '<%= config.bin %> timeline --request 0193f2c8-77aa-7c21-b6a5-0242ac120002',
    '<%= config.bin %> timeline --model solano/walkthrough --since 10m --follow',
    '<%= config.bin %> timeline --since 2026-01-31T08:00:00Z --export morning.jsonl',
  ];
  public static override flags = {
    request: oclif.Flags.string({ summary: 'Only events of this request.', helpValue: 'ID' }),
    model: oclif.Flags.string({ summary: 'Only events of this model.', helpValue: 'PARTNER/MODEL' }),
    replica: oclif.Flags.integer({ summary: 'Only events of this replica.', helpValue: 'REPLICA', min: 0 }),
    since: oclif.Flags.string({ summary: 'Only later events: 90s, 10m, 2h, or an ISO 8601 time.', helpValue: 'TIME' }),
    follow: oclif.Flags.boolean({ char: 'f', summary: 'Go on printing new events until interrupted.' }),
    export: oclif.Flags.string({ summary: 'Write the events to a file as JSON lines.', helpValue: 'FILE' }),
    ...connectionFlags,
  };

  private readonly _seenEvents = new Map<string, number>();

  public async run(): Promise<unknown> {
    const { flags } = await this.parse(TimelineCommand);
    const since = flags.since === undefined ? undefined : parseSince(flags.since, Date.now());
    if (flags.since !== undefined && since === undefined) {
      throw new CommandError('usage', `"${flags.since}" is neither a duration such as 10m nor an ISO 8601 time`);
    }
    const client = await this.connect(flags);
    const query = { request: flags.request, model: flags.model, replica: flags.replica };
    if (flags.export !== undefined) {
      await fs.writeFile(flags.export, '');
    }
    const firstResponse = this.unwrap(await client.get('/v1/timeline', { ...query, since }, responses.timeline));
    this.warnUnresponsive(firstResponse.silent);
    this._warnTruncated(firstResponse.truncated);
    await this._write(firstResponse.events, flags.export, flags.follow);
    if (flags.follow) {
      await this._follow(client, query, flags.export);
    }
    return firstResponse;
  }

  private async _follow(client: OperatorClient, query: Query, exportFile: string | undefined): Promise<void> {
    let reachable = true;
    for (;;) {
      await new Promise((resolve) => setTimeout(resolve, followIntervalMs));
      const newest = [...this._seenEvents.values()].reduce((latest, wallMs) => Math.max(latest, wallMs), 0);
      const since = Math.max(0, newest - overlapMs);
      const response = await client.get('/v1/timeline', { ...query, since }, responses.timeline);
      if (!response.ok && response.failure.kind === 'unreachable') {
        if (reachable) {
          this.warn(`${response.failure.message}; trying again`);
        }
        reachable = false;
        continue;
      }
      reachable = true;
      const events = this.unwrap(response).events.filter((event) => !this._seenEvents.has(eventKey(event)));
      await this._write(events, exportFile, true);
      this._pruneSeenEvents(newest - 2 * overlapMs);
    }
  }

  private async _write(
    events: readonly responses.TimelineEvent[],
    exportFile: string | undefined,
    follow: boolean,
  ): Promise<void> {
    for (const event of events) {
      this._seenEvents.set(eventKey(event), event.time.wallMs);
    }
    const lines = events.map((event) => `${JSON.stringify(event)}\n`).join('');
    if (exportFile !== undefined) {
      await fs.appendFile(exportFile, lines);
      if (events.length > 0 || !follow) {
        this.logToStderr(`${events.length} events written to ${exportFile}`);
      }
    } else if (this.jsonEnabled() && follow) {
      process.stdout.write(lines);
    } else {
      for (const event of events) {
        this.log(formatEvent(event));
      }
    }
  }

  private _pruneSeenEvents(beforeMs: number): void {
    for (const [key, wallMs] of this._seenEvents) {
      if (wallMs < beforeMs) {
        this._seenEvents.delete(key);
      }
    }
  }

  private _warnTruncated(daemons: readonly string[]): void {
    if (daemons.length > 0) {
      this.warn(`older events of ${daemons.join(', ')} are left out; narrow the filter`);
    }
  }
}

function eventKey(event: responses.TimelineEvent): string {
  return `${event.daemon} ${event.time.wallMs}.${event.time.counter}`;
}
