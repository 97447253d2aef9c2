import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {CallerDecision} from '../callers/decideCaller.js';
import {shortDigest} from '../callers/keyDigest.js';
import type {GatewayContext} from '../context.js';
import type {DecodedRequest, InvalidRequest} from '../types.js';
import {announcedBytes, hasUnknownLength} from './readBody.js';
import {ERROR_STATUS, sendErrorResponse} from './errorResponse.js';
import {retryAfterPauseMs} from './retryAfter.js';

/** Retry delay for callers refused because of the configuration's state. */
const NOT_READY_RETRY_AFTER_MS = 500;

/**
 * Retry delay for callers refused because of memory. A transfer without progress
 * counts as stalled after 1 s and gives way to a new request.
 */
const MEMORY_RETRY_AFTER_MS = 1_000;

/** Shortest retry delay for callers refused because of the process's backlog. */
const BACKLOG_RETRY_AFTER_MS = 1_000;
/**
 * Retry delay for callers refused because of descriptors. Requests take about
 * that long, and each that ends frees two.
 */
const DESCRIPTORS_RETRY_AFTER_MS = 1_000;
/** Retry delay for callers refused because the process holds too many requests. */
const PLACES_RETRY_AFTER_MS = 1_000;
/**
 * Time for the body of a request that is refused because of descriptors. Callers
 * abandon a silent connection after 1 s, and one that stops sending would keep
 * its descriptor for as long as it likes.
 */
const MAX_REFUSED_BODY_MS = 500;

/** A longer value of a header is cut off in the log. */
const MAX_LOGGED_VALUE_LENGTH = 60;

/** Refuses requests before they are handled; none of them has run. */
export class HeadRefusals {
  constructor(private readonly context: GatewayContext) {}

  /**
   * Refuses a request without a route. A 404 is final, so it requires a
   * confirmed configuration: a newer one, not known here yet, may contain the
   * route.
   */
  refuseUnrouted(request: IncomingMessage, response: ServerResponse): void {
    const {view, configApplyMs, refreshConfig} = this.context;
    if (view.isConfigConfirmed(configApplyMs)) {
      this.refuse(request, response, ERROR_STATUS.noRoute, false);
      return;
    }
    refreshConfig();
    this.refuse(request, response, ERROR_STATUS.notRun, false);
  }

  /**
   * Refuses a request with a value that can't be true, before anything counts
   * it. The refusal is final, as the caller would send the same value again.
   */
  refuseInvalid(
    request: IncomingMessage,
    response: ServerResponse,
    {header, requestId, keyDigest}: InvalidRequest,
  ): void {
    const {name, expected, value} = header;
    const {metrics, logger, isDraining} = this.context;
    metrics.count('invalid_headers_total', {header: name});
    logger.info('invalid-header', {
      request: requestId,
      key: keyDigest && shortDigest(keyDigest),
      header: name,
      value: value.slice(0, MAX_LOGGED_VALUE_LENGTH),
      host: request.headers.host,
      target: request.url,
    });
    sendErrorResponse(
      response,
      {
        status: ERROR_STATUS.invalid,
        reason: 'invalid-header',
        field: name,
        message: `${name} must be: ${expected}`,
      },
      isDraining(),
    );
  }

  /** Refuses a caller that is unauthorized or can't be authorized yet. */
  refuseCaller(
    request: IncomingMessage,
    response: ServerResponse,
    {keyDigest, request: {requestId}}: DecodedRequest,
    caller: Exclude<CallerDecision, {kind: 'admitted'}>,
  ): void {
    if (caller.kind === 'undecided') {
      this.refuse(request, response, ERROR_STATUS.notRun, false);
      return;
    }
    const {metrics, logger, view, isDraining} = this.context;
    const {reason} = caller;
    metrics.count('callers_unauthorized_total', {reason});
    logger.info('unauthorized', {
      request: requestId,
      reason,
      key: keyDigest && shortDigest(keyDigest),
      target: request.url,
      config: view.currentConfig?.version,
    });
    const status = ERROR_STATUS.unauthorized;
    sendErrorResponse(response, {status, reason}, isDraining());
  }

