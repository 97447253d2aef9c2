import type {ResultRow} from './resultRow.js';

const OURS = 'banyanfold';
/** Rows that are no baselines. */
const NOT_COMPARED = new Set([OURS, 'previous', 'pooled-bound']);
const PERCENT = 100;

/**
 * Says in our own row where a baseline attains more, where one attains the same
 * with fewer moves, and where one that moves at all does so less. The rows are
 * those of one scenario.
 */
export function annotateRows(rows: readonly ResultRow[]): void {
  const own = rows.find(({policy}) => policy === OURS);
  if (!own) return;
  const remarks = rows
    .filter(({policy}) => !NOT_COMPARED.has(policy))
    .map(other => remarkOn(own, other))
    .filter(remark => remark !== undefined);
  own.note = [own.note, ...remarks].filter(text => text !== '').join('; ');
}

function remarkOn(own: ResultRow, other: ResultRow): string | undefined {
  const behind = other.attainment.mean - own.attainment.mean;
  if (behind > 0) {
    const points = (behind * PERCENT).toFixed(2);
    return `${other.policy} attains ${points} points more`;
  }
  const fewerMoves = own.moves.mean - other.moves.mean;
  if (fewerMoves <= 0) return undefined;
  if (behind === 0) return `${other.policy} attains the same with fewer moves`;
  if (other.moves.mean === 0) return undefined;
  const points = (-behind * PERCENT).toFixed(2);
  return `${other.policy} makes ${fewerMoves.toFixed(1)} fewer moves, attains ${points} points less`;
}
