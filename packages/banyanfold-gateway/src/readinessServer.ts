import http, {type Server} from 'node:http';

const OK = 200;
const UNAVAILABLE = 503;

/** Tells the balancer whether new callers may come here. */
export function createReadinessServer(
  isReady: () => boolean,
  renderMetrics: () => string,
  metricsPath: string,
): Server {
  return http.createServer((request, response) => {
    if (request.url === metricsPath) {
      response.writeHead(OK, {'content-type': 'text/plain'});
      response.end(renderMetrics());
      return;
    }
    response.writeHead(isReady() ? OK : UNAVAILABLE);
    response.end();
  });
}
