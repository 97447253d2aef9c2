import {writeSync} from 'node:fs';
import {createRequire} from 'node:module';
import {fileURLToPath} from 'node:url';

const PROGRAM = fileURLToPath(
  new URL('../../target/main.cjs', import.meta.url),
);
/** A pipe to the supervisor. */
const MARK_FD = 3;

// From here on the program decides what a signal does, and not the runtime.
writeSync(MARK_FD, '.');
createRequire(import.meta.url)(PROGRAM);
