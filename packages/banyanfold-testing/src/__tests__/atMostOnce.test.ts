import {v7 as uuidV7} from 'uuid';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {
  CallerClient,
  Stack,
  countEnds,
  keysRunTwice,
  ofKind,
  testConfig,
  waitUntil,
  type CallResult,
} from '../index.js';

const KEYS_PER_CASE = 8;

let stack: Stack;
let client: CallerClient;

beforeAll(async () => {
  client = new CallerClient();
  stack = await Stack.start({
    entries: 2,
    agents: 2,
    published: testConfig({
      models: [{name: 'claims', version: '1'}],
      wholeAnswerMs: 3_000,
    }),
  });
});

afterAll(async () => {
  await client.close();
  await stack.end();
});

afterEach(async () => {
  await stack.setFaults('lodging', {
    answerDelayMs: 0,
    requestDelayMs: 0,
    loseNextAnswers: 0,
    failNext: 0,
    outage: 'none',
  });
  await stack.setFaults('log', {
    answerDelayMs: 0,
    requestDelayMs: 0,
    loseNextAppendAnswers: 0,
    outage: 'none',
  });
});

function newKeys(): string[] {
  return Array.from({length: KEYS_PER_CASE}, () => uuidV7());
}

function lodge(key: string, entryIndex = 0): Promise<CallResult> {
  const body = {member: key};
  const call = {path: 'lodging/claims', key, body};
  return client.callService(stack.entryUrl(entryIndex), call);
}

/** Each key through both entries at once. */
function lodgeTwice(keys: readonly string[]): Promise<CallResult[]> {
  return Promise.all(keys.flatMap(key => [lodge(key, 0), lodge(key, 1)]));
}

async function callCount(): Promise<number> {
  return ofKind(await stack.truth('lodging'), 'call').length;
}

async function appendCount(): Promise<number> {
  const appended = ofKind(await stack.truth('log'), 'appended');
  return appended.filter(({stream}) => stream === 'claims').length;
}

/** A caller that gives up on nothing: each key again, until one is certain. */
async function lodgeAgain(keys: readonly string[]): Promise<CallResult[]> {
  return Promise.all(
    keys.map(async key => {
      let result = await lodge(key);
      const isOver = () =>
        result.end === 'whole' || result.code.startsWith('key_outcome');
      await waitUntil(`an end for ${key}`, async () => {
        if (!isOver()) result = await lodge(key);
        return isOver();
      });
      return result;
    }),
  );
}

async function restartEntry(name: string): Promise<void> {
  await stack.restart(name);
  await stack.ready();
}

interface OnceCase {
  name: string;
  act(keys: readonly string[]): Promise<CallResult[]>;
}

