import http, {type Server} from 'node:http';

const OK = 200;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

/** Answers the balancer's health checks: 200 while ready, otherwise 503. */
export function createReadinessServer(isReady: () => boolean): Server {
  return http.createServer((_request, response) => {
    response.writeHead(isReady() ? OK : UNAVAILABLE);
    response.end();
  });
}

/** Serves the metrics at `/metrics` in the Prometheus text format. */
export function createMetricsServer(render: () => string): Server {
  return http.createServer((request, response) => {
    if (request.url !== '/metrics') {
      response.writeHead(NOT_FOUND).end();
      return;
    }
    response.writeHead(OK, {'content-type': 'text/plain'});
    response.end(render());
  });
}
