import {readdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {defineConfig} from 'vitest/config';

const TEST_FILES = [
  'packages/*/src/**/__tests__/**/*.test.ts',
  'platform/src/**/__tests__/**/*.test.ts',
  'bench/src/**/__tests__/**/*.test.ts',
  'soak/src/**/__tests__/**/*.test.ts',
];
const ISOLATED_TEST_FILES = ['platform/src/**/*.isolated.test.ts'];

const PACKAGE_PREFIX = 'banyanfold-';

/** Tests read the sources, so that a stale build can't hide a failure. */
function sourceAliases(): Record<string, string> {
  const root = fileURLToPath(new URL('./packages/', import.meta.url));
  const aliases: Record<string, string> = {};
  for (const folder of readdirSync(root)) {
    const role = folder.slice(PACKAGE_PREFIX.length);
    aliases[`@banyanfold/${role}`] = `${root}${folder}/src/index.ts`;
  }
  const platform = fileURLToPath(new URL('./platform/src/', import.meta.url));
  aliases['@banyanfold/platform/standins'] = `${platform}standins/index.ts`;
  aliases['@banyanfold/platform'] = `${platform}index.ts`;
  return aliases;
}

export default defineConfig({
  resolve: {alias: sourceAliases()},
  test: {
    globalSetup: ['scripts/testSetup.mjs'],
    pool: 'forks',
    projects: [
      {
        extends: true,
        test: {
          name: 'parallel',
          include: TEST_FILES,
          exclude: ISOLATED_TEST_FILES,
          maxWorkers: 4,
          testTimeout: 60_000,
          hookTimeout: 60_000,
        },
      },
      {
        // They measure a process, so they run one at a time, after all others.
        extends: true,
        test: {
          name: 'isolated',
          include: ISOLATED_TEST_FILES,
          maxWorkers: 1,
          sequence: {groupOrder: 1},
          testTimeout: 60_000,
        },
      },
    ],
  },
});
