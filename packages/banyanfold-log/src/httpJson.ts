import {
  BanyanfoldError,
  readJsonBody,
  toBanyanfoldError,
  type Clock,
  type ErrorContext,
} from '@banyanfold/core';
import {ResultAsync} from 'neverthrow';
import {request, type Dispatcher} from 'undici';
import type {z} from 'zod';

/** One HTTP call to a platform service. */
export interface JsonCall<S extends z.ZodType> {
  method: 'GET' | 'POST';
  url: string;
  body?: unknown;
  schema: S;
  place: ErrorContext;
  clock: Clock;
  timeoutMs: number;
  /** Aborts the call, in addition to the timeout. */
  signal?: AbortSignal | undefined;
  dispatcher?: Dispatcher | undefined;
  /** The error code if the service did not execute the call. */
  notExecutedCode: string;
  /** The error code if it is unknown whether the service executed the call. */
  outcomeUnknownCode: string;
}

/** A page of the log, or the list of all VMs, is far shorter. */
const MAX_RESPONSE_BYTES = 16_777_216;
const OK_STATUS = 200;
const FIRST_SERVER_ERROR_STATUS = 500;
const UNAVAILABLE_STATUS = 503;

/** Makes one call without retries and validates the response's schema. */
export function callJson<S extends z.ZodType>(
  call: JsonCall<S>,
): ResultAsync<z.output<S>, BanyanfoldError> {
  const abort = new AbortController();
  const timer = call.clock.setTimer(call.timeoutMs, () => abort.abort());
  const signals = call.signal ? [abort.signal, call.signal] : [abort.signal];
  const response = sendRequest(call, AbortSignal.any(signals)).finally(() =>
    timer.cancel(),
  );
  return ResultAsync.fromPromise(response, thrown => {
    const code = wasNeverSent(thrown)
      ? call.notExecutedCode
      : call.outcomeUnknownCode;
    return toBanyanfoldError(thrown, code, call.place);
  });
}

async function sendRequest<S extends z.ZodType>(
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
  const body = await readJsonBody(response.body, {
    clock: call.clock,
    maxBytes: MAX_RESPONSE_BYTES,
    timeoutMs: call.timeoutMs,
  });
  return call.schema.parse(body) as z.output<S>;
}

/** A 503 or a status below 500 proves that the call was not executed. */
function statusError<S extends z.ZodType>(
  call: JsonCall<S>,
  status: number,
): BanyanfoldError {
  const isRefusal =
    status === UNAVAILABLE_STATUS || status < FIRST_SERVER_ERROR_STATUS;
  const code = isRefusal ? call.notExecutedCode : call.outcomeUnknownCode;
  return new BanyanfoldError(code, `answered ${status}`, call.place);
}

/**
 * Whether the call failed before any of it was sent. Only a failure to connect
 * proves that. On an open connection the same error codes may occur after the
 * request was written.
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
