import * as config from 'vitest/config';

const crowdTests = 'platform/src/crowds/*.test.ts';
const shared = {
  exclude: ['**/dist/**', '**/node_modules/**'],
  testTimeout: 60_000,
  hookTimeout: 60_000,
};

export default config.defineConfig({
  test: {
    // Integration tests start up to a dozen processes each; more files at once would distort their timing.
    maxWorkers: 4,
    projects: [
      {
        test: {
          ...shared,
          name: 'tests',
          include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
          exclude: [...shared.exclude, crowdTests],
          sequence: { groupOrder: 0 },
        },
      },
      {
        // These load the machine and measure memory, so they run one at a time after all others.
        test: {
          ...shared,
          name: 'crowds',
          include: [crowdTests],
          poolOptions: { forks: { singleFork: true } },
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
