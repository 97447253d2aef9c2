import {isSocketAddress} from '@banyanfold/core';
import {z} from 'zod';
import {emptyRecord} from '../emptyRecord.js';

/**
 * Ranges of what peers send. They are wider than anything that a sound peer
 * computes; with values in them, sums over all entries stay finite.
 */

/** Work times its target is the largest quantity. */
const MAX_AMOUNT = 1e24;
/** No name in a caller's request is longer than its head may be. */
const MAX_TEXT_CHARS = 131_072;
const MAX_ITEMS = 100_000;

/** Where a peer listens; a connection can be opened to it. */
export const addressSchema = z
  .string()
  .refine(isSocketAddress, {error: 'not an IPv4 address and port'});

/**
 * A quantity or an age. It may be negative: a request that was counted and then
 * not sent is taken off, and usage exceeds a limit that was lowered.
 */
export const amountSchema = z.number().min(-MAX_AMOUNT).max(MAX_AMOUNT);

/**
 * A quantity that is added to sums over all entries. One that can't be true
 * counts as nothing: if the message were rejected for it, its entry could not
 * report anything, as a batch is sent again until it is answered.
 */
export const addendSchema = z
  .number()
  .min(0)
  .max(Number.MAX_SAFE_INTEGER)
  .catch(0);

/** Versions, revisions and positions, which only rise. */
export const ordinalSchema = z.number().int().nonnegative();

export const textSchema = z.string().max(MAX_TEXT_CHARS);

/** A list of bounded length. */
export function listOf<S extends z.ZodType>(item: S) {
  return z.array(item).max(MAX_ITEMS);
}

/**
 * Quantities by the id of a runner or a model. Each exchange has several with
 * all runners, and a schema for each value took four times as long.
 */
export const countsSchema = z.custom<Record<string, number>>(
  value => isRecord(value) && Object.values(value as object).every(isAmount),
  {error: 'not a record of numbers in range'},
);

/** The same, added to sums over all entries; see `addendSchema`. */
export const addendsSchema = z
  .custom<Record<string, unknown>>(isRecord, {error: 'not a record'})
  .transform(toCounts);

function isRecord(value: unknown): boolean {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isAmount(value: unknown): boolean {
  return typeof value === 'number' && Math.abs(value) <= MAX_AMOUNT;
}

function toCounts(values: Record<string, unknown>): Record<string, number> {
  const entries = Object.entries(values);
  if (entries.every(([, value]) => isCount(value))) {
    return values as Record<string, number>;
  }
  const counts = emptyRecord<number>();
  for (const [name, value] of entries) {
    counts[name] = isCount(value) ? value : 0;
  }
  return counts;
}

function isCount(value: unknown): value is number {
  return (
    typeof value === 'number' && value >= 0 && value <= Number.MAX_SAFE_INTEGER
  );
}

/** Values by the id of a runner, a model or an organisation. */
export function recordOf<S extends z.ZodType>(value: S) {
  return z.record(textSchema, value);
}
