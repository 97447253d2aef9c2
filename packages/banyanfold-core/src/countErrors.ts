import type {Logger} from './logger.js';
import type {Metrics} from './metrics.js';

/**
 * Returns a logger that also counts its errors by event.
 *
 * @example countErrors(createLogger(), metrics).error('request-failed')
 */
export function countErrors(logger: Logger, metrics: Metrics): Logger {
  return {
    info: (event, fields) => logger.info(event, fields),
    warn: (event, fields) => logger.warn(event, fields),
    error: (event, fields) => {
      metrics.count('errors_total', {event});
      logger.error(event, fields);
    },
    child: fields => countErrors(logger.child(fields), metrics),
  };
}
