import * as common from '@jayhaven/common';
import * as net from 'node:net';
import type { Clock } from '../Clock.js';
import type { LeaderAnnouncement } from '../leadership/KnownLeader.js';
import type { AnnouncementSender } from '../leadership/LeaderAnnouncer.js';
import { PeerChannel } from './PeerChannel.js';

/** Longest wait for the connection and the answer, milliseconds. */
const answerTimeoutMs = 1_000;

/** Sends each announcement over a connection of its own. */
export class PeerAnnouncementSender implements AnnouncementSender {
  public constructor(private readonly _clock: Clock) {}

  public async announce(address: string, leader: LeaderAnnouncement): Promise<LeaderAnnouncement | undefined> {
    const target = common.settings.parseAddress(address);
    if (target === undefined) {
      return undefined;
    }
    const channel = new PeerChannel(net.connect(target.port, target.host), this._clock);
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        channel.close('no answer to the announcement');
      }, answerTimeoutMs);
      channel.onClosed(() => {
        clearTimeout(timer);
        resolve(undefined);
      });
      channel.onMessage(({ method, params }) => {
        // A message with an earlier term was sent before the announcement arrived.
        if (method === 'leader' && params.term >= leader.term) {
          resolve(params);
          channel.close('the announcement is answered');
        }
      });
      channel.send('leader', leader);
    });
  }
}
