import {isIPv4} from 'node:net';

const PATTERN = /^([0-9.]{7,15}):([0-9]{1,5})$/;
const MAX_PORT = 65_535;
/** From here on, the first number of an address names no single host. */
const FIRST_MULTICAST = 224;

/**
 * Whether a connection can be opened to an address: the IPv4 address of one
 * host, and a port.
 *
 * @example isSocketAddress('10.2.0.4:8022') // true
 * @example isSocketAddress('10.2.0.4:70000') // false
 */
export function isSocketAddress(text: string): boolean {
  const [, host = '', digits = ''] = PATTERN.exec(text) ?? [];
  const port = Number(digits);
  return isHost(host) && port >= 1 && port <= MAX_PORT;
}

function isHost(host: string): boolean {
  const first = Number(host.split('.')[0]);
  return isIPv4(host) && first >= 1 && first < FIRST_MULTICAST;
}
