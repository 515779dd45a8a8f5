import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import * as zod from 'zod';
import type { DaemonContext } from '../Types.js';
import type { PeerGroup } from './PeerGroup.js';
import type { PeerOffsets } from './PeerOffsets.js';
import { neighboursOf } from './ring.js';
import type { HeartbeatBody } from './Types.js';

const heartbeatIntervalMs = 1000;
const heartbeatTimeoutMs = 1000;
/** Seeds contacted per interval while the group is not known; the next interval uses the following seeds. */
const seedsPerHeartbeat = 3;

const relayedContactSchema = zod.object({ incarnation: zod.string(), ageMs: zod.number().min(0) });
const addressSchema = zod.object({ host: zod.string(), port: zod.number() });
const heartbeatSchema: zod.ZodType<HeartbeatBody> = zod.object({
  appliedOffset: zod.number(),
  furthest: zod.object({ incarnation: zod.string(), offset: zod.number() }).optional(),
  leaving: zod.array(zod.object({ vm: zod.string(), ageMs: zod.number().min(0) })).optional(),
  suspected: zod.array(relayedContactSchema).optional(),
  answering: zod.array(relayedContactSchema).optional(),
  address: addressSchema.optional(),
});

/** State of the replayed control topic that heartbeats need. */
export interface HeartbeatSource {
  readonly appliedOffset: number;
  /** Whether the list of daemons of the cell is current, so that no seeds are needed. */
  readonly isCurrent: boolean;
  /** Whether this daemon's `daemonJoined` is replayed, so that other daemons know its address. */
  readonly isJoined: boolean;
  /** Records an offset that a peer has applied. */
  noteOffset(offset: number): void;
}

/** Sends a heartbeat to the ring neighbours every second and responds to the heartbeats of others. */
export class Heartbeats extends common.Task<'beat'> {
  private _nextSeed = 0;
  private _stopped = false;

  public constructor(
    private readonly _context: DaemonContext,
    private readonly _self: common.Incarnation,
    private readonly _group: PeerGroup,
    private readonly _offsets: PeerOffsets,
    private readonly _source: HeartbeatSource,
  ) {
    super();
    _group.handle('peer.heartbeat', (parameters, caller) => {
      this._handleHeartbeat(caller, heartbeatSchema.parse(parameters));
      return Promise.resolve(this._buildBody());
    });
    this.post('beat');
    this.postEvery(heartbeatIntervalMs, () => 'beat');
  }

  /** Sends heartbeats to seeds at once, so that a starting daemon receives the offsets of its peers. */
  public async contactSeeds(): Promise<void> {
    await Promise.all(this._nextSeeds().map((seed) => this._sendHeartbeatToSeed(seed)));
  }

  /** Stops sending heartbeats; those of others still get a response. */
  public stop(): void {
    this._stopped = true;
  }

  public override async [Symbol.asyncDispose](): Promise<void> {
    this._stopped = true;
    await super[Symbol.asyncDispose]();
  }

  protected override handle(): void {
    if (this._stopped) {
      return;
    }
    const nowMs = this._context.now();
    const { members, suspicions } = this._group;
    const names = members.map(({ incarnation }) => incarnation);
    const neighbours = neighboursOf(this._self, names, (member) => suspicions.isSuspected(member, nowMs));
    for (const neighbour of neighbours) {
      void this._sendHeartbeat(neighbour);
    }
    if (neighbours.length === 0 || !this._source.isCurrent) {
      void this.contactSeeds();
    }
    this._group.refresh();
  }

  private async _sendHeartbeat(neighbour: common.Incarnation): Promise<void> {
    const response = await this._group.call(neighbour, 'peer.heartbeat', this._buildBody(), heartbeatTimeoutMs);
    if (response.ok) {
      this._handleResponse(neighbour, response.value);
    } else if (!this._stopped && response.failure.kind !== 'error') {
      this._group.suspicions.recordMissed(neighbour, this._context.now());
      this._group.refresh();
    }
  }

  private async _sendHeartbeatToSeed(seed: decisions.Address): Promise<void> {
    const response = await this._group.callAddress(seed, 'peer.heartbeat', this._buildBody(), heartbeatTimeoutMs);
    if (response.ok && response.value.callee !== this._self) {
      this._group.addLearnedAddress(response.value.callee, seed);
      this._handleResponse(response.value.callee, response.value.body);
    }
  }

  private _nextSeeds(): readonly decisions.Address[] {
    const seeds = this._context.settings.seedPeers;
    const count = Math.min(seedsPerHeartbeat, seeds.length);
    const chosen = Array.from({ length: count }, (_none, index) => seeds[(this._nextSeed + index) % seeds.length]);
    this._nextSeed = seeds.length === 0 ? 0 : (this._nextSeed + count) % seeds.length;
    return chosen.filter((seed) => seed !== undefined);
  }

  private _handleResponse(sender: common.Incarnation, body: unknown): void {
    const parsed = heartbeatSchema.safeParse(body);
    if (parsed.success) {
      this._handleHeartbeat(sender, parsed.data);
    }
  }

  private _handleHeartbeat(sender: common.Incarnation, body: HeartbeatBody): void {
    const nowMs = this._context.now();
    this._offsets.record(sender, body.appliedOffset);
    if (body.furthest && body.furthest.incarnation !== this._self) {
      this._offsets.record(body.furthest.incarnation, body.furthest.offset);
    }
    this._source.noteOffset(Math.max(body.appliedOffset, body.furthest?.offset ?? -1));
    if (body.address) {
      this._group.addLearnedAddress(sender, body.address);
    }
    // Suspicions of this daemon itself are ignored.
    const others = (body.suspected ?? []).filter(({ incarnation }) => incarnation !== this._self);
    this._group.suspicions.merge(others, body.answering ?? [], nowMs);
    this._group.refresh();
    if (this._group.hints.merge(body.leaving ?? [], nowMs)) {
      this._group.fireLeavingHints();
    }
  }

  private _buildBody(): HeartbeatBody {
    const nowMs = this._context.now();
    const { appliedOffset, isJoined } = this._source;
    const { hints, suspicions, address } = this._group;
    const furthest = this._offsets.furthest;
    return {
      appliedOffset,
      furthest: furthest && furthest.offset > appliedOffset ? furthest : undefined,
      leaving: undefinedIfEmpty(hints.hintsToRelay(nowMs)),
      suspected: undefinedIfEmpty(suspicions.suspicionsToRelay(nowMs)),
      answering: undefinedIfEmpty(suspicions.withdrawalsToRelay(nowMs)),
      address: isJoined ? undefined : address,
    };
  }
}

function undefinedIfEmpty<Entry>(list: readonly Entry[]): readonly Entry[] | undefined {
  return list.length === 0 ? undefined : list;
}
