import type * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { MetadataStore } from '../contracts/MetadataStore.js';
import { BlockStore } from '../crashes/BlockStore.js';
import type { CrashGuard } from '../crashes/CrashGuard.js';
import { CrashLeader } from '../crashes/CrashLeader.js';
import { partsKey } from '../crashes/parts.js';
import type { CrashReport, PartBlock, SuspectsMessage } from '../crashes/Types.js';
import type { PeerChannel, PeerMessage } from './PeerChannel.js';
import type { PeerClient } from './PeerClient.js';
import type { PeerServer, ReceivedMessage } from './PeerServer.js';
import type { PeerMessages } from './Types.js';

/** Reports are kept for a new leader for this time, milliseconds. */
const reportLifetimeMs = 30_000;
const maximumKeptReports = 64;
/** Interval at which the leader reads the stored blocks while there are any: an operator may remove one, milliseconds. */
const blockReadMs = 30_000;
/** Pause after a failed read of the stored blocks, milliseconds. */
const readRetryMs = 1_000;

type Peer = PeerChannel | 'self';

interface KeptReport {
  readonly report: CrashReport;
  readonly keptMs: number;
}

/** Exchanges with the peers what is known of parts that end replicas, and keeps blocks in the store. */
export class CrashCoordinator {
  private readonly _leader: CrashLeader<Peer>;
  private readonly _blockStore: BlockStore;
  private readonly _server: PeerServer;
  private readonly _client: PeerClient;
  private _reports: readonly KeptReport[] = [];
  private _readDueMs = Number.NEGATIVE_INFINITY;
  private _isReading = false;
  /** True once this daemon has read the stored blocks since it started or began to lead. */
  private _hasRead = false;
  /** True if the store was restored since a leader, as far as this daemon knows, has stored the blocks. */
  private _mustStoreAgain = false;

  public constructor(
    private readonly _guard: CrashGuard,
    { server, client }: { readonly server: PeerServer; readonly client: PeerClient },
    store: Pick<MetadataStore, 'readBlocks' | 'writeBlock' | 'era'>,
    private readonly _isLeader: () => boolean,
    private readonly _clock: Clock,
    log: common.Logger,
  ) {
    this._server = server;
    this._client = client;
    this._blockStore = new BlockStore(store, () => _clock.now().wallMs, log);
    const links = {
      broadcast: (message: SuspectsMessage): void => {
        server.broadcast('suspects', message);
        _guard.apply(message, this._nowMs());
      },
      grantTrial: (peer: Peer, parts: readonly string[]): void => {
        this._grantTrial(peer, parts);
      },
      store: (key: string, block: PartBlock | undefined): void => {
        this._blockStore.write(key, block);
      },
      schedule: (callback: () => void, delayMs: number): void => {
        setTimeout(callback, delayMs).unref();
      },
    };
    this._leader = new CrashLeader(links, () => this._nowMs(), log);
    store.era.onChanged(() => {
      this._mustStoreAgain = true;
    });
    this._followGuard();
    this._followPeers();
  }

  /** Reports to the leader that a replica ended, and keeps the report for the next leader. */
  public report(report: CrashReport): void {
    const nowMs = this._nowMs();
    this._reports = [...this._recentReports(nowMs), { report, keptMs: nowMs }].slice(-maximumKeptReports);
    this._send('crash', report);
  }

  /** Called several times a second. */
  public tick(): void {
    const nowMs = this._nowMs();
    this._followLeadership();
    this._storeAgain();
    this._guard.expire(nowMs);
    this._leader.tick();
    this._blockStore.retry();
    const hasBlocks = this._leader.isLeading && this._guard.counts.blocked > 0;
    if (!this._isReading && nowMs >= this._readDueMs && (!this._hasRead || hasBlocks)) {
      void this.readBlocks();
    }
  }

  /** Reads the stored blocks. Called before requests are accepted; a failed read is repeated by `tick`. */
  public async readBlocks(): Promise<void> {
    this._isReading = true;
    const stored = await this._blockStore.read();
    this._isReading = false;
    this._readDueMs = this._nowMs() + (stored === undefined ? readRetryMs : blockReadMs);
    if (stored !== undefined) {
      this._applyStored(stored);
    }
  }

