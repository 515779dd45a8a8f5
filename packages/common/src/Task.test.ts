import * as vitest from 'vitest';
import { Task } from './Task.js';

class Recorder extends Task<number> {
  public readonly handled: number[] = [];

  public constructor(capacity?: number) {
    super(capacity);
  }

  protected override handle(message: number): void {
    this.handled.push(message);
  }
}

vitest.describe('Task', () => {
  vitest.test(
    'handles messages in order and drains the mailbox on disposal (guards against lost messages)',
    async () => {
      const recorder = new Recorder();
      for (const message of [1, 2, 3]) {
        vitest.expect(recorder.post(message)).toBe(true);
      }
      await recorder[Symbol.asyncDispose]();
      vitest.expect(recorder.handled).toEqual([1, 2, 3]);
      vitest.expect(recorder.post(4)).toBe(false);
    },
  );

  vitest.test(
    'rejects messages beyond its capacity instead of throwing (guards against a channel overflow)',
    async () => {
      const recorder = new Recorder(2);
      const accepted = [1, 2, 3, 4, 5].filter((message) => recorder.post(message));
      vitest.expect(accepted.length).toBeLessThan(5);
      await recorder[Symbol.asyncDispose]();
      vitest.expect(recorder.handled).toEqual(accepted);
    },
  );
});
