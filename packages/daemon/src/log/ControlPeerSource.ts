import * as zod from 'zod';
import type * as common from '@jayhaven/common';
import type { PeerGroup } from '../peers/PeerGroup.js';
import type { PeerOffsets } from '../peers/PeerOffsets.js';
import type { PeerRecords, PeerSource, StateImage } from './Types.js';

/** Time for which a peer holds a request for records that it does not have yet. */
export const peerWaitMs = 500;
const recordsTimeoutMs = 2000;
/** A whole state is large and is encoded at the peer. */
const stateTimeoutMs = 5000;
/** Peers tried before giving up until the next tick. */
const maximumTries = 3;

const recordsSchema: zod.ZodType<PeerRecords> = zod.discriminatedUnion('kind', [
  zod.object({
    kind: zod.literal('records'),
    records: zod.array(zod.object({ offset: zod.number(), value: zod.unknown() })),
    nextOffset: zod.number(),
  }),
  zod.object({ kind: zod.literal('gap'), nextOffset: zod.number() }),
]);
const imageSchema: zod.ZodType<StateImage> = zod.object({
  nextOffset: zod.number(),
  state: zod.unknown(),
  takenAtMs: zod.number(),
});

/** Takes records and states of the control topic from the peers that are furthest. */
export class ControlPeerSource implements PeerSource {
  public constructor(
    private readonly _group: PeerGroup,
    private readonly _offsets: PeerOffsets,
    private readonly _askSeeds: () => Promise<void>,
  ) {}

  public async recordsAfter(topic: string, offset: number): Promise<PeerRecords | undefined> {
    const parameters = { topic, offset, waitMs: peerWaitMs };
    return this._ask(await this._candidates(offset), 'log.recordsAfter', parameters, recordsTimeoutMs, recordsSchema);
  }

  public async state(topic: string, aboveOffset: number): Promise<StateImage | undefined> {
    return this._ask(await this._candidates(aboveOffset), 'log.state', { topic }, stateTimeoutMs, imageSchema);
  }

  /** Peers that are known to be ahead, else any live member: it may be about to receive records. */
  private async _candidates(offset: number): Promise<readonly common.Incarnation[]> {
    let ahead = this._offsets.appliedAtLeast(offset);
    if (ahead.length === 0) {
      await this._askSeeds();
      ahead = this._offsets.appliedAtLeast(offset);
    }
    const live = this._group.members.filter((member) => !member.self && !member.suspected);
    const suspected = new Set(this._group.members.filter((member) => member.suspected).map((m) => m.incarnation));
    const names = [...ahead.filter((name) => !suspected.has(name)), ...live.map((member) => member.incarnation)];
    return [...new Set(names)].filter((name) => this._group.hasAddress(name)).slice(0, maximumTries);
  }

  private async _ask<Answer>(
    candidates: readonly common.Incarnation[],
    method: string,
    parameters: unknown,
    timeoutMs: number,
    schema: zod.ZodType<Answer>,
  ): Promise<Answer | undefined> {
    for (const candidate of candidates) {
      const answer = await this._group.call(candidate, method, parameters, timeoutMs);
      const parsed = answer.ok ? schema.safeParse(answer.value) : undefined;
      if (parsed?.success) {
        return parsed.data;
      }
    }
    return undefined;
  }
}
