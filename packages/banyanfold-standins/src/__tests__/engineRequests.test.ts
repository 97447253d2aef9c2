import {VirtualClock} from '@banyanfold/core';
import {describe, expect, it} from 'vitest';
import {
  EngineState,
  createRandom,
  deliverStream,
  expectedText,
  prefixHashes,
  type EngineStateOptions,
  type StreamFaults,
  type StreamSink,
} from '../index.js';
import {chatRequest, kindsOf} from './helpers.js';

const STEP_MS = 10;
const BLOCK_TOKENS = 10;
const LONG_PROMPT = 'abcdefghij'.repeat(40);

function setUp(options: EngineStateOptions = {}) {
  const clock = new VirtualClock(0);
  const engine = new EngineState(
    {
      models: [{artifact: 'claims@3', bytes: 1}],
      prefillTokensPerSecond: 1000,
      baseStepMs: STEP_MS,
      stepMsPerSequence: 0,
      kvBytesPerToken: 1,
      kvCapacityBytes: 10_000,
      prefixCacheBytes: 200,
      cacheBlockTokens: BLOCK_TOKENS,
      cacheEventLagMs: 0,
      reportLagMs: 0,
      ...options,
    },
    {clock, random: createRandom(1)},
  );
  const submit = (change: Parameters<typeof chatRequest>[0]) =>
    engine.submit(chatRequest(change))._unsafeUnwrap();
  return {clock, engine, submit};
}

describe('batching', () => {
  it('takes prefill and then one step a token', async () => {
    const {clock, submit} = setUp();
    const stream = submit({prompt: LONG_PROMPT, maxTokens: 3});
    await clock.advance(109);
    expect(stream.usage.completionTokens).toBe(0);
    await clock.advance(1);
    expect(stream.usage.completionTokens).toBe(1);
    await clock.advance(2 * STEP_MS);
    expect(stream.state).toBe('finished');
    expect(stream.text()).toBe(expectedText('claims@3', LONG_PROMPT, 3));
  });

  it('lets requests join, and queues by priority beyond maxRunning', async () => {
    const {clock, engine, submit} = setUp({maxRunning: 1});
    submit({requestId: 'first', priority: 5});
    submit({requestId: 'low', priority: 5});
    submit({requestId: 'high', priority: 0});
    expect(engine.report()).toMatchObject({running: 1, queued: 2});
    await clock.advance(1000);
    const started = engine.truth.ofKind('request-started');
    const order = started.map(({requestId}) => requestId);
    expect(order).toEqual(['first', 'high', 'low']);
  });

  it('slows each step by the sequences in it', async () => {
    const {clock, submit} = setUp({stepMsPerSequence: 5});
    const streams = ['a', 'b'].map(requestId =>
      submit({requestId, maxTokens: 11}),
    );
    await clock.advance(3 + STEP_MS + 3 + STEP_MS + 5 + 10 * (STEP_MS + 10));
    expect(streams.map(({state}) => state)).toEqual(['finished', 'finished']);
  });

  it('reserves KV memory and lets a request wait for it', async () => {
    const {clock, engine, submit} = setUp({kvCapacityBytes: 100});
    submit({requestId: 'a', prompt: 'x'.repeat(40), maxTokens: 50});
    submit({requestId: 'b', prompt: 'x'.repeat(40), maxTokens: 50});
    await clock.advance(5 * STEP_MS);
    const whileOneRuns = {running: 1, queued: 1, kvUsedBytes: 60};
    expect(engine.report()).toMatchObject(whileOneRuns);
    const tooLong = engine.submit(chatRequest({maxTokens: 100}));
    expect(tooLong._unsafeUnwrapErr().code).toBe('context-too-long');
    await clock.advance(5000);
    expect(engine.report()).toMatchObject({running: 0, kvUsedBytes: 0});
  });

  it('stands still in a pause', async () => {
    const {clock, engine, submit} = setUp();
    const stream = submit({maxTokens: 4});
    await clock.advance(STEP_MS + 3);
    engine.faults.set({paused: true});
    await clock.advance(60_000);
    expect(stream.usage.completionTokens).toBe(1);
    engine.faults.set({paused: false});
    await clock.advance(1000);
    expect(stream.state).toBe('finished');
  });
});

