import {describe, expect, it} from 'vitest';
import {isSocketAddress} from '../socketAddress.js';

describe('isSocketAddress', () => {
  it.each(['10.2.0.4:8022', '127.0.0.1:1', '223.255.255.255:65535'])(
    'accepts %s',
    text => expect(isSocketAddress(text)).toBe(true),
  );

  it.each([
    '',
    ':',
    '10.2.0.4',
    '10.2.0.4:',
    '10.2.0.4:0',
    '10.2.0.4:65536',
    '10.2.0.4:70000',
    '10.2.0.4:99999999999999999999',
    '10.2.0.4:-1',
    '10.2.0.4:8e3',
    '10.2.0.4: 80',
    '10.2.0.4:80 ',
    '10.2.0.4:80\n',
    '999.1.1.1:80',
    '256.0.0.1:80',
    '1.2.3.4.5:80',
    '1.2.3:80',
    '...:80',
    '0.0.0.0:80',
    '224.0.0.1:80',
    '255.255.255.255:80',
    '010.2.0.4:80',
    'localhost:80',
    '[::1]:80',
    '10.2.0.4:80/x',
    'x@10.2.0.4:80',
  ])('rejects %j', text => expect(isSocketAddress(text)).toBe(false));
});