  /** Refuses a request for which there is no memory, before its body is read. */
  refuseForMemory(
    request: IncomingMessage,
    response: ServerResponse,
    // The rest of a body of unknown length is not waited for.
    closeConnection = hasUnknownLength(request),
  ): void {
    const {metrics, logger, random, isDraining} = this.context;
    const retryAfterMs = retryAfterPauseMs(MEMORY_RETRY_AFTER_MS, random);
    metrics.count('refused_for_memory_total');
    logger.info('refuse', {
      reason: 'memory',
      target: request.url,
      retryAfterMs: Math.round(retryAfterMs),
    });
    sendErrorResponse(
      response,
      {status: ERROR_STATUS.notRun, reason: 'memory', retryAfterMs},
      closeConnection || isDraining(),
    );
  }

  /** Refuses a request because the process holds as many as it can. */
  refuseForPlaces(request: IncomingMessage, response: ServerResponse): void {
    const {metrics, logger, random} = this.context;
    const retryAfterMs = retryAfterPauseMs(PLACES_RETRY_AFTER_MS, random);
    metrics.count('refused_for_places_total');
    logger.info('refuse', {
      reason: 'requests',
      target: request.url,
      retryAfterMs: Math.round(retryAfterMs),
    });
    sendErrorResponse(
      response,
      {status: ERROR_STATUS.notRun, reason: 'requests', retryAfterMs},
      true,
    );
  }

  /** Refuses a request that this process can't serve in time. */
  refuseForBacklog(request: IncomingMessage, response: ServerResponse): void {
    const {metrics, logger, random, isDraining, backlog} = this.context;
    const delayMs = backlog?.ownDelayMs ?? 0;
    const pauseMs = Math.max(delayMs, BACKLOG_RETRY_AFTER_MS);
    const retryAfterMs = retryAfterPauseMs(pauseMs, random);
    metrics.count('refused_for_backlog_total');
    logger.info('refuse', {
      reason: 'backlog',
      target: request.url,
      ownDelayMs: Math.round(delayMs),
      retryAfterMs: Math.round(retryAfterMs),
    });
    sendErrorResponse(
      response,
      {status: ERROR_STATUS.notRun, reason: 'backlog', retryAfterMs},
      isDraining() || hasUnknownLength(request),
    );
  }

  /**
   * Refuses a request for which there is no connection, and closes that of its
   * caller. If the connection were closed while the body arrives, the caller
   * would be told of a reset instead of the refusal.
   */
  refuseForDescriptors(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const {clock, metrics, logger, random} = this.context;
    const retryAfterMs = retryAfterPauseMs(DESCRIPTORS_RETRY_AFTER_MS, random);
    metrics.count('refused_for_descriptors_total');
    logger.info('refuse', {
      reason: 'descriptors',
      target: request.url,
      retryAfterMs: Math.round(retryAfterMs),
    });
    const send = () => {
      timer.cancel();
      if (response.headersSent || response.closed) return;
      sendErrorResponse(
        response,
        {status: ERROR_STATUS.notRun, reason: 'descriptors', retryAfterMs},
        true,
      );
    };
    const hasBody = announcedBytes(request) > 0 || hasUnknownLength(request);
    const waitMs = hasBody ? MAX_REFUSED_BODY_MS : 0;
    const timer = clock.setTimer(waitMs, send);
    request.once('end', send);
    request.resume();
  }

  refuse(
    request: IncomingMessage,
    response: ServerResponse,
    status: number,
    closeConnection: boolean,
  ): void {
    const {metrics, logger, view} = this.context;
    metrics.count('turned_away_total', {status: String(status)});
    logger.info('turned-away', {
      status,
      host: request.headers.host,
      target: request.url,
      config: view.currentConfig?.version,
      configAgeMs: view.configAgeMs && Math.round(view.configAgeMs),
    });
    sendErrorResponse(
      response,
      {
        status,
        reason: http.STATUS_CODES[status] ?? 'refused',
        retryAfterMs:
          status === ERROR_STATUS.notRun ? NOT_READY_RETRY_AFTER_MS : undefined,
      },
      closeConnection || this.context.isDraining(),
    );
  }
}
