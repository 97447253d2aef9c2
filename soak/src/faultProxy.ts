import net, {type AddressInfo, type Socket} from 'node:net';

/** How connections through a proxy are treated, from when it is set. */
export type LinkMode =
  | 'pass'
  | 'delay'
  | 'reset'
  /** Nothing goes through in either direction, and nothing tells of it. */
  | 'silent'
  /** What the caller sends is lost; what comes back is not. */
  | 'requests-lost'
  /** What the server sends is lost; what goes to it is not. */
  | 'answers-lost';

/** Longer than a call to the store should take, shorter than its timeout. */
const DELAY_MS = 250;

interface Lost {
  requests: boolean;
  answers: boolean;
}

const LOST: Record<LinkMode, Lost> = {
  pass: {requests: false, answers: false},
  delay: {requests: false, answers: false},
  reset: {requests: false, answers: false},
  silent: {requests: true, answers: true},
  'requests-lost': {requests: true, answers: false},
  'answers-lost': {requests: false, answers: true},
};

/** The two ends of one connection. */
interface Link {
  caller: Socket;
  server: Socket;
  lost: Lost;
}

/**
 * A TCP proxy on loopback whose connections can be disturbed. A connection that
 * once lost bytes stays so until it is closed, as after a cut: only a timeout of
 * its user shows it, and new connections work.
 */
export class FaultProxy {
  private mode: LinkMode = 'pass';
  private readonly links = new Set<Link>();
  private readonly server = net.createServer(caller => this.accept(caller));

  /** @param target host and port behind the proxy. */
  constructor(private readonly target: string) {}

  async listen(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  set(mode: LinkMode): void {
    this.mode = mode;
    for (const link of this.links) {
      if (mode === 'reset') this.reset(link);
      else lose(link, LOST[mode]);
    }
  }

  close(): void {
    this.server.close();
    for (const link of this.links) this.reset(link);
  }

  private accept(caller: Socket): void {
    if (this.mode === 'reset') {
      caller.resetAndDestroy();
      return;
    }
    const [host, port] = this.target.split(':') as [string, string];
    const server = net.connect(Number(port), host);
    const link: Link = {caller, server, lost: {...LOST[this.mode]}};
    this.links.add(link);
    this.carry(link, caller, server, 'requests');
    this.carry(link, server, caller, 'answers');
    for (const end of [caller, server]) {
      end.on('error', () => this.reset(link));
      end.on('close', () => this.links.delete(link));
    }
  }

  private carry(link: Link, from: Socket, to: Socket, what: keyof Lost): void {
    const pass = (deliver: () => void) => {
      const send = () => {
        if (!link.lost[what]) deliver();
      };
      if (this.mode === 'delay') setTimeout(send, DELAY_MS);
      else send();
    };
    from.on('data', chunk => pass(() => to.write(chunk)));
    // A lost end leaves the other side with an open connection.
    from.on('end', () => pass(() => this.passEnd(link, from, to)));
  }

  /**
   * The runtime reports an ordinary end where the last bytes and a reset came
   * together. Passed on as an end, it would make the part that came look whole;
   * a write, a blank line that servers skip, fails on a connection that was reset.
   */
  private passEnd(link: Link, from: Socket, to: Socket): void {
    if (from !== link.server) {
      to.end();
      return;
    }
    from.write('\r\n', error => {
      if (error) this.reset(link);
      else to.end();
    });
  }

  private reset(link: Link): void {
    this.links.delete(link);
    link.caller.resetAndDestroy();
    link.server.resetAndDestroy();
  }
}

function lose(link: Link, lost: Lost): void {
  link.lost.requests ||= lost.requests;
  link.lost.answers ||= lost.answers;
}
