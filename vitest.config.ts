import * as config from 'vitest/config';

export default config.defineConfig({
  test: {
    include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
    exclude: ['**/dist/**', '**/node_modules/**'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    // Integration tests start up to a dozen processes each; more files at once would distort their timing.
    maxWorkers: 4,
  },
});
