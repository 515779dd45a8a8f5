import type { Route } from '../Types.js';
import { ExchangeFixture, type ReplicaScript } from './ExchangeFixture.js';

/** Runs a test with a caller server, a route and a replica for each script. */
export async function withReplicas(
  route: Partial<Route>,
  scripts: readonly ReplicaScript[],
  test: (fixture: ExchangeFixture) => Promise<void>,
): Promise<void> {
  await using fixture = new ExchangeFixture(route);
  for (const script of scripts) {
    await fixture.addReplica(script);
  }
  await fixture.open();
  await test(fixture);
}
