// Entries are stopped with SIGTERM, two of a zone at a time, and start again.
// LOST is checked as written for the requests around these stops.
import {fileURLToPath} from 'node:url';
import {
  Deployment,
  LIMITS,
  Record,
  route,
  sendRequest,
} from '../common/deployment.mjs';
import {Runner} from '../common/runner.mjs';
import {sleep} from '../common/store.mjs';
import {startTraffic} from '../common/traffic.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ZONE = 'hall-a';
const HOSTS = ['127.0.0.11', '127.0.0.12', '127.0.0.13'];
const RUNNER_HOST = '127.0.0.1';
const PER_SECOND = 160;
const TRAFFIC_MS = 108_000;
const FIRST_ROLL_MS = 4_000;
const ROLL_EVERY_MS = 7_500;
const GRACE_MS = 8_000;
const AFTER_GRACE_MS = 1_000;
const LATE_SHARE = 1 / 6;
const EARLY_MS = 3_000;

const record = new Record(fileURLToPath(new URL('.', import.meta.url)));
const deployment = new Deployment(record.line);
const runners = [];
let results = [];

async function main() {
  const {store} = deployment;
  for (const id of ['i-01', 'i-02', 'i-03', 'i-04']) {
    const runner = new Runner({
      id,
      service: 'claims-desk',
      zone: ZONE,
      slots: 6,
      queue: 24,
      workMs: 21.4,
      store,
    });
    await runner.listen(RUNNER_HOST);
    runners.push(runner);
  }
  await deployment.start({
    hosts: HOSTS,
    zone: ZONE,
    config: {
      version: 3,
      routes: [
        route('elig', 'non_idempotent', 'claims-desk'),
        route('status', 'idempotent', 'claims-desk'),
      ],
      services: [{name: 'claims-desk'}],
      limits: LIMITS,
    },
  });
  const stopTraffic = startTraffic({perSecond: PER_SECOND, send});
  if (HAS_TROUBLE) await roll();
  else await sleep(TRAFFIC_MS);
  results = await stopTraffic();
}

function send() {
  const isOrder = Math.random() < 0.5;
  return sendRequest({
    entry: deployment.pick(),
    host: 'desk.example',
    path: isOrder ? '/elig/1' : '/status/1',
    method: isOrder ? 'POST' : 'GET',
    deadlineMs: 1_500,
  });
}

/** Stops two entries at a time, first the one that holds the lease. */
async function roll() {
  const startMs = performance.now();
  await sleep(FIRST_ROLL_MS);
  let turn = 0;
  while (performance.now() - startMs < TRAFFIC_MS - ROLL_EVERY_MS) {
    const beganMs = performance.now();
    const {entries, store} = deployment;
    const leader = entries.find(entry =>
      store.ownerAddress?.startsWith(`${entry.host}:`),
    );
    const others = entries.filter(entry => entry !== leader);
    const chosen = [leader, others[turn++ % others.length]].filter(Boolean);
    await Promise.all(chosen.map(entry => entry.restart()));
    await sleep(Math.max(0, beganMs + ROLL_EVERY_MS - performance.now()));
  }
}

/** Whether LOST counts a request, by what its requester and runners saw. */
function isLost({id, entry, sentMs, deadlineMs, outcome, endedMs}) {
  if (
    outcome !== 'closed without an answer' &&
    outcome !== 'answer broken off'
  ) {
    return false;
  }
  if (endedMs - sentMs >= deadlineMs) return false;
  const stopMs = entry.stops.findLast(atMs => atMs <= endedMs);
  if (stopMs === undefined) return false;
  if (endedMs > stopMs + GRACE_MS + AFTER_GRACE_MS) return false;
  // A request that was not passed on may not have been read; it doesn't count.
  if (!runners.some(({seen}) => seen.has(id))) return false;
  const isLateWork =
    endedMs > stopMs + GRACE_MS * (1 - LATE_SHARE) &&
    sentMs < stopMs + EARLY_MS;
  return !isLateWork;
}

function judge() {
  const lost = results.filter(isLost);
  const byOutcome = {};
  for (const {outcome, status = ''} of results) {
    const key = `${outcome} ${status}`.trim();
    byOutcome[key] = (byOutcome[key] ?? 0) + 1;
  }
  record.requests(results, runners);
  record.line(`outcomes: ${JSON.stringify(byOutcome)}`);
  for (const {id, entry, sentMs, endedMs} of lost) {
    const stopMs = entry.stops.findLast(atMs => atMs <= endedMs);
    const passed = runners.flatMap(({seen}) => seen.get(id) ?? []);
    record.line(
      `LOST: ${id} at ${entry.name}: sent ${Math.round(sentMs - stopMs)} ms ` +
        `after SIGTERM, passed on to ${passed.map(p => p.runner).join()}, ` +
        `closed without an answer ${Math.round(endedMs - sentMs)} ms later`,
    );
  }
  record.line(`LOST broken: ${lost.length} requests`);
  console.log(JSON.stringify(byOutcome), `lost: ${lost.length}`);
  return lost.length > 0 ? 1 : 0;
}

let code = 2;
try {
  await main();
  code = judge();
} catch (thrown) {
  record.line(`could not run: ${thrown.stack}`);
  console.error(thrown);
} finally {
  deployment.stop();
  for (const runner of runners) runner.close();
  await record.close();
}
process.exit(code);
