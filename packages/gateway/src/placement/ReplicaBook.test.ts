import * as vitest from 'vitest';
import { sampleReplica } from '../testing/sampleReplica.js';
import { ReplicaBook } from './ReplicaBook.js';

const replica = sampleReplica();
const limits = { weightMegabytes: 100, adapterSlots: 2 };

function openBook(): ReplicaBook {
  const book = new ReplicaBook(replica);
  const models = ['old', 'other'].map((name) => ({ name, adapters: [] }));
  book.sync({ models, loadingAdapters: [], orderInProgress: false, orderSequence: 0, bornMs: 1 }, 0, true);
  return book;
}

function usable(book: ReplicaBook): readonly string[] {
  return book.holdings().models.map((model) => model.name);
}

vitest.describe('book of a replica', () => {
  vitest.test('offers no retiring model (guards against requests that keep it in use)', () => {
    const book = openBook();
    book.clearFor('wanted', ['old'], 500);
    vitest.expect(usable(book)).toEqual(['other']);
    vitest.expect(book.placed(limits, undefined, false, 600).models[0]?.retiringSinceMs).toBe(500);
  });

  vitest.test('offers it again when the clearing is given up (guards against a model that stays hidden)', () => {
    const book = openBook();
    book.clearFor('wanted', ['old'], 500);
    book.clearFor(undefined, [], 600);
    vitest.expect(usable(book)).toEqual(['old', 'other']);
  });

  vitest.test('takes nothing on an unreachable replica (guards against models that wait for a dead one)', () => {
    const placed = openBook().placed(limits, undefined, true, 600);
    vitest.expect(placed).toMatchObject({ takesRequests: false, takesOrders: false });
  });

  vitest.test('tells an order of a former leader from none, for some time', () => {
    const book = new ReplicaBook(replica);
    book.noteFormerOrder(true, 1_000);
    book.noteFormerOrder(true, 10_000);
    vitest.expect([book.hasFormerOrder(30_000), book.hasFormerOrder(31_000)]).toEqual([true, false]);
    book.noteFormerOrder(false, 30_500);
    vitest.expect(book.hasFormerOrder(30_600)).toBe(false);
  });
});
