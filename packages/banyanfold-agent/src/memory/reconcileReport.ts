import type {Allocation, AllocationState, LedgerEvent} from './allocation.js';

type EngineState = 'loading' | 'loaded' | 'unloading';

interface ListedModel {
  artifact: string;
  bytes: number;
  state: EngineState;
}

interface Reconciliation {
  /** The allocation of a copy that the ledger did not contain. */
  adopted?: Allocation;
  event?: LedgerEvent;
}

interface ReconcileContext {
  /** Engine clock: when the report was taken. */
  takenAtMs: number;
  /** Agent clock. */
  nowMs: number;
  createCopyId(artifact: string): string;
}

/** The state of an adopted copy's allocation, by its state in the report. */
const ADOPTED_STATES: Record<EngineState, AllocationState> = {
  loading: 'reserved',
  loaded: 'held',
  unloading: 'releasing',
};

/**
 * Updates an allocation from a report that lists its artifact, or creates one
 * if the ledger has none. The report must be newer than all before it.
 */
export function reconcileListed(
  known: Allocation | undefined,
  model: ListedModel,
  context: ReconcileContext,
): Reconciliation {
  if (!known) return adoptCopy(model, context);
  known.isReported = true;
  known.bytes = Math.max(known.bytes, model.bytes);
  known.conclusiveAfterMs ??= context.takenAtMs;
  return {event: LISTED_HANDLERS[model.state](known, context)};
}

const LISTED_HANDLERS: Record<
  EngineState,
  (known: Allocation, context: ReconcileContext) => LedgerEvent | undefined
> = {
  loading(known) {
    if (known.state === 'in-doubt') known.state = 'reserved';
    return undefined;
  },
  loaded(known, context) {
    if (known.state === 'held') return undefined;
    if (known.state === 'releasing') return handleStillLoaded(known, context);
    known.state = 'held';
    return createEvent('held', known);
  },
  unloading(known, context) {
    if (known.state === 'releasing') return undefined;
    // This agent sent no unload order. A delayed order of an earlier agent
    // process can still arrive.
    known.state = 'releasing';
    known.unloadVisibleAfterMs = context.takenAtMs;
    return createEvent('foreign-unload', known);
  },
};

/**
 * Handles a copy that is being released but that a report lists as loaded. If
 * the report is newer than the accepted unload, the engine ignored the order.
 */
function handleStillLoaded(
  known: Allocation,
  {takenAtMs}: ReconcileContext,
): LedgerEvent | undefined {
  if (known.unloadVisibleAfterMs === undefined) return undefined;
  if (takenAtMs <= known.unloadVisibleAfterMs) return undefined;
  if (known.unloadOrderId === undefined) {
    known.state = 'held';
    return createEvent('held', known);
  }
  known.unloadVisibleAfterMs = undefined;
  return createEvent('unload-ignored', known);
}

/**
 * Returns the event for an allocation whose artifact a report doesn't list. The
 * result is undefined if the report may predate the engine's receipt of the
 * order and therefore proves nothing.
 */
export function reconcileAbsent(
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
    isAfter(takenAtMs, allocation.conclusiveAfterMs)
      ? createEvent('load-failed', allocation)
      : undefined,
  'in-doubt': (allocation, takenAtMs) =>
    isAfter(takenAtMs, allocation.conclusiveAfterMs)
      ? createEvent('doubt-ended', allocation)
      : undefined,
  held: (allocation, takenAtMs) =>
    isAfter(takenAtMs, allocation.conclusiveAfterMs)
      ? createEvent('vanished', allocation)
      : undefined,
  // The answers to an unload order can be lost. A report taken after the order
  // was sent is then sufficient, since earlier reports listed the copy.
  releasing: (allocation, takenAtMs) =>
    isAfter(takenAtMs, allocation.unloadVisibleAfterMs) ||
    isAfter(takenAtMs, allocation.unloadSentBeforeEngineMs)
      ? createEvent('released', allocation)
      : undefined,
};

function isAfter(takenAtMs: number, thresholdMs: number | undefined): boolean {
  return thresholdMs !== undefined && takenAtMs > thresholdMs;
}

function adoptCopy(
  model: ListedModel,
  context: ReconcileContext,
): Reconciliation {
  const allocation: Allocation = {
    artifact: model.artifact,
    bytes: model.bytes,
    state: ADOPTED_STATES[model.state],
    copyId: context.createCopyId(model.artifact),
    conclusiveAfterMs: context.takenAtMs,
    unloadVisibleAfterMs:
      model.state === 'unloading' ? context.takenAtMs : undefined,
    isReported: true,
    activeRequests: 0,
    lastUsedAtMs: context.nowMs,
    isRetiring: false,
    isInherited: true,
    firstKnownAtMs: context.nowMs,
  };
  return {adopted: allocation, event: createEvent('adopted', allocation)};
}

function createEvent(
  kind: LedgerEvent['kind'],
  {artifact, copyId}: Allocation,
): LedgerEvent {
  return {kind, artifact, copyId};
}
