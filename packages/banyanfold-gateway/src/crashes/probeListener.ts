import net from 'node:net';

/** Whether a process listens at an address; `unknown` if nothing answers. */
export type ListenerState = 'listening' | 'refused' | 'unknown';

/**
 * Opens a connection and closes it immediately. The address of a crashed runner
 * refuses it within one round trip, seconds before its registration expires.
 *
 * @param address host and port, separated by a colon.
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
