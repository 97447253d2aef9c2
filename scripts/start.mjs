// Starts the whole path on loopback: the stand-ins of the platform, four model
// engines, four agents and two entries, each a process of its own. It is only
// for trying the system out; banyanfold's own programs start no process.
import {spawnSync} from 'node:child_process';
import {
  answersOk,
  prepare,
  ROOT,
  run,
  startProcess,
  waitUntil,
} from './processes.mjs';

const EXAMPLE = `${ROOT}examples/local`;
const CLI = `${ROOT}packages/banyanfold-cli/bin/run.js`;
const STANDINS = `${ROOT}packages/banyanfold-standins/lib/main.js`;
const ENTRY_URL = 'http://127.0.0.1:8400';

/** Started in this order; ended in the reverse one. */
const PROCESSES = [
  {name: 'platform', args: [STANDINS, `${EXAMPLE}/platform.jsonc`]},
  ...[1, 2, 3, 4].map(n => ({
    name: `engine-${n}`,
    args: [STANDINS, `${EXAMPLE}/engine-${n}.jsonc`],
  })),
  ...[1, 2, 3, 4].map(n => ({
    name: `agent-${n}`,
    args: [CLI, 'agent', '--settings', `${EXAMPLE}/agent-${n}.jsonc`],
  })),
  ...[0, 1].map(n => ({
    name: `entry-${n}`,
    args: [CLI, 'entry', '--settings', `${EXAMPLE}/entry-${n}.jsonc`],
  })),
];

function publish() {
  const args = [CLI, 'publish', `${EXAMPLE}/published.jsonc`];
  args.push('--settings', `${EXAMPLE}/operator.jsonc`, '--wait');
  const done = spawnSync(process.execPath, args, {encoding: 'utf8'});
  process.stdout.write(done.stdout);
  if (done.status !== 0) throw new Error(`publish failed:\n${done.stderr}`);
}

async function modelAnswers(model, key) {
  const response = await fetch(`${ENTRY_URL}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${key}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({
      model,
      max_tokens: 2,
      messages: [{role: 'user', content: 'ready?'}],
    }),
  }).catch(() => undefined);
  await response?.text().catch(() => '');
  return response?.ok ?? false;
}

const MODELS = [
  ['claims', 'local-counter-key'],
  ['eligibility', 'local-counter-key'],
  ['suva', 'local-counter-key'],
  ['reports', 'local-residents-key'],
  ['routes', 'local-residents-key'],
  ['letters', 'local-drafting-key'],
  ['tenancy', 'local-drafting-key'],
];

async function main() {
  prepare();
  for (const entry of PROCESSES) {
    startProcess(entry);
    if (entry.name === 'platform') {
      await waitUntil('the platform', () =>
        answersOk('http://127.0.0.1:8302/vms'),
      );
    }
  }
  await waitUntil('entry-0', () => answersOk(`${ENTRY_URL}/healthz`));
  publish();
  await waitUntil('entry-0', () => answersOk(`${ENTRY_URL}/readyz`));
  for (const [model, key] of MODELS) {
    await waitUntil(`model ${model}`, () => modelAnswers(model, key));
    console.log(`model ${model} answers`);
  }
  console.log(`
banyanfold is ready at ${ENTRY_URL} (second entry: http://127.0.0.1:8401).
Logs and process ids are in .run/. Try:

  curl -N ${ENTRY_URL}/v1/chat/completions \\
    -H 'authorization: Bearer local-counter-key' \\
    -H 'content-type: application/json' \\
    -d '{"model":"claims","stream":true,"max_tokens":24,"messages":[{"role":"user","content":"Is a pensioner in Suva eligible for the discount?"}]}'

Ctrl-C ends all.`);
}

if (process.argv.includes('--platform')) await import('./startPlatform.mjs');
else run(main);
