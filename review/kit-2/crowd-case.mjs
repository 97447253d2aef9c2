// The part that the cases with many uncontrolled clients share.
import {spawn} from 'node:child_process';
import {join} from 'node:path';
import {newId, ROOT, runCase, sleep, TROUBLE} from './kit.mjs';
import {ask, deskConfig, PlainRunner} from './plain-runner.mjs';

const HOST = 'desk.example';
const TIMEOUT_MS = 800;
/** Of the rule. */
const LATE_MS = 500;
const WAIT_MS = 1_500;
const EVERY_MS = 50;

/**
 * Runs two entries and two runners, lets the crowd in, and sends ordinary
 * requests meanwhile. The rule is broken if eight or more of these, and over a
 * quarter, have no final answer 0.5 s after their route's `timeout_ms`.
 *
 * @param crowd the arguments of crowd.mjs before the addresses.
 */
export function runCrowdCase(folder, crowd, forMs = 15_000) {
  return runCase(folder, async ({record, entries, store, closers}) => {
    const runners = [];
    for (let i = 0; i < 2; i++) {
      const runner = new PlainRunner({
        id: `i-desk${i}`,
        service: 'desk',
        ip: `127.0.0.${11 + i}`,
        store,
      });
      await runner.start();
      closers.push(() => runner.close());
      runners.push(runner);
    }
    store.put('keyed.op', 'config', deskConfig('desk', HOST));
    const nodes = [];
    for (let i = 0; i < 2; i++) {
      const name = `frontend-hall-a-${i + 1}`;
      const ip = `127.0.0.${2 + i}`;
      nodes.push(await entries.start({name, ip, store: store.address}));
    }
    for (const node of nodes) await entries.untilReady(node);
    await sleep(5_000);

    const judged = [];
    const send = async (i, isJudged) => {
      const isLodge = i % 4 === 3;
      const node = nodes[i % 2];
      const id = newId();
      const {status, tookMs} = await ask(node, {
        method: isLodge ? 'POST' : 'GET',
        path: isLodge ? '/lodge/x' : '/status/x',
        body: isLodge ? 'a claim' : undefined,
        headers: {Host: HOST, 'Request-Id': id, 'Deadline-Ms': String(WAIT_MS)},
        waitMs: WAIT_MS,
      });
      const isAnswered = status !== 'none' && tookMs <= TIMEOUT_MS + LATE_MS;
      if (isJudged) judged.push(isAnswered);
      record(
        `${id} at ${node.name}: ${status} after ${Math.round(tookMs)} ms` +
          (isAnswered ? '' : ', no final answer in time'),
      );
    };
    const open = [];
    for (let i = 0; i < 40; i++) {
      open.push(send(i, false));
      await sleep(EVERY_MS);
    }
    await Promise.all(open);
    if (TROUBLE) {
      const addresses = nodes.map(({ip, ports}) => `${ip}:${ports[0]}`);
      const path = join(ROOT, 'review/kit-2/crowd.mjs');
      const child = spawn(process.execPath, [path, ...crowd, ...addresses], {
        stdio: ['ignore', 'pipe', 'inherit'],
      });
      closers.push(() => child.kill('SIGKILL'));
      child.stdout.on('data', text => record(`crowd: ${String(text).trim()}`));
      record(`the crowd comes: ${crowd.join(' ')}`);
    }
    await sleep(1_000);
    const endMs = performance.now() + forMs;
    for (let i = 0; performance.now() < endMs; i++) {
      open.push(send(i, true));
      await sleep(EVERY_MS);
    }
    await Promise.all(open);
    for (const {name, exit} of nodes) {
      if (exit !== undefined) record(`${name} ended by itself: ${exit}`);
    }
    const missed = judged.filter(isAnswered => !isAnswered).length;
    record(
      `${judged.length} ordinary requests over ${forMs / 1000} s, ` +
        `${missed} without a final answer`,
    );
    return missed >= 8 && missed > judged.length / 4;
  });
}
