import type * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { MetadataStore } from '../contracts/MetadataStore.js';
import { decideOrigin } from '../streams/decideOrigin.js';
import { groupOrigins, OriginTable, ungroupOrigins } from '../streams/OriginTable.js';
import { type OriginListener, PendingQueries } from '../streams/PendingQueries.js';
import { readStreamRecords } from '../streams/readStreamRecords.js';
import { StoredWaits } from '../streams/StoredWaits.js';
import { StreamRegistry, type StreamRegistryContext } from '../streams/StreamRegistry.js';
import type {
  OriginAnswer,
  OriginQuery,
  OriginReply,
  StreamOrigin,
  StreamOrigins,
  VersionsMessage,
} from '../streams/Types.js';
import { VersionGate } from '../streams/VersionGate.js';
import { messageIntervals } from './messageIntervals.js';
import type { PeerChannel, PeerMessage } from './PeerChannel.js';
import type { PeerClient } from './PeerClient.js';
import type { PeerServer } from './PeerServer.js';

/** Time without a leader after which a daemon reads the origins in the store itself, milliseconds. */
const leaderlessMs = 200;
/** Least time between two such reads, milliseconds; more if there are many daemons. */
const minimumReadMs = 500;
/** Time for which origins are gathered before a message, milliseconds. */
const gatherMs = 5;
/**
 * Longest time for which the first event of a stream waits whose origin must be stored, milliseconds. Callers leave after 2 s
 * without a first event.
 */
const longestRequiredWaitMs = 1_500;
/** Time after which a store that has not stored an origin counts as late, milliseconds. */
const lateRecordMs = 400;
/** Time for which the versions of the present replicas are kept, milliseconds. */
const presentVersionsMs = 100;
/** Largest number of origins in a message. */
const maximumMessageOrigins = 4_000;

/** What the coordinator needs to know of its daemon. */
export interface StreamCoordinatorContext extends StreamRegistryContext {
  /** True while this daemon holds the lease, by both clocks. */
  holdsLease(): boolean;
  /** True while messages of a leader arrive. */
  hearsLeader(): boolean;
  daemonCount(): number;
}

/** The connections to the daemons that follow this one, and to the leader. */
export interface StreamLinks {
  readonly server: Pick<PeerServer, 'broadcast' | 'onJoined' | 'onMessage'>;
  readonly client: Pick<PeerClient, 'send' | 'onConnected' | 'onMessage'>;
}

/** A message of a follower whose origins are not stored yet. */
interface OpenMessage {
  readonly channel: Pick<PeerChannel, 'send'>;
  readonly sequence: number;
  /** Position up to which the registry must have stored origins. */
  readonly position: number;
}

/** Finds out where streams began, with the peers and the store, so that they go on at the same software version. */
export class StreamCoordinator implements StreamOrigins {
  private readonly _server: StreamLinks['server'];
  private readonly _client: StreamLinks['client'];
  private readonly _registry: StreamRegistry;
  private readonly _gate: VersionGate;
  /** Streams that began at this daemon. */
  private readonly _own = new OriginTable();
  private readonly _pending = new PendingQueries();
  /** Services whose origins the leader wants. */
  private _recorded: ReadonlySet<string> = new Set();
  private _unsent: readonly StreamOrigin[] = [];
  /** Number of the next message with origins on the connection to the leader. */
  private _nextSequence = 1;
  /** Streams whose origins are in messages to the leader, by number of the message. */
  private readonly _sentWaits: StoredWaits;
  /** Those of them whose first events must not be passed on before. */
  private readonly _requiredSentWaits: StoredWaits;
  /** Streams whose origins this daemon stores as the leader, by position. */
  private readonly _waits: StoredWaits;
  /** Those of them whose first events must not be passed on before. */
  private readonly _requiredWaits: StoredWaits;
  /** Versions of the present replicas, by service, and when they were gathered, steady milliseconds. */
  private _presentVersions: ReadonlyMap<string, readonly string[]> = new Map();
  private _presentVersionsMs = Number.NEGATIVE_INFINITY;
  /** Messages of followers whose origins are not stored yet, oldest first. */
  private _openMessages: readonly OpenMessage[] = [];
  private _sendTimer: NodeJS.Timeout | undefined;
  private _lastSentMs = Number.NEGATIVE_INFINITY;
  /** True if the leader that this daemon is connected to has announced versions. */
  private _hasAnnouncement = false;
  private _announcedTerm: number | undefined;
  private _lastHeardMs: number;
  private _nextReadMs = Number.NEGATIVE_INFINITY;
  private _isReading = false;

