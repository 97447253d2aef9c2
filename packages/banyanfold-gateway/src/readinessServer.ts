import http, {type Server} from 'node:http';

const OK = 200;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

/** Limits on the time that a request of the balancer or of a peer may take. */
export const INTERNAL_SERVER_LIMITS = {
  headersTimeout: 5_000,
  requestTimeout: 10_000,
  connectionsCheckingInterval: 1_000,
};

/** Answers the balancer's health checks: 200 while ready, otherwise 503. */
export function createReadinessServer(isReady: () => boolean): Server {
  return http.createServer(INTERNAL_SERVER_LIMITS, (_request, response) => {
    response.writeHead(isReady() ? OK : UNAVAILABLE);
    response.end();
  });
}

/** Serves the metrics at `/metrics` in the Prometheus text format. */
export function createMetricsServer(render: () => string): Server {
  return http.createServer(INTERNAL_SERVER_LIMITS, (request, response) => {
    if (request.url !== '/metrics') {
      response.writeHead(NOT_FOUND).end();
      return;
    }
    response.writeHead(OK, {'content-type': 'text/plain'});
    response.end(render());
  });
}