  private _followLeadership(): void {
    if (this._isLeader() === this._leader.isLeading) {
      return;
    }
    if (!this._isLeader()) {
      this._leader.stop();
      return;
    }
    const nowMs = this._nowMs();
    this._leader.start(this._guard.snapshot(nowMs));
    this._hasRead = false;
    this._readDueMs = nowMs;
    for (const report of this._agedReports(nowMs)) {
      this._leader.applyCrash(report);
    }
  }

  /** The leader stores the blocks again after a restore of the store, before it takes a missing one for removed. */
  private _storeAgain(): void {
    if (this._mustStoreAgain && this._leader.isLeading) {
      this._mustStoreAgain = false;
      this._blockStore.removeAgain();
      this._leader.storeAgain();
    }
  }

  private _followGuard(): void {
    this._guard.onAnswered((parts) => {
      this._send('answeredParts', { parts });
    });
    this._guard.onTrialRequested((parts) => {
      this._send('trialRequest', { parts });
    });
    this._guard.onTrialEnded((parts) => {
      this._send('trialEnd', { parts });
    });
  }

  private _followPeers(): void {
    this._client.onConnected((channel) => {
      const nowMs = this._nowMs();
      const known = this._guard.snapshot(nowMs);
      if (known.suspects.length + known.blocks.length > 0) {
        channel.send('suspects', known);
      }
      for (const report of this._agedReports(nowMs)) {
        channel.send('crash', report);
      }
    });
    this._client.onMessage((message) => {
      this._receiveFromLeader(message);
    });
    this._server.onJoined((channel) => {
      this._followLeadership();
      if (this._leader.isLeading) {
        channel.send('suspects', this._leader.snapshot());
      }
    });
    this._server.onLeft((channel) => {
      this._leader.removePeer(channel);
    });
    this._server.onMessage(({ channel, message }: ReceivedMessage) => {
      this._receiveFromFollower(channel, message);
    });
  }

  private _receiveFromLeader(message: PeerMessage): void {
    if (message.method === 'suspects') {
      this._guard.apply(message.params, this._nowMs());
    } else if (message.method === 'trialGrant') {
      this._guard.grantTrial(message.params.parts, this._nowMs());
    }
  }

  private _receiveFromFollower(peer: Peer, message: PeerMessage): void {
    this._followLeadership();
    if (message.method === 'crash') {
      this._leader.applyCrash(message.params);
    } else if (message.method === 'answeredParts') {
      this._leader.applyAnswered(message.params.parts);
    } else if (message.method === 'trialRequest') {
      this._leader.requestTrial(peer, message.params.parts);
    } else if (message.method === 'trialEnd') {
      this._leader.endTrial(peer, message.params.parts);
    } else if (message.method === 'suspects') {
      this._leader.applyKnown(message.params);
    }
  }

  private _send<Method extends 'crash' | 'answeredParts' | 'trialRequest' | 'trialEnd'>(
    method: Method,
    params: PeerMessages[Method],
  ): void {
    if (this._leader.isLeading) {
      this._receiveFromFollower('self', { method, params } as PeerMessage);
    } else {
      this._client.send(method, params);
    }
  }

  private _grantTrial(peer: Peer, parts: readonly string[]): void {
    if (peer === 'self') {
      this._guard.grantTrial(parts, this._nowMs());
    } else {
      peer.send('trialGrant', { parts });
    }
  }

  private _applyStored(stored: ReadonlyMap<string, PartBlock>): void {
    this._storeAgain();
    const blocks = [...stored.values()].filter(({ parts }) => !this._blockStore.isUnsaved(partsKey(parts)));
    if (this._leader.isLeading) {
      if (this._hasRead) {
        this._leader.liftUnless((key) => stored.has(key) || this._blockStore.isUnsaved(key));
      }
      this._leader.applyKnown({ suspects: [], blocks });
    } else {
      this._guard.apply({ whole: false, suspects: [], blocks, lifted: [] }, this._nowMs());
    }
    this._hasRead = true;
  }

  private _recentReports(nowMs: number): readonly KeptReport[] {
    return this._reports.filter(({ keptMs }) => nowMs - keptMs < reportLifetimeMs);
  }

  /** Recent reports, with their age as of now. */
  private _agedReports(nowMs: number): readonly CrashReport[] {
    return this._recentReports(nowMs).map(({ report, keptMs }) => ({
      ...report,
      ageMs: report.ageMs + nowMs - keptMs,
    }));
  }

  private _nowMs(): number {
    return this._clock.now().steadyMs;
  }
}