  public constructor(
    { server, client }: StreamLinks,
    private readonly _store: Pick<MetadataStore, 'readStreamRecords' | 'writeStreamRecord' | 'era'>,
    private readonly _context: StreamCoordinatorContext,
    private readonly _clock: Clock,
    private readonly _log: common.Logger,
  ) {
    this._server = server;
    this._client = client;
    this._lastHeardMs = this._nowMs();
    this._sentWaits = new StoredWaits(_clock);
    this._waits = new StoredWaits(_clock);
    this._requiredSentWaits = new StoredWaits(_clock, longestRequiredWaitMs);
    this._requiredWaits = new StoredWaits(_clock, longestRequiredWaitMs);
    this._gate = new VersionGate((service) => this._versionsPresent(service));
    this._registry = new StreamRegistry(_store, _context, _clock, _log);
    this._registry.onVersions((message) => {
      server.broadcast('streamVersions', message);
      this._applyVersions(message);
      this._resumeWaits(this._registry.position);
      this._resolveSaved(this._registry.savedPosition);
    });
    this._registry.onSaved((position) => {
      this._resolveSaved(position);
    });
    this._followPeers();
  }

  public record(origin: StreamOrigin): void {
    const nowMs = this._nowMs();
    if (!this._own.add(origin, nowMs)) {
      return;
    }
    if (this._registry.isLeading) {
      this._registry.add([origin], nowMs);
    } else if (this._recorded.has(origin.service) || !this._gate.isAnnounced(origin.service, origin.version)) {
      this._unsent = [...this._unsent, origin];
      this._scheduleSend();
    }
  }

  public begin(origin: StreamOrigin, onStored: () => void, onFailed: () => void): void {
    const nowMs = this._nowMs();
    const isNew = this._own.add(origin, nowMs);
    const isRequired = this._gate.needsRecord(origin.service, origin.version, nowMs);
    if (this._registry.isLeading) {
      const position = this._registry.add([origin], nowMs);
      if (isRequired) {
        this._requiredWaits.add(position, onStored, onFailed);
      } else {
        this._waits.add(position, onStored);
      }
      return;
    }
    const isRecorded = this._recorded.has(origin.service);
    if (isRequired || (isNew && (isRecorded || !this._gate.isAnnounced(origin.service, origin.version)))) {
      this._unsent = [...this._unsent, origin];
      this._scheduleSend();
    }
    if (isRequired) {
      this._requiredSentWaits.add(this._sequenceOfUnsent, onStored, onFailed);
    } else {
      this._sentWaits.add(isNew && isRecorded ? this._sequenceOfUnsent : undefined, onStored);
    }
  }

  public mayBegin(service: string, version: string): boolean {
    const nowMs = this._nowMs();
    return this._gate.mayBegin(service, version, nowMs, this._isRecording(nowMs));
  }

  /** Number of the message that will hold the last origin that is not sent yet. */
  private get _sequenceOfUnsent(): number {
    return this._nextSequence + Math.max(Math.ceil(this._unsent.length / maximumMessageOrigins) - 1, 0);
  }

  /** True while origins are stored in time. */
  private _isRecording(nowMs: number): boolean {
    const waits = this._registry.isLeading ? this._requiredWaits : this._requiredSentWaits;
    const hasLeader = this._registry.isLeading || this._context.hearsLeader();
    return hasLeader && waits.oldestMs(nowMs) < lateRecordMs;
  }

  private _versionsPresent(service: string): readonly string[] {
    const nowMs = this._nowMs();
    if (nowMs - this._presentVersionsMs >= presentVersionsMs) {
      this._presentVersionsMs = nowMs;
      this._presentVersions = this._gatherPresentVersions();
    }
    return this._presentVersions.get(service) ?? [];
  }

  private _gatherPresentVersions(): ReadonlyMap<string, readonly string[]> {
    const versions = new Map<string, string[]>();
    for (const { service, softwareVersion } of this._context.replicas()) {
      const present = versions.get(service) ?? [];
      versions.set(service, present.includes(softwareVersion) ? present : [...present, softwareVersion]);
    }
    return versions;
  }

  public findOrigin(query: OriginQuery, listener: OriginListener): () => void {
    const version = query.attemptId === undefined ? undefined : this._own.versionOf(query.attemptId);
    if (version !== undefined) {
      listener({ kind: 'known', version });
      return () => undefined;
    }
    const cancel = this._pending.add(query, listener);
    this._ask([query]);
    return cancel;
  }

