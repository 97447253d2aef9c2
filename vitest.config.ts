import {readdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {defineConfig} from 'vitest/config';

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
    include: [
      'packages/*/src/**/__tests__/**/*.test.ts',
      'platform/src/**/__tests__/**/*.test.ts',
      'bench/src/**/__tests__/**/*.test.ts',
      'soak/src/**/__tests__/**/*.test.ts',
    ],
    globalSetup: ['scripts/testSetup.mjs'],
    pool: 'forks',
    maxWorkers: 4,
    testTimeout: 60_000,
    hookTimeout: 60_000,
  },
});
