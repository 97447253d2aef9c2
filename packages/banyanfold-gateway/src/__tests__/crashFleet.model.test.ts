import {describe, expect, it} from 'vitest';
import {CrashFleet, type CrashFleetScenario} from './crashFleet.js';
import {randomOf} from './randomOf.js';

/** Arrivals that are allowed once all entries must know of a part. */
const ALLOWED_ARRIVALS = 3;
const MIN_SOUND_SHARE = 0.9;
const SEEDS = [1, 2, 3, 4];
const RANDOM_SEEDS = 20;
/** Of the machine's time; the bounds of the test are in virtual time. */
const TIMEOUT_MS = 600_000;

const FLEETS = [
  {entries: 2, contactMs: 3_000, soundPerSecond: 60},
  {entries: 67, contactMs: 5_000, soundPerSecond: 150},
  {entries: 730, contactMs: 5_000, soundPerSecond: 300},
];

/** Requests with the part begin to come after two seconds. */
const DISTURBANCES: Record<string, Partial<CrashFleetScenario>> = {
  'without disturbance': {},
  'while the holder changes': {
    isVacant: nowMs => nowMs > 2_300 && nowMs < 3_800,
  },
  'while the holder is lost for long': {
    isVacant: nowMs => nowMs > 2_100 && nowMs < 5_100,
  },
  'while the holder changes three times': {
    isVacant: nowMs => nowMs > 2_000 && nowMs < 8_000 && nowMs % 2_000 < 600,
  },
  'while an entry is frozen': {
    isFrozen: (entry, nowMs) => entry === 1 && nowMs > 2_200 && nowMs < 5_000,
  },
  'while an entry is cut off': {
    isCutOff: (entry, nowMs) => entry === 1 && nowMs > 2_100 && nowMs < 12_000,
  },
  'while entries restart': {
    restarts: (entry, nowMs) => nowMs === 2_500 + entry * 700,
  },
};

function isWithin(nowMs: number, fromMs: number, forMs: number): boolean {
  return nowMs > fromMs && nowMs < fromMs + forMs;
}

/** Holder lost, one entry frozen, another cut off, and every fifth restarted. */
function randomDisturbance(
  entries: number,
  random: () => number,
): Partial<CrashFleetScenario> {
  const from = () => 1_900 + random() * 3_000;
  const vacantMs = from();
  const vacancyMs = 500 + random() * 3_500;
  const frozenMs = from();
  const cutMs = from();
  const restartMs = Math.round(from() / 10) * 10;
  const struck = Math.floor(random() * entries);
  return {
    isVacant: nowMs => isWithin(nowMs, vacantMs, vacancyMs),
    isFrozen: (entry, nowMs) =>
      entry === struck && isWithin(nowMs, frozenMs, 2_500),
    isCutOff: (entry, nowMs) =>
      (entry + 1) % entries === struck && isWithin(nowMs, cutMs, 8_000),
    restarts: (entry, nowMs) => entry % 5 === 4 && nowMs === restartMs,
  };
}

describe.each(FLEETS)(
  'a part that crashes runners, $entries entries',
  fleet => {
    it.each(Object.entries(DISTURBANCES))(
      'is held back %s',
      async (_name, disturbance) => {
        // Guards against requests with the part that reach runners on and on.
        for (const seed of SEEDS) {
          const random = randomOf(seed);
          const scenario = {...fleet, ...disturbance, random};
          const outcome = await new CrashFleet(scenario).play();
          expect(outcome.lateArrivals).toBeLessThanOrEqual(ALLOWED_ARRIVALS);
          expect(outcome.soundShare).toBeGreaterThanOrEqual(MIN_SOUND_SHARE);
          expect(outcome.quarantined).toEqual(['part/bad']);
        }
      },
    );

    it(
      'is held back whatever strikes the entries at any moment',
      async () => {
        for (let seed = 1; seed <= RANDOM_SEEDS; seed++) {
          const random = randomOf(seed);
          const disturbance = randomDisturbance(fleet.entries, random);
          const scenario = {
            ...fleet,
            ...disturbance,
            random,
            durationMs: 20_000,
          };
          const outcome = await new CrashFleet(scenario).play();
          expect(outcome.lateArrivals).toBeLessThanOrEqual(ALLOWED_ARRIVALS);
          expect(outcome.soundShare).toBeGreaterThanOrEqual(MIN_SOUND_SHARE);
          expect(outcome.quarantined).toEqual(['part/bad']);
        }
      },
      TIMEOUT_MS,
    );

    it('is found beside another one', async () => {
      const crashingParts = ['part/bad', 'part/worse'];
      for (const seed of SEEDS) {
        const random = randomOf(seed);
        const scenario = {
          ...fleet,
          crashingParts,
          random,
          crashingPerSecond: 16,
        };
        const {soundShare, quarantined} = await new CrashFleet(scenario).play();
        expect(quarantined.sort()).toEqual(crashingParts);
        expect(soundShare).toBeGreaterThanOrEqual(MIN_SOUND_SHARE);
      }
    });

    it('is not seen where runners fail together', async () => {
      // Guards against blaming what all requests at a failed rack share.
      for (const seed of SEEDS) {
        const scenario = {
          ...fleet,
          random: randomOf(seed),
          crashingPerSecond: 0,
          failingRunners: (nowMs: number) =>
            [3_000, 5_500, 8_000].includes(nowMs) ? 10 : 0,
        };
        const {soundShare, quarantined} = await new CrashFleet(scenario).play();
        expect(quarantined).toEqual([]);
        expect(soundShare).toBeGreaterThanOrEqual(MIN_SOUND_SHARE);
      }
    });

    // Guards against parts that stay suspects for as long as nobody holds trials.
    it('is not seen where runners fail together without a holder', async () => {
      for (const seed of SEEDS) {
        const scenario = {
          ...fleet,
          random: randomOf(seed),
          crashingPerSecond: 0,
          isVacant: (nowMs: number) => isWithin(nowMs, 4_000, 9_000),
          failingRunners: (nowMs: number) =>
            [6_000, 8_500].includes(nowMs) ? 10 : 0,
        };
        const {soundShare, quarantined} = await new CrashFleet(scenario).play();
        expect(quarantined).toEqual([]);
        expect(soundShare).toBeGreaterThanOrEqual(MIN_SOUND_SHARE);
      }
    });
  },
);
