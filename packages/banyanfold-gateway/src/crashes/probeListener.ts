import net from 'node:net';

/** Whether something listens at an address; unknown if nothing answers at all. */
export type ListenerState = 'listening' | 'refused' | 'unknown';

/**
 * Opens a connection and closes it at once. A runner that has crashed refuses it
 * within a round trip, seconds before its registration lapses.
 *
 * @param address host and port, joined by a colon.
 * @example
 * await probeListener('127.0.0.1:9', 400) // 'refused' where nothing listens
 */
export function probeListener(
  address: string,
  timeoutMs: number,
): Promise<ListenerState> {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon);
  const port = Number(address.slice(colon + 1));
  return new Promise(resolve => {
    const socket = net.connect({host, port});
    const finish = (state: ListenerState) => {
      socket.destroy();
      resolve(state);
    };
    socket.setTimeout(timeoutMs, () => finish('unknown'));
    socket.once('connect', () => finish('listening'));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === 'ECONNREFUSED' ? 'refused' : 'unknown'),
    );
  });
}
