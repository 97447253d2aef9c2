// Tests of processes run the bundle; it is built once before all of them, since
// a build beside a starting process would give it half a file.
import {execFileSync} from 'node:child_process';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('..', import.meta.url));

export function setup() {
  execFileSync(process.execPath, ['platform/build.mjs'], {cwd: ROOT});
}
