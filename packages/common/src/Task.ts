import csp, { type Channel } from 'js-csp';

/** Maximum number of messages in a mailbox. A js-csp channel throws at 1,024 pending operations. */
export const mailboxCapacity = 512;

/**
 * A task owns its state and its sockets. Other code communicates with it only by messages, which it handles one at a
 * time in order of arrival. An error thrown by `handle` is a broken invariant and ends the process.
 */
export abstract class Task<Message> implements AsyncDisposable {
  private readonly _mailbox: Channel<Message>;
  private readonly _finished: Promise<void>;
  private readonly _timers = new Set<NodeJS.Timeout>();
  private _closed = false;

  protected constructor(capacity: number = mailboxCapacity) {
    this._mailbox = csp.chan<Message>(csp.buffers.fixed(capacity));
    this._finished = new Promise((resolve) => {
      const mailbox = this._mailbox;
      const receive = (message: Message): void => {
        this.handle(message);
      };
      csp.go(function* (): Generator<unknown, unknown, never> {
        for (;;) {
          const message = (yield csp.take(mailbox)) as Message | typeof csp.CLOSED;
          if (message === csp.CLOSED) {
            break;
          }
          receive(message);
        }
        resolve();
        return true;
      });
    });
  }

  /** Sends a message to the task. Returns false if the task is closed or its mailbox is full. */
  public post(message: Message): boolean {
    return !this._closed && csp.offer(this._mailbox, message);
  }

  /** Stops the timers, handles the messages left in the mailbox, and ends the task. */
  public async [Symbol.asyncDispose](): Promise<void> {
    if (!this._closed) {
      this._closed = true;
      for (const timer of this._timers) {
        clearInterval(timer);
      }
      this._mailbox.close();
    }
    await this._finished;
  }

  /** Handles one message. Must not block; a long operation runs as a promise that posts its result. */
  protected abstract handle(message: Message): void;

  /** Posts a message at each interval until the task closes. Drops the message if the mailbox is full. */
  protected postEvery(intervalMs: number, makeMessage: () => Message): void {
    this._timers.add(
      setInterval(() => {
        this.post(makeMessage());
      }, intervalMs),
    );
  }

  /** Posts a message once after a delay unless the task closes first. */
  protected postAfter(delayMs: number, makeMessage: () => Message): void {
    const timer = setTimeout(() => {
      this._timers.delete(timer);
      this.post(makeMessage());
    }, delayMs);
    this._timers.add(timer);
  }
}
