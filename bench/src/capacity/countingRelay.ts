import {createConnection, createServer, type Socket} from 'node:net';

/** Passes TCP connections on to a port and counts their bytes. */
export interface CountingRelay {
  port: number;
  /** Bytes both ways since the last call: HTTP heads and framing included. */
  takeBytes(): number;
  stop(): void;
}

const HOST = '127.0.0.1';

/** @example const relay = await startRelay(port); await call(relay.port); */
export async function startRelay(targetPort: number): Promise<CountingRelay> {
  let bytes = 0;
  const open = new Set<Socket>();
  const track = (socket: Socket, other: Socket) => {
    open.add(socket);
    socket.on('data', data => {
      bytes += data.length;
    });
    socket.on('error', () => other.destroy());
    socket.on('close', () => {
      open.delete(socket);
      other.destroy();
    });
    socket.pipe(other);
  };
  const server = createServer(near => {
    const far = createConnection(targetPort, HOST);
    track(near, far);
    track(far, near);
  });
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const address = server.address();
  return {
    port: typeof address === 'object' && address ? address.port : 0,
    takeBytes() {
      const taken = bytes;
      bytes = 0;
      return taken;
    },
    stop() {
      server.close();
      for (const socket of open) socket.destroy();
    },
  };
}
