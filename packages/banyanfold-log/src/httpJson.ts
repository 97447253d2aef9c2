import {
  BanyanfoldError,
  toBanyanfoldError,
  type Clock,
  type ErrorContext,
} from '@banyanfold/core';
import {ResultAsync} from 'neverthrow';
import {request, type Dispatcher} from 'undici';
import type {z} from 'zod';

/** One call to a service of the platform. */
export interface JsonCall<S extends z.ZodType> {
  method: 'GET' | 'POST';
  url: string;
  body?: unknown;
  schema: S;
  place: ErrorContext;
  clock: Clock;
  timeoutMs: number;
  /** Gives up the call, beside the timeout. */
  signal?: AbortSignal | undefined;
  dispatcher?: Dispatcher | undefined;
  /** The code when nothing was done at the other side. */
  notDoneCode: string;
  /** The code when it can't be known whether it was done. */
  unknownCode: string;
}

const OK_STATUS = 200;
const FIRST_SERVER_ERROR_STATUS = 500;
const UNAVAILABLE_STATUS = 503;

/** Makes one call, never a second one, and checks the answer's schema. */
export function callJson<S extends z.ZodType>(
  call: JsonCall<S>,
): ResultAsync<z.output<S>, BanyanfoldError> {
  const abort = new AbortController();
  const timer = call.clock.setTimer(call.timeoutMs, () => abort.abort());
  const signals = call.signal ? [abort.signal, call.signal] : [abort.signal];
  const answer = exchange(call, AbortSignal.any(signals)).finally(() =>
    timer.cancel(),
  );
  return ResultAsync.fromPromise(answer, thrown => {
    const code = wasNeverSent(thrown) ? call.notDoneCode : call.unknownCode;
    return toBanyanfoldError(thrown, code, call.place);
  });
}

async function exchange<S extends z.ZodType>(
  call: JsonCall<S>,
  signal: AbortSignal,
): Promise<z.output<S>> {
  const hasBody = call.body !== undefined;
  const response = await request(call.url, {
    method: call.method,
    signal,
    ...(call.dispatcher ? {dispatcher: call.dispatcher} : {}),
    ...(hasBody
      ? {
          headers: {'content-type': 'application/json'},
          body: JSON.stringify(call.body),
        }
      : {}),
  });
  if (response.statusCode !== OK_STATUS) {
    await response.body.dump();
    throw statusError(call, response.statusCode);
  }
  return call.schema.parse(await response.body.json()) as z.output<S>;
}

/** A refusal says that nothing was done; another 5xx says nothing. */
function statusError<S extends z.ZodType>(
  call: JsonCall<S>,
  status: number,
): BanyanfoldError {
  const isRefusal =
    status === UNAVAILABLE_STATUS || status < FIRST_SERVER_ERROR_STATUS;
  const code = isRefusal ? call.notDoneCode : call.unknownCode;
  return new BanyanfoldError(code, `answered ${status}`, call.place);
}

/**
 * Whether the call failed before any of it left. Only a failure to connect
 * proves that; the same codes on an open connection, after the request was
 * written, prove nothing.
 */
function wasNeverSent(thrown: unknown): boolean {
  if (!(thrown instanceof Error)) return false;
  const {code, syscall} = thrown as NodeJS.ErrnoException;
  if (code === 'UND_ERR_CONNECT_TIMEOUT') return true;
  if (thrown instanceof AggregateError) {
    return thrown.errors.length > 0 && thrown.errors.every(wasNeverSent);
  }
  return syscall === 'connect';
}
