import {execFileSync} from 'node:child_process';

const MAX_OUTPUT_BYTES = 256 * 1024 * 1024;

/** The kernel's counts of one TCP connection, at one of its ends. */
export interface SocketCount {
  pid: number;
  inode: string;
  localPort: number;
  peerPort: number;
  sentBytes: number;
  receivedBytes: number;
  segments: number;
}

/**
 * Reads the counts of all TCP connections of this machine, by `ss`.
 *
 * @returns undefined where there is no `ss`.
 */
export function readSockets(): SocketCount[] | undefined {
  try {
    const text = execFileSync('ss', ['-tinpeHO'], {
      encoding: 'utf8',
      maxBuffer: MAX_OUTPUT_BYTES,
    });
    return parseSockets(text);
  } catch {
    return undefined;
  }
}

/** One line for each connection; those of other users show no process. */
export function parseSockets(text: string): SocketCount[] {
  return text.split('\n').flatMap(line => {
    const pid = numberAfter(line, /pid=(\d+)/);
    const inode = /ino:(\d+)/.exec(line)?.[1];
    const ports = /:(\d+)\s+\S*:(\d+)\s/.exec(line);
    if (pid === undefined || !inode || !ports) return [];
    return {
      pid,
      inode,
      localPort: Number(ports[1]),
      peerPort: Number(ports[2]),
      sentBytes: numberAfter(line, /bytes_sent:(\d+)/) ?? 0,
      receivedBytes: numberAfter(line, /bytes_received:(\d+)/) ?? 0,
      segments:
        (numberAfter(line, /segs_out:(\d+)/) ?? 0) +
        (numberAfter(line, /segs_in:(\d+)/) ?? 0),
    };
  });
}

/**
 * Adds up what connections carried. It reads often, since the counts of a
 * connection are gone once it is closed.
 */
export class SocketMeter {
  private readonly first = new Map<string, SocketCount>();
  private readonly last = new Map<string, SocketCount>();
  private isFirstReading = true;
  available = true;

  /** Takes a reading; a connection that is new since counts from zero. */
  read(): void {
    const sockets = readSockets();
    this.available &&= sockets !== undefined;
    for (const socket of sockets ?? []) {
      const key = `${socket.inode}/${socket.localPort}/${socket.peerPort}`;
      if (this.isFirstReading) this.first.set(key, socket);
      this.last.set(key, socket);
    }
    this.isFirstReading = false;
  }

  /** Bytes and segments of a process both ways, but for those left out. */
  sumOf(
    pid: number,
    isCounted: (socket: SocketCount) => boolean,
  ): {bytes: number; segments: number} {
    const sum = {bytes: 0, segments: 0};
    for (const [key, socket] of this.last) {
      if (socket.pid !== pid || !isCounted(socket)) continue;
      const from = this.first.get(key);
      sum.bytes += bytesOf(socket) - (from ? bytesOf(from) : 0);
      sum.segments += socket.segments - (from?.segments ?? 0);
    }
    return sum;
  }
}

function bytesOf({sentBytes, receivedBytes}: SocketCount): number {
  return sentBytes + receivedBytes;
}

function numberAfter(line: string, pattern: RegExp): number | undefined {
  const found = pattern.exec(line)?.[1];
  return found === undefined ? undefined : Number(found);
}