describe('prefix cache', () => {
  it('spares the prefill of a cached prefix', async () => {
    const {clock, submit} = setUp();
    submit({requestId: 'a', prompt: LONG_PROMPT});
    await clock.advance(1000);
    const again = submit({requestId: 'b', prompt: `${LONG_PROMPT}more`});
    await clock.advance(STEP_MS + 1);
    expect(again.usage).toEqual({
      promptTokens: 101,
      cachedTokens: 100,
      completionTokens: 1,
    });
  });

  it('evicts the least recently used and publishes both', async () => {
    const {clock, engine, submit} = setUp({prefixCacheBytes: 20});
    for (const letter of ['a', 'b', 'a', 'c']) {
      submit({requestId: letter, prompt: letter.repeat(40), maxTokens: 1});
      await clock.advance(100);
    }
    const nameOf = new Map(
      ['a', 'b', 'c'].map(letter => [
        prefixHashes('claims@3', letter.repeat(40), BLOCK_TOKENS)[0],
        letter,
      ]),
    );
    const {events, nextSeq} = engine.cacheEvents(1);
    const seen = events.map(e => `${e.kind} ${nameOf.get(e.prefixHash)}`);
    expect(seen).toEqual(['stored a', 'stored b', 'stored c', 'evicted b']);
    expect(nextSeq).toBe(5);
  });

  it('forgets the prefixes of an artifact that was unloaded', async () => {
    const {clock, engine, submit} = setUp();
    submit({prompt: 'x'.repeat(40)});
    await clock.advance(100);
    const artifact = 'claims@3';
    await engine.order({orderId: 'o1', kind: 'unload', artifact});
    await clock.advance(1000);
    const kinds = kindsOf(engine.cacheEvents(1).events);
    expect(kinds).toEqual(['stored', 'evicted']);
  });

  it('publishes cache events late and with gaps', async () => {
    const {clock, engine, submit} = setUp({cacheEventLagMs: 5000});
    engine.faults.set({cacheEventLossProbability: 0.5});
    submit({prompt: LONG_PROMPT});
    await clock.advance(4000);
    expect(engine.cacheEvents(1)).toEqual({nextSeq: 1, events: []});
    await clock.advance(4000);
    const seqs = engine.cacheEvents(1).events.map(({seq}) => seq);
    expect(seqs.length).toBeGreaterThan(0);
    expect(seqs.length).toBeLessThan(LONG_PROMPT.length / 4 / BLOCK_TOKENS);
  });

  it('takes in what another engine exported', async () => {
    const [from, to] = [setUp(), setUp()];
    from.submit({prompt: LONG_PROMPT});
    const exported = from.engine.exportKv('r1')._unsafeUnwrap();
    expect(to.engine.importKv(exported).isOk()).toBe(true);
    const stream = to.submit({prompt: `${LONG_PROMPT}more`});
    expect(stream.usage.cachedTokens).toBe(100);
    expect(from.engine.exportKv('unknown').isErr()).toBe(true);
  });
});

describe('cancel', () => {
  it('stops a request and says truthfully what it found', async () => {
    const {clock, engine, submit} = setUp({maxRunning: 1});
    submit({requestId: 'running', maxTokens: 100});
    submit({requestId: 'queued'});
    await clock.advance(50);
    expect(engine.cancel('queued')).toBe('cancelled');
    expect(engine.cancel('running')).toBe('cancelled');
    expect(engine.cancel('never-seen')).toBe('unknown');
    submit({requestId: 'whole'});
    await clock.advance(1000);
    expect(engine.cancel('whole')).toBe('finished');
    const [queued, running] = engine.truth.ofKind('request-cancelled');
    expect(queued).toMatchObject({tokens: 0, isStarted: false});
    expect(running).toMatchObject({isStarted: true});
  });

  it('forgets a stream some seconds after its end', async () => {
    const {clock, engine, submit} = setUp({resumeWindowMs: 3000});
    submit({});
    await clock.advance(1000);
    expect(engine.findStream('r1')).toBeDefined();
    await clock.advance(3000);
    expect(engine.findStream('r1')).toBeUndefined();
  });
});

describe('deliverStream', () => {
  /** Events are numbers, `x` is a crossed one; then how it ended. */
  function recordingSink(): {sink: StreamSink; seen: string[]} {
    const seen: string[] = [];
    const sink: StreamSink = {
      send: ({seq, kind}) => seen.push(kind === 'done' ? 'done' : `${seq}`),
      sendCrossed: seq => seen.push(`x${seq}`),
      end: () => seen.push('end'),
      cut: () => seen.push('cut'),
    };
    return {sink, seen};
  }

  // The engine makes the whole answer in every case, as its truth shows. What
  // the reader gets differs: a cut or an early clean end leaves it with a part,
  // a doubled event must be dropped, and a crossed one is another request's.
  const none: StreamFaults = {
    cutStreamAfterEvents: null,
    endStreamAfterEvents: null,
    doubleEvent: null,
    crossAfterEvents: null,
  };
  const cases = [
    {fault: {}, afterSeq: 0, seen: '1 2 3 4 5 done end'},
    {fault: {}, afterSeq: 3, seen: '4 5 done end'},
    {fault: {}, afterSeq: 6, seen: 'end'},
    {fault: {cutStreamAfterEvents: 2}, afterSeq: 0, seen: '1 2 cut'},
    {fault: {cutStreamAfterEvents: 0}, afterSeq: 0, seen: 'cut'},
    {fault: {cutStreamAfterEvents: 2}, afterSeq: 2, seen: '3 4 cut'},
    {fault: {endStreamAfterEvents: 5}, afterSeq: 0, seen: '1 2 3 4 5 end'},
    {fault: {doubleEvent: 2}, afterSeq: 0, seen: '1 2 2 3 4 5 done end'},
    {fault: {crossAfterEvents: 1}, afterSeq: 0, seen: '1 x2 2 3 4 5 done end'},
  ];
  it.each(cases)('$fault after $afterSeq', async ({fault, afterSeq, seen}) => {
    const {clock, engine, submit} = setUp();
    const stream = submit({maxTokens: 4});
    const recording = recordingSink();
    const faults = {...none, ...fault};
    deliverStream(stream, {afterSeq, faults, sink: recording.sink});
    await clock.advance(1000);
    expect(recording.seen.join(' ')).toBe(seen);
    expect(kindsOf(engine.truth.ofKind('request-finished'))).toHaveLength(1);
  });

  it('ends a cancelled stream without its last event', async () => {
    const {clock, engine, submit} = setUp();
    const stream = submit({maxTokens: 100});
    const {sink, seen} = recordingSink();
    deliverStream(stream, {afterSeq: 0, sink});
    await clock.advance(STEP_MS + 3);
    engine.cancel('r1');
    expect(seen).toEqual(['1', 'end']);
  });
});