  /** Called several times a second. */
  public tick(): void {
    const nowMs = this._nowMs();
    this._followLeadership(nowMs);
    this._own.expire(nowMs - this._context.lifetimeMs());
    if (this._registry.isLeading) {
      this._registry.tick(nowMs);
    }
    if (this._unsent.length > 0) {
      this._scheduleSend();
    }
    this._ask(this._pending.all);
    this._readIfLeaderless(nowMs);
  }

  private _followLeadership(nowMs: number): void {
    const leads = this._context.holdsLease();
    if (leads && !this._registry.isLeading) {
      this._registry.start(this._own.all(), nowMs);
      this._requiredSentWaits.moveTo(this._requiredWaits);
      this._unsent = [];
    } else if (!leads && this._registry.isLeading) {
      this._registry.stop();
      this._waits.resolveAll();
      this._requiredWaits.moveTo(this._requiredSentWaits);
      this._openMessages = [];
    }
  }

  private _followPeers(): void {
    this._client.onConnected(() => {
      this._nextSequence = 1;
      this._announcedTerm = undefined;
      this._forgetLeader();
      this._ask(this._pending.all);
    });
    this._client.onMessage((message) => {
      this._receiveFromLeader(message);
    });
    this._server.onJoined((channel) => {
      const message = this._leads() ? this._registry.announcement(this._nowMs()) : undefined;
      if (message !== undefined) {
        channel.send('streamVersions', message);
      }
    });
    this._server.onMessage(({ channel, message }) => {
      this._receiveFromFollower(channel, message);
    });
  }

  /** Sends everything again to the next leader, since what the former one has received may be lost. */
  private _forgetLeader(): void {
    this._recorded = new Set();
    this._sentWaits.resolveAll();
    this._requiredSentWaits.suspend();
    this._hasAnnouncement = false;
  }

  private _receiveFromLeader(message: PeerMessage): void {
    if (message.method === 'streamVersions') {
      this._applyVersions(message.params);
    } else if (message.method === 'originsStored') {
      this._sentWaits.resolve(message.params.sequence);
      this._requiredSentWaits.resolve(message.params.sequence);
    } else if (message.method === 'originReply') {
      const { version, ...query } = message.params;
      this._pending.answer(query, version === undefined ? { kind: 'unknown' } : { kind: 'known', version });
    }
  }

  private _receiveFromFollower(channel: Pick<PeerChannel, 'send'>, message: PeerMessage): void {
    if (message.method === 'streamOrigins' && this._leads()) {
      const position = this._registry.add(ungroupOrigins(message.params.groups), this._nowMs());
      const { sequence } = message.params;
      if (position === undefined) {
        channel.send('originsStored', { sequence });
      } else {
        this._openMessages = [...this._openMessages, { channel, sequence, position }];
      }
    } else if (message.method === 'originQuery') {
      const answer = this._leads() ? this._registry.answer(message.params, this._nowMs()) : undefined;
      if (answer !== undefined) {
        channel.send('originReply', toReply(message.params, answer));
      }
    }
  }

  /**
   * Applies the leader's announcement. The origins of services that it newly wants are sent from the beginning, and to a
   * new leader those of versions that it does not know.
   */
  private _applyVersions({ versions, bases, recorded, term }: VersionsMessage): void {
    this._gate.announce(versions, bases);
    if (term !== this._announcedTerm) {
      this._announcedTerm = term;
      this._forgetLeader();
    }
    const added = recorded.filter((service) => !this._recorded.has(service));
    const isFirst = !this._hasAnnouncement;
    this._recorded = new Set(recorded);
    this._hasAnnouncement = true;
    if (!this._registry.isLeading && (added.length > 0 || isFirst)) {
      const isWanted = ({ service, version }: StreamOrigin): boolean =>
        added.includes(service) || (isFirst && !this._gate.isAnnounced(service, version));
      this._unsent = [...this._unsent, ...this._own.all().filter(isWanted)];
      this._scheduleSend();
    }
    this._requiredSentWaits.resume(this._sequenceOfUnsent);
  }

  /** Sends origins soon, as the first events of their streams wait for it, but a limited number of messages a second. */
  private _scheduleSend(): void {
    const { originsMs } = messageIntervals(this._context.daemonCount());
    const dueMs = this._lastSentMs + originsMs;
    this._sendTimer ??= setTimeout(
      () => {
        this._sendTimer = undefined;
        this._sendOrigins();
      },
      Math.max(dueMs - this._nowMs(), gatherMs),
    ).unref();
  }

