import { fileURLToPath } from 'node:url';
import { defineConfig } from 'vitest/config';

const CROWDS = 'platform/src/__tests__/processCrowds.spec.ts';

export default defineConfig({
  resolve: {
    alias: [
      {
        find: /^@goldcrestscale\/([a-z]+)$/,
        replacement: fileURLToPath(new URL('packages/$1/src/index.ts', import.meta.url)),
      },
    ],
  },
  test: {
    testTimeout: 60_000,
    hookTimeout: 60_000,
    projects: [
      {
        extends: true,
        test: {
          name: 'modules',
          include: [
            'packages/*/src/**/__tests__/**/*.spec.ts',
            'platform/src/**/__tests__/**/*.spec.ts',
            'soak/**/__tests__/**/*.spec.ts',
            'tests/docs/**/*.spec.ts',
          ],
          exclude: [CROWDS, '**/node_modules/**'],
          sequence: { groupOrder: 0 },
        },
      },
      {
        // Whole sites of processes: one at a time, so that they don't take each other's processor time.
        extends: true,
        test: {
          name: 'sites',
          include: ['tests/*.spec.ts'],
          maxWorkers: 1,
          fileParallelism: false,
          testTimeout: 120_000,
          sequence: { groupOrder: 1 },
        },
      },
      {
        // Crowds of clients against one process: apart from everything else.
        extends: true,
        test: {
          name: 'crowds',
          include: [CROWDS],
          maxWorkers: 1,
          fileParallelism: false,
          sequence: { groupOrder: 2 },
        },
      },
    ],
  },
});
