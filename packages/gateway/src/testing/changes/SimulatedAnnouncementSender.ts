import type { LeaderAnnouncement } from '../../leadership/KnownLeader.js';
import type { AnnouncementSender } from '../../leadership/LeaderAnnouncer.js';
import type { Network } from './SimulatedLink.js';

/** Longest wait for the answer, milliseconds. */
const answerTimeoutMs = 1_000;

/** Sends each announcement over a simulated connection of its own. */
export class SimulatedAnnouncementSender implements AnnouncementSender {
  public constructor(private readonly _network: Network) {}

  public async announce(address: string, leader: LeaderAnnouncement): Promise<LeaderAnnouncement | undefined> {
    const link = this._network.connect(address);
    if (link === undefined) {
      return undefined;
    }
    return new Promise((resolve) => {
      const finish = (known?: LeaderAnnouncement): void => {
        clearTimeout(timer);
        link.close();
        resolve(known);
      };
      const timer = setTimeout(finish, answerTimeoutMs);
      link.onMessageToFollower(({ method, params }) => {
        const known = params as LeaderAnnouncement;
        if (method === 'leader' && known.term >= leader.term) {
          finish(known);
        }
      });
      link.toLeader.send('leader', leader);
    });
  }
}