  private _sendOrigins(): void {
    if (this._unsent.length === 0 || !this._context.hearsLeader()) {
      return;
    }
    const batch = this._unsent.slice(0, maximumMessageOrigins);
    this._unsent = this._unsent.slice(batch.length);
    this._lastSentMs = this._nowMs();
    this._client.send('streamOrigins', { sequence: this._nextSequence, groups: groupOrigins(batch) });
    this._nextSequence += 1;
  }

  /** Sets the positions of origins that were added before the leader had read the records. */
  private _resumeWaits(position: number): void {
    this._waits.resume(position);
    this._requiredWaits.resume(position);
    this._openMessages = this._openMessages.map((message) => {
      return { ...message, position: Math.min(message.position, position) };
    });
  }

  private _resolveSaved(position: number): void {
    this._waits.resolve(position);
    this._requiredWaits.resolve(position);
    this._confirm(position);
  }

  /** Confirms the messages of followers whose origins are stored. */
  private _confirm(position: number): void {
    const stored = this._openMessages.filter((message) => message.position <= position);
    this._openMessages = this._openMessages.filter((message) => message.position > position);
    const newest = new Map(stored.map(({ channel, sequence }) => [channel, sequence]));
    for (const [channel, sequence] of newest) {
      channel.send('originsStored', { sequence });
    }
  }

  /** Asks the leader, which may be this daemon. Queries without an answer are asked again with each tick. */
  private _ask(queries: readonly OriginQuery[]): void {
    const leads = this._leads();
    for (const query of queries) {
      const answer = leads ? this._registry.answer(query, this._nowMs()) : undefined;
      if (answer !== undefined) {
        this._pending.answer(query, answer);
      } else if (!leads && this._context.hearsLeader()) {
        this._client.send('originQuery', query);
      }
    }
  }

  private _readIfLeaderless(nowMs: number): void {
    if (this._registry.isLeading || this._context.hearsLeader()) {
      this._lastHeardMs = nowMs;
      return;
    }
    const needsAnswers = this._pending.all.length > 0 && nowMs - this._lastHeardMs >= leaderlessMs;
    if ((needsAnswers || !this._gate.hasAnnouncement) && nowMs >= this._nextReadMs && !this._isReading) {
      const { leaderlessReadMs } = messageIntervals(this._context.daemonCount());
      this._nextReadMs = nowMs + Math.max(minimumReadMs, leaderlessReadMs);
      this._isReading = true;
      void this._readStore(needsAnswers ? this._pending.all : []).then(() => {
        this._isReading = false;
      });
    }
  }

  /** Answers queries by the records in the store. What they do not tell, the next leader may. */
  private async _readStore(queries: readonly OriginQuery[]): Promise<void> {
    const outcome = await this._store.readStreamRecords();
    if (!outcome.ok) {
      this._log.warn('Could not read the origins of streams.', { reason: outcome.failure.message });
      return;
    }
    const { history, origins } = readStreamRecords(outcome.value.records, this._log);
    if (!this._gate.hasAnnouncement) {
      this._gate.announce(history?.versions ?? {}, history?.bases);
    }
    const recorded = new Map(origins.map(({ attemptId, version }) => [attemptId, version]));
    for (const query of queries) {
      const stored = history?.versions[query.service] ?? [];
      const present = this._gatherPresentVersions().get(query.service) ?? [];
      const versions = new Set([...stored, ...present]);
      const base = history?.bases?.[query.service];
      const isBaseCertain = base !== undefined && present.includes(base) && versions.size === stored.length;
      const answer = decideOrigin({
        isNamed: query.attemptId !== undefined,
        recorded: query.attemptId === undefined ? undefined : recorded.get(query.attemptId),
        versions: [...versions],
        base: isBaseCertain ? base : undefined,
        // A daemon that does not know the replicas yet may lack a version.
        isHistoryComplete: present.length > 0 && history?.era === outcome.value.era,
        areRecordsComplete: false,
      });
      if (answer !== undefined) {
        this._pending.answer(query, answer);
      }
    }
  }

  /** True if this daemon leads at this moment. */
  private _leads(): boolean {
    return this._registry.isLeading && this._context.holdsLease();
  }

  private _nowMs(): number {
    return this._clock.now().steadyMs;
  }
}

function toReply(query: OriginQuery, answer: OriginAnswer): OriginReply {
  return answer.kind === 'known' ? { ...query, version: answer.version } : query;
}
