// Starts the bundle of the users' platform on loopback: a stand-in of the
// platform with its store and runners, and two entries, each a process of its
// own.
import {writeFileSync} from 'node:fs';
import '../platform/build.mjs';
import {
  answersOk,
  prepare,
  ROOT,
  run,
  RUN_FOLDER,
  startProcess,
  waitUntil,
} from './processes.mjs';

const BUNDLE = `${ROOT}target/main.cjs`;
const STANDIN = `${ROOT}platform/lib/standins/main.js`;
const STORE_PORT = 8520;
/** Entries differ by address, as VMs do; their ports are the same. */
const HOSTS = ['127.0.0.1', '127.0.0.2'];
const PORTS = {callers: 8500, readiness: 8501, peers: 8510};

function settingsOf(host, name) {
  return {
    node_name: name,
    role: 'entry',
    ip: host,
    zone: 'hall-a',
    bootstrap: true,
    listen: {
      frontend: `${host}:${PORTS.callers}`,
      readiness: `${host}:${PORTS.readiness}`,
    },
    internal_port_range: [PORTS.peers, PORTS.peers + 1],
    bounds: {fencing_enabled: true},
    platform: {address: `127.0.0.1:${STORE_PORT}`},
  };
}

run(async () => {
  prepare();
  startProcess({name: 'platform', args: [STANDIN, String(STORE_PORT)]});
  await waitUntil('the platform', () =>
    answersOk(
      `http://127.0.0.1:${STORE_PORT}/-/log-newest?topic=keyed.op&part=0`,
    ),
  );
  for (const [i, host] of HOSTS.entries()) {
    const name = `entry-${i}`;
    const file = `${RUN_FOLDER}/${name}.json`;
    writeFileSync(file, JSON.stringify(settingsOf(host, name), null, 2));
    startProcess({
      name,
      args: [BUNDLE, 'entry'],
      env: {BANYANFOLD_BOOT: file},
    });
  }
  for (const host of HOSTS) {
    await waitUntil(`the entry at ${host}`, () =>
      answersOk(`http://${host}:${PORTS.readiness}/-/readiness`),
    );
  }
  console.log(`
banyanfold is ready at http://${HOSTS[0]}:${PORTS.callers} and http://${HOSTS[1]}:${PORTS.callers}.
Logs and process ids are in .run/. Try:

  curl -N -X POST http://${HOSTS[0]}:${PORTS.callers}/letter/1 \\
    -H 'host: desk.example' -H 'request-id: r1' \\
    -H 'model: m2/a3' -H 'token-count: 120,16' -H 'deadline-ms: 5000'

  npm run banyanfold -- trace r1 .run/entry-0.log .run/entry-1.log

Ctrl-C ends all.`);
});
