import type {Allocation, AllocationState, LedgerEvent} from './allocation.js';

type EngineState = 'loading' | 'loaded' | 'unloading';

interface ListedModel {
  artifact: string;
  bytes: number;
  state: EngineState;
}

interface Judgement {
  /** A copy that the ledger did not know. */
  adopt?: Allocation;
  event?: LedgerEvent;
}

interface JudgeContext {
  /** Engine clock: when the report was taken. */
  takenAtMs: number;
  nowMs: number;
  nameCopy(artifact: string): string;
}

const STATE_OF_FOUND: Record<EngineState, AllocationState> = {
  loading: 'reserved',
  loaded: 'held',
  unloading: 'releasing',
};

/** What a newer report that lists an artifact says about its copy. */
export function judgeListed(
  known: Allocation | undefined,
  model: ListedModel,
  context: JudgeContext,
): Judgement {
  if (!known) return adopt(model, context);
  known.seen = true;
  known.bytes = Math.max(known.bytes, model.bytes);
  known.provenAfterMs ??= context.takenAtMs;
  return {event: LISTED_HANDLERS[model.state](known, context)};
}

const LISTED_HANDLERS: Record<
  EngineState,
  (known: Allocation, context: JudgeContext) => LedgerEvent | undefined
> = {
  loading(known) {
    if (known.state === 'in-doubt') known.state = 'reserved';
    return undefined;
  },
  loaded(known, context) {
    if (known.state === 'held') return undefined;
    if (known.state === 'releasing') return loadedAgain(known, context);
    known.state = 'held';
    return eventOf('held', known);
  },
  unloading(known, context) {
    if (known.state === 'releasing') return undefined;
    // Nobody else should order here; a predecessor's late order can.
    known.state = 'releasing';
    known.unloadReceivedMs = context.takenAtMs;
    return eventOf('foreign-unload', known);
  },
};

/** A copy that should go is listed as usable. */
function loadedAgain(
  known: Allocation,
  {takenAtMs}: JudgeContext,
): LedgerEvent | undefined {
  if (known.unloadReceivedMs === undefined) return undefined;
  if (takenAtMs <= known.unloadReceivedMs) return undefined;
  if (known.unloadOrderId === undefined) {
    known.state = 'held';
    return eventOf('held', known);
  }
  known.unloadReceivedMs = undefined;
  return eventOf('unload-ignored', known);
}

/**
 * What a newer report that lacks an artifact says about its copy: undefined
 * when it proves nothing, because it was taken before the order was received.
 */
export function judgeAbsent(
  allocation: Allocation,
  takenAtMs: number,
): LedgerEvent | undefined {
  return ABSENT_HANDLERS[allocation.state](allocation, takenAtMs);
}

const ABSENT_HANDLERS: Record<
  AllocationState,
  (allocation: Allocation, takenAtMs: number) => LedgerEvent | undefined
> = {
  reserved: (allocation, takenAtMs) =>
    isAfter(takenAtMs, allocation.provenAfterMs)
      ? eventOf('load-failed', allocation)
      : undefined,
  'in-doubt': (allocation, takenAtMs) =>
    isAfter(takenAtMs, allocation.provenAfterMs)
      ? eventOf('doubt-ended', allocation)
      : undefined,
  held: (allocation, takenAtMs) =>
    isAfter(takenAtMs, allocation.provenAfterMs)
      ? eventOf('vanished', allocation)
      : undefined,
  // Without an answer, a report from after the sending is evidence as well: it
  // lacks a copy that earlier ones listed.
  releasing: (allocation, takenAtMs) =>
    isAfter(takenAtMs, allocation.unloadReceivedMs) ||
    isAfter(takenAtMs, allocation.unloadSentByMs)
      ? eventOf('released', allocation)
      : undefined,
};

function isAfter(takenAtMs: number, orderMs: number | undefined): boolean {
  return orderMs !== undefined && takenAtMs > orderMs;
}

function adopt(model: ListedModel, context: JudgeContext): Judgement {
  const allocation: Allocation = {
    artifact: model.artifact,
    bytes: model.bytes,
    state: STATE_OF_FOUND[model.state],
    copyId: context.nameCopy(model.artifact),
    provenAfterMs: context.takenAtMs,
    unloadReceivedMs:
      model.state === 'unloading' ? context.takenAtMs : undefined,
    seen: true,
    users: 0,
    lastUsedMs: context.nowMs,
    retiring: false,
    isInherited: true,
    knownSinceMs: context.nowMs,
  };
  return {adopt: allocation, event: eventOf('adopted', allocation)};
}

function eventOf(
  kind: LedgerEvent['kind'],
  {artifact, copyId}: Allocation,
): LedgerEvent {
  return {kind, artifact, copyId};
}
