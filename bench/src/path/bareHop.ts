import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {Agent, request} from 'undici';

const HOST = '127.0.0.1';

/**
 * A hop that does nothing but pass on, in a process of its own: what Node's
 * HTTP costs on this machine before any work of ours. Its argument is the URL
 * to pass on to.
 */
function startBareHop(target: string): void {
  const dispatcher = new Agent({pipelining: 1});
  const server = http.createServer((req, res) => {
    void passOn(target, dispatcher, req, res);
  });
  server.listen(0, HOST, () => {
    const address = server.address();
    const port = typeof address === 'object' ? address?.port : 0;
    console.log(`event=listening port=${port}`);
  });
}

async function passOn(
  target: string,
  dispatcher: Agent,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  const answer = await request(`${target}${req.url}`, {
    method: 'POST',
    dispatcher,
    headers: {'content-type': 'application/json'},
    body: Buffer.concat(chunks),
  });
  res.writeHead(answer.statusCode, {'content-type': 'text/event-stream'});
  for await (const chunk of answer.body) res.write(chunk);
  res.end();
}

startBareHop(process.argv[2] ?? '');