const CASES: OnceCase[] = [
  {name: 'twice at once through two entries', act: lodgeTwice},
  {
    name: 'answers of the service lost',
    act: async keys => {
      await stack.setFaults('lodging', {loseNextAnswers: KEYS_PER_CASE});
      return lodgeTwice(keys);
    },
  },
  {
    name: 'answers of the log lost',
    act: async keys => {
      await stack.setFaults('log', {loseNextAppendAnswers: 6});
      return lodgeTwice(keys);
    },
  },
  {
    name: 'the service out',
    act: async keys => {
      await stack.setFaults('lodging', {outage: 'cut'});
      return lodgeTwice(keys);
    },
  },
  {
    name: 'its entry killed between claim and dispatch',
    act: async keys => {
      const before = await appendCount();
      await stack.setFaults('log', {answerDelayMs: 300});
      const asked = Promise.all(keys.map(key => lodge(key, 1)));
      await waitUntil('a claim is in the log', async () => {
        return (await appendCount()) > before;
      });
      await stack.kill('entry-2');
      await stack.setFaults('log', {answerDelayMs: 0});
      const results = await asked;
      await restartEntry('entry-2');
      return results;
    },
  },
  {
    name: 'its entry killed after dispatch',
    act: async keys => {
      const before = await callCount();
      await stack.setFaults('lodging', {answerDelayMs: 400});
      const asked = Promise.all(keys.map(key => lodge(key, 1)));
      await waitUntil('a call has its effect', async () => {
        return (await callCount()) > before;
      });
      await stack.kill('entry-2');
      const results = await asked;
      await restartEntry('entry-2');
      return results;
    },
  },
  {
    name: 'its agent killed in the middle',
    act: async keys => {
      const before = await callCount();
      await stack.setFaults('lodging', {answerDelayMs: 400});
      const asked = lodgeTwice(keys);
      await waitUntil('a call has its effect', async () => {
        return (await callCount()) > before;
      });
      await Promise.all(stack.agents.map(({vmId}) => stack.kill(vmId)));
      await Promise.all(stack.agents.map(({vmId}) => stack.restart(vmId)));
      return asked;
    },
  },
  {
    name: 'its agents killed before the call has reached the service',
    act: async keys => {
      await stack.setFaults('lodging', {requestDelayMs: 300});
      const asked = lodgeTwice(keys);
      await waitUntil('an agent has a call', async () => {
        const {openRequests} = await stack.status();
        return openRequests > 0;
      });
      await Promise.all(stack.agents.map(({vmId}) => stack.kill(vmId)));
      await Promise.all(stack.agents.map(({vmId}) => stack.restart(vmId)));
      return asked;
    },
  },
  {
    name: 'the log out',
    act: async keys => {
      await stack.setFaults('log', {outage: 'cut'});
      const results = await lodgeTwice(keys);
      await stack.setFaults('log', {outage: 'none'});
      return results;
    },
  },
  {
    name: 'the log out between claim and end',
    act: async keys => {
      const before = await callCount();
      await stack.setFaults('lodging', {answerDelayMs: 300});
      const asked = lodgeTwice(keys);
      await waitUntil('a call has its effect', async () => {
        return (await callCount()) > before;
      });
      await stack.setFaults('log', {outage: 'refuse'});
      const results = await asked;
      await stack.setFaults('log', {outage: 'none'});
      return results;
    },
  },
  {
    name: 'its entry paused with the claim under way, and awake later',
    act: async keys => {
      const before = await appendCount();
      await stack.setFaults('log', {answerDelayMs: 300});
      const asked = Promise.all(keys.map(key => lodge(key, 1)));
      await waitUntil('a claim is in the log', async () => {
        return (await appendCount()) > before;
      });
      stack.process('entry-2').signal('SIGSTOP');
      await stack.setFaults('log', {answerDelayMs: 0});
      const others = await Promise.all(keys.map(key => lodge(key, 0)));
      stack.process('entry-2').signal('SIGCONT');
      return [...others, ...(await asked)];
    },
  },
];

describe('a call that may not be repeated', () => {
  // The caller sees its one outcome, "not run" when that is true, or that the
  // outcome isn't known. The same key comes through two entries, and again and
  // again afterwards, while processes die or pause and answers get lost at each
  // step; the first claim in the log owns the key and alone dispatches.
  it.each(CASES)('runs at most once: $name', async ({act}) => {
    const keys = newKeys();
    const results = await act(keys);
    const later = await lodgeAgain(keys);
    const truth = await stack.truth('lodging');
    console.log(countEnds(results), 'later', countEnds(later));
    expect(keysRunTwice(truth)).toEqual([]);
    const ran = new Set(ofKind(truth, 'call').map(c => c['idempotencyKey']));
    // Who has a whole answer had its call run.
    const claimedRun = keys.filter((_, i) => later[i]?.end === 'whole');
    expect(claimedRun.filter(key => !ran.has(key))).toEqual([]);
  });

  // The caller sees that its key is too old, and that it won't run now. The log
  // forgets records, and with them that a key was used; a key that is older
  // than the horizon can't be shown to be new.
  it('does not run under a key older than the horizon', async () => {
    const key = uuidV7({msecs: Date.now() - 3_600_000});
    const result = await lodge(key);
    const calls = ofKind(await stack.truth('lodging'), 'call');
    expect(result).toMatchObject({end: 'refused', outcome: 'unknown'});
    expect(calls.some(call => call['idempotencyKey'] === key)).toBe(false);
  });
});
