type Bench = (args: string[]) => Promise<void>;

/** Benches by name; each is loaded only when it is run. */
const BENCHES: Record<string, () => Promise<{run: Bench}>> = {
  capacity: () => load('./capacity/index.js'),
  decisions: () => import('./decisions/index.js'),
  path: () => load('./path/index.js'),
  'plain-calls': () => import('./plainCalls/index.js'),
  'runner-speeds': () => import('./runnerSpeeds/index.js'),
  plan: () => import('./plan/index.js'),
  shares: () => import('./shares/index.js'),
};

/** Loads a bench that may not be built. */
async function load(modulePath: string): Promise<{run: Bench}> {
  return (await import(modulePath)) as {run: Bench};
}

async function main(args: string[]): Promise<void> {
  const [name = '', ...rest] = args;
  const bench = BENCHES[name];
  if (!bench) {
    const known = Object.keys(BENCHES).join(', ');
    console.error(`usage: npm run bench -- <name>; benches: ${known}`);
    process.exitCode = 1;
    return;
  }
  const {run} = await bench();
  await run(rest);
}

await main(process.argv.slice(2));
