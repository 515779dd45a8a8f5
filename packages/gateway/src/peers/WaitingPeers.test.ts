import * as vitest from 'vitest';
import type { DaemonReport, EstimatesMessage } from './Types.js';
import { WaitingPeers } from './WaitingPeers.js';

class FakePeer {
  public readonly messages: EstimatesMessage[] = [];

  public send(_method: 'estimates', message: EstimatesMessage): void {
    this.messages.push(message);
  }
}

function report(...models: readonly string[]): DaemonReport {
  const waiting = models.map((model) => ({ target: { model }, count: 1, slackMs: 0 }));
  return { daemon: 'vm', waiting, arrivals: [], running: [], unreachable: [] };
}

vitest.describe('peers with waiting requests', () => {
  vitest.test('receive estimates for their own models only (guards against needless traffic to every daemon)', () => {
    const peers = new WaitingPeers<FakePeer>();
    const waitingPeer = new FakePeer();
    const idlePeer = new FakePeer();
    peers.applyReport(waitingPeer, report('m1'));
    peers.applyReport(idlePeer, report());
    const estimates = [
      { model: 'm1', readyInMs: 900 },
      { model: 'm2', readyInMs: 100 },
    ];
    peers.sendEstimates(estimates, 0);
    vitest.expect(waitingPeer.messages).toEqual([{ estimates: [estimates[0]] }]);
    vitest.expect(idlePeer.messages).toEqual([]);
    vitest.expect(peers.waitingFor(new Set(['m1', 'm9']))).toEqual([waitingPeer]);
    vitest.expect(peers.waitingFor(new Set(['m2']))).toEqual([]);
  });

  vitest.test('receive estimates again after a change, and at intervals (guards against stale refusals)', () => {
    const peers = new WaitingPeers<FakePeer>();
    const peer = new FakePeer();
    peers.applyReport(peer, report('m1'));
    peers.sendEstimates([{ model: 'm1', readyInMs: 900 }], 0);
    peers.sendEstimates([{ model: 'm1', readyInMs: 800 }], 100);
    vitest.expect(peer.messages.length).toBe(1);
    peers.sendEstimates([{ model: 'm1', readyInMs: 700 }], 200);
    vitest.expect(peer.messages.length).toBe(2);
    peers.sendEstimates([{ model: 'm1', readyInMs: 700 }], 600);
    vitest.expect(peer.messages.length).toBe(3);
    peers.sendEstimates([], 700);
    vitest.expect(peer.messages.at(-1)).toEqual({ estimates: [] });
  });
});
