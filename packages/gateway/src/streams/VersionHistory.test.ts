import * as vitest from 'vitest';
import { sampleReplica } from '../testing/sampleReplica.js';
import type { Replica } from '../Types.js';
import { VersionHistory } from './VersionHistory.js';

const lifetimeMs = 1_000;

function replicas(...versions: readonly string[]): readonly Replica[] {
  return versions.map((softwareVersion) => sampleReplica({ id: softwareVersion, softwareVersion }));
}

vitest.describe('VersionHistory', () => {
  vitest.test('keeps a version that left for the lifetime of streams (guards against joined versions)', () => {
    const history = new VersionHistory();
    vitest.expect(history.observe(replicas('v1', 'v2'), 0, lifetimeMs)).toBe(true);
    vitest.expect(history.observe(replicas('v2'), lifetimeMs, lifetimeMs)).toBe(false);
    vitest.expect(history.versionsOf('s')).toEqual(['v1', 'v2']);
    vitest.expect(history.observe(replicas('v2'), lifetimeMs + 1, lifetimeMs)).toBe(true);
    vitest.expect(history.versionsOf('s')).toEqual(['v2']);
  });

  vitest.test('counts the time anew when a version comes back (guards against a release taken back)', () => {
    const history = new VersionHistory();
    history.observe(replicas('v1', 'v2'), 0, lifetimeMs);
    history.observe(replicas('v1', 'v2'), 900, lifetimeMs);
    history.observe(replicas('v2'), 1_800, lifetimeMs);
    vitest.expect(history.versionsOf('s')).toEqual(['v1', 'v2']);
  });

  vitest.test('keeps the last version of a service without replicas (guards against an empty history)', () => {
    const history = new VersionHistory();
    history.observe(replicas('v1'), 0, lifetimeMs);
    history.observe([], 10 * lifetimeMs, lifetimeMs);
    vitest.expect(history.versionsOf('s')).toEqual(['v1']);
  });

  vitest.test(
    'keeps restored versions for a whole lifetime (guards against versions forgotten by a new leader)',
    () => {
      const history = new VersionHistory();
      history.restore({ s: ['v1'], other: ['v7'] }, 500);
      history.observe(replicas('v2'), 500 + lifetimeMs, lifetimeMs);
      vitest.expect(history.snapshot()).toEqual({ s: ['v1', 'v2'], other: ['v7'] });
      history.observe(replicas('v2'), 501 + lifetimeMs, lifetimeMs);
      vitest.expect(history.versionsOf('s')).toEqual(['v2']);
    },
  );

  vitest.test('sees the versions of draining replicas (guards against streams of leaving replicas)', () => {
    const history = new VersionHistory();
    history.observe([sampleReplica({ state: 'draining' })], 0, lifetimeMs);
    vitest.expect(history.versionsOf('s')).toEqual(['v1']);
  });
});
