import type { Clock } from '../Clock.js';
import type { DaemonQuotas, LimitedTenant } from '../quotas/DaemonQuotas.js';
import type { QuotaAllocator } from '../quotas/QuotaAllocator.js';
import type { QuotaDecider } from '../quotas/QuotaStep.js';
import type { QuotaTicket } from '../quotas/QuotaTicket.js';
import { isQuotaAsk } from '../quotas/isQuotaAsk.js';
import { ownRateMs } from '../quotas/quotaRates.js';
import type { QuotaAnswer, QuotaAsk } from '../quotas/Types.js';
import type { Instant } from '../Types.js';
import { messageIntervals } from './messageIntervals.js';
import type { PeerChannel, PeerMessage } from './PeerChannel.js';
import type { PeerClient } from './PeerClient.js';
import type { PeerServer, ReceivedMessage } from './PeerServer.js';

/** Time without messages after which the leader assumes that a daemon continues alone, milliseconds. */
const silenceMs = 1_500;

/**
 * Exchanges requests for quota and their answers with the peers. A daemon asks at once when a request needs it; further
 * ones within a short time share a message.
 */
export class QuotaCoordinator implements QuotaDecider, AsyncDisposable {
  private readonly _client: PeerClient;
  /** Channels of the daemons that have asked, by name. */
  private readonly _channels = new Map<string, PeerChannel>();
  /** Fencing token of the last term, which goes on if a late renewal of the lease interrupts it. */
  private _term: number | undefined;
  private _lastAskMs = Number.NEGATIVE_INFINITY;
  private _askTimer: NodeJS.Timeout | undefined;
  private _stepTimer: NodeJS.Timeout | undefined;

  public constructor(
    private readonly _quotas: DaemonQuotas,
    private readonly _allocator: QuotaAllocator,
    { server, client }: { readonly server: PeerServer; readonly client: PeerClient },
    /** Fencing token; undefined while this daemon may not act as the leader. */
    private readonly _leaderToken: (now: Instant) => number | undefined,
    private readonly _daemonCount: () => number,
    private readonly _clock: Clock,
  ) {
    this._client = client;
    server.onMessage((received) => {
      this._receiveFromFollower(received);
    });
    client.onMessage((message) => {
      this._receiveFromLeader(message);
    });
    client.onConnected(() => {
      _quotas.leaderChanged();
    });
  }

  public enter(tenant: LimitedTenant, ticket: QuotaTicket, now: Instant): void {
    this._quotas.enter(tenant, ticket, now);
    this._askSoon();
    this._scheduleStep();
  }

  public withdraw(tenant: string, ticket: QuotaTicket): void {
    this._quotas.withdraw(tenant, ticket);
  }

  /** Serves due requests, and charges daemons that are silent. Called several times a second. */
  public tick(): void {
    const now = this._clock.now();
    if (this._isLeading(now)) {
      this._allocator.tick(this._silentDaemons(now.steadyMs), now.steadyMs);
    }
    this._step();
  }

  public [Symbol.asyncDispose](): Promise<void> {
    clearTimeout(this._askTimer);
    clearTimeout(this._stepTimer);
    return Promise.resolve();
  }

  private _step(): void {
    this._quotas.step(this._clock.now());
    this._askSoon();
    this._scheduleStep();
  }

  /** Sends a message to the leader if one is needed: at once, or a short time after the last one. */
  private _askSoon(): void {
    const now = this._clock.now();
    if (this._askTimer !== undefined || !this._quotas.needsAsk(now)) {
      return;
    }
    const delayMs = this._lastAskMs + messageIntervals(this._daemonCount()).urgentReportMs - now.steadyMs;
    if (delayMs <= 0 || this._isLeading(now)) {
      this._ask(now);
      return;
    }
    this._askTimer = setTimeout(() => {
      this._askTimer = undefined;
      this._ask(this._clock.now());
      this._scheduleStep();
    }, delayMs);
  }

  private _ask(now: Instant): void {
    this._lastAskMs = now.steadyMs;
    const ask = this._quotas.takeAsk(now);
    if (ask === undefined) {
      return;
    }
    if (this._isLeading(now)) {
      this._applyAnswer(this._allocator.answer(ask, now.steadyMs));
    } else {
      this._client.send('quotaAsk', ask);
    }
  }

  private _receiveFromFollower({ channel, message }: ReceivedMessage): void {
    const now = this._clock.now();
    if (message.method === 'quotaAsk' && isQuotaAsk(message.params) && this._isLeading(now)) {
      this._answer(channel, message.params, now);
    } else if (message.method === 'report' && this._channels.has(message.params.daemon)) {
      this._channels.set(message.params.daemon, channel);
    }
  }

  private _answer(channel: PeerChannel, ask: QuotaAsk, now: Instant): void {
    this._channels.set(ask.daemon, channel);
    const answer = this._allocator.answer(ask, now.steadyMs);
    if (answer !== undefined) {
      channel.send('quotaAnswer', answer);
    }
  }

  private _receiveFromLeader(message: PeerMessage): void {
    if (message.method === 'quotaAnswer') {
      this._applyAnswer(message.params);
      this._step();
    } else if (message.method === 'status' && this._quotas.size > 0) {
      // Another component applies the status, after which requests that wait for a leader can be asked for.
      queueMicrotask(() => {
        this._askSoon();
      });
    }
  }

  private _applyAnswer(answer: QuotaAnswer | undefined): void {
    if (answer !== undefined) {
      this._quotas.applyAnswer(answer, this._clock.now());
    }
  }

  private _scheduleStep(): void {
    const dueMs = this._quotas.nextDueMs();
    clearTimeout(this._stepTimer);
    this._stepTimer =
      dueMs === Number.POSITIVE_INFINITY
        ? undefined
        : setTimeout(
            () => {
              this._step();
            },
            Math.max(Math.ceil(dueMs - this._clock.now().steadyMs), 0),
          );
  }

  private _isLeading(now: Instant): boolean {
    const term = this._leaderToken(now);
    if (term !== undefined && term !== this._term) {
      this._term = term;
      this._channels.clear();
      this._quotas.leaderChanged();
      this._allocator.reset(now.steadyMs);
    }
    return term !== undefined;
  }

  private _silentDaemons(nowMs: number): ReadonlySet<string> {
    const silent = new Set<string>();
    for (const [daemon, channel] of this._channels) {
      const silentMs = nowMs - channel.lastReceivedMs;
      if (silentMs >= silenceMs) {
        silent.add(daemon);
      }
      if (silentMs >= silenceMs + ownRateMs) {
        // What it may have used since its last grant is charged in full.
        this._channels.delete(daemon);
      }
    }
    return silent;
  }
}
