// Starts processes on loopback for trying the system out, and ends just those.
import {spawn} from 'node:child_process';
import {createWriteStream, mkdirSync, rmSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

export const ROOT = fileURLToPath(new URL('..', import.meta.url));
export const RUN_FOLDER = `${ROOT}.run`;
const READY_TIMEOUT_MS = 60_000;
const POLL_MS = 200;
const KILL_AFTER_MS = 15_000;

const children = new Map();
let stopping = false;

/** Empties the run folder and ends all processes on Ctrl-C. */
export function prepare() {
  rmSync(RUN_FOLDER, {recursive: true, force: true});
  mkdirSync(RUN_FOLDER, {recursive: true});
  process.on('SIGINT', stopAll);
  process.on('SIGTERM', stopAll);
}

export function startProcess({name, args, env = {}}) {
  const log = createWriteStream(`${RUN_FOLDER}/${name}.log`);
  const child = spawn(process.execPath, args, {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: {...process.env, ...env},
  });
  child.stdout.pipe(log);
  child.stderr.pipe(log);
  child.on('exit', (code, signal) => {
    children.delete(name);
    if (stopping) return;
    console.log(
      `${name} ended (${signal ?? code}); start it again with:\n` +
        `  ${Object.entries(env)
          .map(([key, value]) => `${key}=${shorten(value)} `)
          .join('')}node ${args.map(shorten).join(' ')}`,
    );
  });
  children.set(name, child);
  writeFileSync(`${RUN_FOLDER}/${name}.pid`, `${child.pid}\n`);
}

function shorten(arg) {
  return arg.startsWith(ROOT) ? arg.slice(ROOT.length) : arg;
}

export async function answersOk(url, headers = {}) {
  try {
    const response = await fetch(url, {headers});
    return response.ok;
  } catch {
    return false;
  }
}

export async function waitUntil(what, condition) {
  const endMs = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < endMs) {
    if (await condition()) return;
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`${what} is not ready; see the logs in ${RUN_FOLDER}`);
}

/** Ends the processes, the last started one first. */
export async function stopAll() {
  if (stopping) return;
  stopping = true;
  console.log('ending all processes …');
  for (const child of [...children.values()].reverse()) {
    const ended = new Promise(resolve => child.once('exit', resolve));
    const timer = setTimeout(() => child.kill('SIGKILL'), KILL_AFTER_MS);
    child.kill('SIGTERM');
    await ended;
    clearTimeout(timer);
  }
  process.exit(0);
}

/** Runs a start and ends everything when it fails. */
export function run(main) {
  main().catch(async error => {
    console.error(String(error.message ?? error));
    await stopAll();
  });
}
